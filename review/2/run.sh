#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the case without its disruption.
export TROUBLE="${TROUBLE:-1}"
exec sh "$(dirname "$0")/../harness/run.sh" "$(dirname "$0")"
