#!/bin/sh
# Copies the stand-ins that the cases 6 to 10 start to target/review-2.
# The libraries that they use are those of the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2/briarshed_platform_standins
for module in __init__ _server store; do
    cp "platform/briarshed_platform_standins/$module.py" \
        target/review-2/briarshed_platform_standins/
done
cp -R review/rig target/review-2/
python3 -m compileall -q target/review-2
