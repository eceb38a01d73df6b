#!/bin/sh
# Builds the stand-ins of the cases below target/review; run deploy/build.sh first.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R platform/briarshed_platform_standins target/review/
cp review/harness/*.py target/review/
python3 -m compileall -q target/review
PYTHONPATH=target/deps:target/review REVIEW_ROOT="$PWD" python3 -c "import fleet, worker"
