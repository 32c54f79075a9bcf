#!/usr/bin/env bash
# Runs the case of the folder that is named: run-case.sh FOLDER. TROUBLE=0: without the disruption.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
folder=$(cd "$1" && pwd)
review=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(dirname "$review")
program=$review/build/case-$(basename "$folder")
if [[ ! -x $program || ! -x $root/target/stairspur ]]; then
    echo "build target/stairspur as deploy/system.toml says, then run review/build.sh" >&2
    exit 2
fi
directory=$(mktemp -d)
# A process group of its own, so that everything in it ends with this script, however it ends.
setsid timeout --kill-after=5 110 "$program" "$root" "$directory" "$folder/record.txt" "${TROUBLE:-1}" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$directory"' EXIT
wait "$group"
code=$?
tail -n 1 "$folder/record.txt"
[[ $code == 0 || $code == 1 ]] && exit "$code"
exit 2
