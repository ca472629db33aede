# Runs one case: `. case.sh` with $name, the class of the case, and $here, its folder. Exit codes: 0 held, 1 broken, 2 could not run.
root=$(cd "$here/../.." && pwd) || exit 2
cd "$root" || exit 2
if [ ! -f target/weldlink.jar ] || [ ! -f target/weldlink.jsa ] || [ ! -f "review/out/$name.class" ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
timeout -k 5 110 java -Xmx2g -cp review/out "$name" "$here/record.txt" &
running=$!
trap 'kill "$running"' INT TERM HUP
wait "$running"
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
