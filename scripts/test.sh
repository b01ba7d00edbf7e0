#!/usr/bin/env bash
# Installs, builds and runs all tests; further arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
exec ctest --test-dir build --output-on-failure "$@"
