#!/bin/sh
# Builds the stand-in of the store that the cases 11 to 15 start; their workers
# and clients are Python programs in review/rig-3.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B target/standins -DCMAKE_BUILD_TYPE=Release
cmake --build target/standins -j4 --target fakeplatform
