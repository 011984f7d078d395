#!/bin/sh
# Prepares the stand-ins of the cases of REPORT-3.md: Python's standard library
# only, so that there is nothing to build but a check that they compile.
cd "$(dirname "$0")" || exit 2
for file in stand_ins_3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' \
    "$file" || exit 2
done
