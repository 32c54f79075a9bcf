#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/build/, with the compiler and the library that deploy/system.toml names.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p build
for source in */Case.cpp; do
    case=${source%%/*}
    clang++-16 -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/case-$case"
done
