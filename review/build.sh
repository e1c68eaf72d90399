#!/bin/sh
# After the build of the deploy file. Case 3 uses the tables [fleet] and [copies] of the operator's file, which need two
# packages that the project pins in requirements-lab.txt; cases 1 and 2 need nothing more. The stand-ins use the standard
# library only, and are compiled here so that a fault in them shows before a case starts.
set -eu
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c 'import crc32c, msgspec' 2>/dev/null; then
    grep -E '^(crc32c|msgspec)==' requirements-lab.txt | xargs .venv/bin/pip -q install --disable-pip-version-check ||
        echo "crc32c and msgspec cannot be installed: case 3 will exit with 2" >&2
fi
.venv/bin/python -m compileall -q review
