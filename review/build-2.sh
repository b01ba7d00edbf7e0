#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python programs (standins2.py), so that
# there is only to check that this machine can run them. The nodes come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, tomllib'
PYTHONDONTWRITEBYTECODE=1 python3 -c "import sys; sys.path.insert(0, \"review\"); import standins2"
