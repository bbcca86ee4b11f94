#!/usr/bin/env bash
# The stand-ins are Python programs that use its standard library only, so nothing is built; checks that they can be read.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in "$here"/stand_ins/*.py "$here"/[123]/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
