#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: could not run. TROUBLE=0: the same with clients that read at full speed.
cd "$(dirname "$0")" && exec ../../.venv/bin/python -B case.py
