#!/usr/bin/env bash
# Writes docs/operations/settings.md from the flags' help. The test SettingsReference::pageIsCurrent compares the two.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
Meta/stairspur.sh build
# The variables of the build are none that the program knows.
program="${STAIRSPUR_BUILD:-build}/stairspur"
env -u STAIRSPUR_BUILD -u STAIRSPUR_JOBS -u STAIRSPUR_SANITIZE "$program" help settings >docs/operations/settings.md.new
mv docs/operations/settings.md.new docs/operations/settings.md
