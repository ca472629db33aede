# Runs one case: `. case.sh` with $name, the class of the case, and $here, its folder. Exit codes: 0 held, 1 broken, 2 could not run.
# Whatever way it ends, but by SIGKILL to this shell, no process that it started is left, and its temporary folder is removed.
root=$(cd "$here/../.." && pwd) || exit 2
cd "$root" || exit 2
if [ ! -f target/weldlink.jar ] || [ ! -f "review/out/$name.class" ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
running=
end() {
    trap '' INT TERM HUP
    [ -z "$running" ] || kill "$running" 2>/dev/null && wait "$running" 2>/dev/null
    # The case ends its processes itself; these are left only if it was killed.
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            if grep -q weldlink "/proc/$pid/cmdline" 2>/dev/null; then
                kill -KILL "$pid"
            fi
        done < "$folder/pids"
    fi
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
timeout -k 3 110 java -Xmx2g -cp review/out "$name" "$here/record.txt" "$folder" &
running=$!
wait "$running"
code=$?
running=
case $code in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
