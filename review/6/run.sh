#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: could not run. TROUBLE=0: the same without the bad client.
cd "$(dirname "$0")" && test -x ../../.venv/bin/python || exit 2
# An error that nobody foresaw is 2 as well; `play` ends the process by itself.
exec ../../.venv/bin/python -B -c '
import os, runpy, traceback
try:
    runpy.run_path("case.py", run_name="__main__")
except BaseException:
    traceback.print_exc()
os._exit(2)'
