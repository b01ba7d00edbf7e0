#!/usr/bin/env bash
# Runs randomised simulations of fleets of decision cores: soak.sh SECONDS SEED [THREADS]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh >/dev/null
exec build/tests/core_soak --seconds "${1:?seconds}" --seed "${2:?first seed}" --threads "${3:-4}"
