#!/usr/bin/env bash
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh" "$(dirname "${BASH_SOURCE[0]}")"
