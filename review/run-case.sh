#!/bin/bash
# Runs a case: run-case.sh CASE FOLDER. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/release/pimentocart ]; then
    echo "not run: build the programs and review/build.sh first"
    exit 2
fi
dir=$(mktemp -d) || exit 2

# An orderly run ends its own processes and removes the list of them.
clean_up() {
    if [ -f "$dir/pids" ]; then
        while read -r pid; do kill -9 "$pid"; done < "$dir/pids"
    fi 2> /dev/null
    rm -rf "$dir"
}
trap clean_up EXIT

timeout -k 1 110 target/review/standin "$1" "$2" "$dir" &
child=$!
trap 'kill "$child"' TERM INT
wait "$child"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
