#!/bin/sh
# Builds what runs on the platform into target/deps, which is on Python's path
# there: the pinned libraries once, the project's own code each time.
set -eu
deps=target/deps
stamp=target/requirements.installed
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf "$deps"
  python3 -m pip install --quiet --disable-pip-version-check --no-deps \
    --target "$deps" --requirement deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps"/godwitdale_*
for library in verdicts routing experts observe process http gateway; do
  cp -R libs/"$library"/src/godwitdale_* "$deps"
done
cp -R platform/src/godwitdale_adapter "$deps"
python3 -m compileall -q "$deps"
