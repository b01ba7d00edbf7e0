#!/usr/bin/env bash
# Installs the dependencies, builds, and runs the demo: a small fleet on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
exec python3 scripts/demo.py
