#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are Python programs without dependencies: nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for program in standins.py ../tests/process/platform_standin.py [1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$program"
done
