#!/usr/bin/env bash
# Runs one case of the review: run-case.sh FOLDER PROGRAM. Its record goes to FOLDER/record.txt, and whatever it has
# started has ended when it returns.
set -u
folder=$(cd "$1" && pwd)
rig=$(cd "$(dirname "$0")" && pwd)
program=$rig/target/release/$2
export CASE_FOLDER=$folder
PROJECT_ROOT=$(cd "$rig/../.." && pwd)
export PROJECT_ROOT
if [ ! -x "$program" ] || [ ! -x "$PROJECT_ROOT/target/release/applemill" ]; then
    echo "build the deploy file's programs and run review/build-2.sh first" | tee "$folder/record.txt" >&2
    exit 2
fi
PROCESS_FILE=$(mktemp)
export PROCESS_FILE
# Ends what a case that was broken off has left, by the ids that it has noted; usually nothing is there any more.
end_the_rest() {
    while read -r id; do
        if [ "$(cat "/proc/$id/comm" 2>/dev/null)" = applemill ]; then
            kill -KILL "$id"
        fi
    done < "$PROCESS_FILE"
    rm -f "$PROCESS_FILE"
}
trap end_the_rest EXIT
timeout -k 2 110 "$program"
code=$?
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
