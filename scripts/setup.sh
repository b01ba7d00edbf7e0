#!/usr/bin/env bash
# Installs the dependencies of the build and the tests (Debian 12) and builds all targets.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=(g++ cmake ninja-build libcpprest-dev libnng-dev libboost-dev libcxxopts-dev libspdlog-dev
    libcppunit-dev nlohmann-json3-dev libmsgpack-cxx-dev libssl-dev libtomlplusplus-dev python3)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    sudo=$([ "$(id -u)" = 0 ] || echo sudo)
    $sudo apt-get update
    $sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${packages[@]}"
fi
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
