#!/usr/bin/env bash
# Runs all measures; prints Markdown tables and writes CSV files below build/bench/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh >/dev/null
mkdir -p build/bench
build/tests/core_bench --csv build/bench
