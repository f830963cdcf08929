#!/bin/sh
# Builds the stand-in of the store that the cases 11 to 15 start; their workers
# and clients are Python programs in review/rig-3 and are only checked.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B target/standins -DCMAKE_BUILD_TYPE=Release
cmake --build target/standins -j4 --target fakeplatform
python3 -m py_compile review/rig-3/rig.py review/rig-3/worker.py review/rig-3/link.py
