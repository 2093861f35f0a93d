#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/ start: the project's own.
# The entry program comes from the build of the deploy file (target/bin).
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build/review -DCMAKE_BUILD_TYPE=Release
cmake --build build/review -j8
