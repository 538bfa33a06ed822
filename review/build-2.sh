#!/bin/bash
# Builds what the scripts of review/6 and later start, after the build of the
# deploy file.  The stand-ins are Python and need the standard library only.
set -e
cd "$(dirname "$0")/.."
for folder in review/lib-2 review/6 review/7 review/8 review/9 review/10; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
python3 -m compileall -q waxwinglift
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPATH=target/deps python3 -m waxwinglift.platform --help > /dev/null
