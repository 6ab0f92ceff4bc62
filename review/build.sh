#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the program of the deploy file: the stand-ins of
# the project and the drivers of the cases. Works offline with the packages that
# scripts/install-packages names. The result is in build-review/, which git ignores.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -G Ninja >/dev/null
cmake --build build-review --target mapcase
