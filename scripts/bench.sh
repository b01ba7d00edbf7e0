#!/usr/bin/env bash
# Runs all benchmarks of the core; prints Markdown tables and writes CSV files to build/bench/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh >/dev/null
mkdir -p build/bench
build/tests/core_bench --csv build/bench
