#!/bin/sh
# The stand-ins of review/6 to review/10 are scripts; checks that they load.
set -e
cd "$(dirname "$0")/rig-2"
python3 -c 'import sys; assert sys.version_info >= (3, 7), sys.version'
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import rig, standins'
