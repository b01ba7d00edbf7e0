#!/usr/bin/env bash
# Compiles the stand-ins of the cases, which are Python programs without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py ../tests/process/platform_standin.py [1-5]/*.py
