#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start. Needs no network, and the packages of
# scripts/install-packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/kit-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3
