#!/bin/sh
# Builds the stand-ins of the cases: they are Python without dependencies.
cd "$(dirname "$0")" && exec python3 -m compileall -q -l .
