#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15, after the build of the deploy file.
#
# They are Python files that run from the repository: those of the project in
# platform/briarshed_platform_standins, and those in review/rig-3. They use the
# libraries of the deployment in target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || sh deploy/build.sh
mkdir -p target/review-3
PYTHONPATH=target/deps:platform PYTHONPYCACHEPREFIX=target/review-3 \
    python3 -m compileall -q platform/briarshed_platform_standins review/rig-3
PYTHONPATH=target/deps:review/rig-3 PYTHONPYCACHEPREFIX=target/review-3 \
    python3 -c "import platform_standins"
