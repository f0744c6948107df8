#!/usr/bin/env bash
# Plays the case of this folder, see claim.txt. Exit code: 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. With TROUBLE=0 the disruption is left out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/release/pimentovalve-node target/review/rig-2; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
TMPDIR=$(mktemp -d) || exit 2
PIDS=$TMPDIR/pids
export TMPDIR PIDS
# Ends the daemons whose ids the stand-in wrote down, if it did not end them itself.
clean() {
    if [ -f "$PIDS" ]; then
        while read -r pid || [ -n "$pid" ]; do
            [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = pimentovalve-no ] && kill -9 "$pid"
        done <"$PIDS"
    fi
    rm -rf "$TMPDIR"
}
trap clean EXIT
timeout 115 target/review/rig-2 connections "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
