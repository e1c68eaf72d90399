#!/bin/sh
# Run once after the deploy file's build. The stand-ins of the cases 6 to 10 are scripts that need only the standard
# library: here they are checked to compile, and nothing else is to be built.
set -e
cd "$(dirname "$0")"
for file in standins_2.py [0-9]*/case.py; do
    case "$file" in standins_2.py | 6/* | 7/* | 8/* | 9/* | 10/*) ;; *) continue ;; esac
    test -f "$file" && ../.venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "stand-ins are ready"
