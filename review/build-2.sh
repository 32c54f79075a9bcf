#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. The rig itself is Python and needs its standard library alone.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
mkdir -p "$top/target/review-2"
clang++-16 -std=c++20 -O1 -Wall -Wextra "$top/review/standins-2/grantor.cpp" -o "$top/target/review-2/grantor" -lxxhash
