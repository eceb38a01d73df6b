#!/bin/sh
# Copies the libraries and the sources of an entry to target/deps.
set -eu
stamp=target/.libraries
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    python3 -m pip install -q --disable-pip-version-check --root-user-action=ignore \
        -U --target target/deps -r deploy/requirements.txt
    touch "$stamp"
fi
for source in packages/briarshed/src/briarshed \
    packages/briarshed-entry/src/briarshed_entry \
    packages/briarshed-workloads/src/briarshed_workloads \
    platform/briarshed_platform; do
    rm -rf "target/deps/$(basename "$source")"
    cp -R "$source" target/deps/
done
python3 -m compileall -q target/deps
