#!/usr/bin/env bash
# Installs, builds, starts a small fleet, sends requests of each kind and stops it gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
exec python3 scripts/demo.py
