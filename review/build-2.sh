#!/bin/sh
# Builds what the scripts of the second review start besides the entries. Their
# stand-ins and the project's own run as they are, on the libraries that the
# build of the deploy file has put into target/deps; this checks that they load.
set -eu
cd "$(dirname "$0")/.."
for part in harness rank_group; do
  (cd review/parts-2 && PYTHONDONTWRITEBYTECODE=1 python3 -c "import $part")
done
