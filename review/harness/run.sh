#!/bin/sh
# Runs case.py of a folder after review/build.sh.
folder=$(cd "$1" && pwd)
REVIEW_ROOT=$(cd "$folder/../.." && pwd)
export REVIEW_ROOT PYTHONPATH="$REVIEW_ROOT/target/deps:$REVIEW_ROOT/target/review"
[ -e "$REVIEW_ROOT/target/review/fleet.py" ] || { echo "run review/build.sh first"; exit 2; }
exec python3 -B "$folder/case.py"
