#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs (standins3.py and case.py); nothing is
# compiled. Checks that they can be loaded.
cd "$(dirname "$0")" && exec python3 -c '
import ast, pathlib
for path in [pathlib.Path("standins3.py"), *sorted(pathlib.Path(".").glob("1[1-5]/case.py"))]:
    ast.parse(path.read_text(), str(path))
'
