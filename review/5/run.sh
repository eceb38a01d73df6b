#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
REVIEW_ROOT=$(cd "$folder/../.." && pwd)
PYTHONPATH=$REVIEW_ROOT/target/deps:$REVIEW_ROOT/target/review
export REVIEW_ROOT PYTHONPATH
[ -e "$REVIEW_ROOT/target/review/fleet.py" ] || { echo "run review/build.sh first"; exit 2; }
python3 -B "$folder/case.py"
