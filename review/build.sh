#!/bin/sh
# Builds the stand-ins of the review: they are Python scripts of the standard
# library, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in *.py [1-5]/*.py; do
  [ -f "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
