#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the build of the deploy file: their
# stand-ins of the platform, the replicas and the clients. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build-review-2 -G Ninja >/dev/null
cmake --build build-review-2
