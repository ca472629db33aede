#!/bin/bash
# Plays one case of the second review: case-2.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Whatever way it ends, but by SIGKILL to this shell, no process that it started is left, and its temporary folder is removed.
set -u
cd "$(dirname "$0")/.." || exit 2
root=$(pwd)
folder=$root/review/$1
class=$2
if [ ! -f target/weldlink.jar ] || [ ! -f "target/review-2/probe/$class.class" ]; then
    echo "not built: run the build of deploy/balancer.toml, then review/build-2.sh" | tee "$folder/record.txt" >&2
    exit 2
fi
tmp=$(mktemp -d) || exit 2
running=
clean() {
    trap '' INT TERM HUP
    if [ -n "$running" ]; then
        kill "$running" 2>/dev/null
        wait "$running" 2>/dev/null
    fi
    # The test ends its processes itself; these are left only if it was killed.
    if [ -f "$tmp/pids" ]; then
        while read -r pid; do
            if [ -r "/proc/$pid/cmdline" ] && tr '\0' ' ' < "/proc/$pid/cmdline" | grep -q weldlink.jar; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done < "$tmp/pids"
    fi
    rm -rf "$tmp"
}
trap clean EXIT
trap 'exit 2' INT TERM HUP
timeout -k 3 112 java -Xmx512m -Droot="$root" -Dtmp="$tmp" -Drecord="$folder/record.txt" -cp target/review-2 "probe.$class" &
running=$!
wait "$running"
code=$?
running=
case $code in
    0|1) exit $code ;;
    *) exit 2 ;;
esac
