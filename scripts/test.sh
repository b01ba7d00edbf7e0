#!/usr/bin/env bash
# Installs the dependencies, builds and runs all tests; passes its arguments to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
exec ctest --test-dir build --output-on-failure "$@"
