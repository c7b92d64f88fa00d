#!/usr/bin/env bash
# Runs the case with the given number. Exits with 0 if the rule held, 1 if it was broken and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
program=target/review/case-$1
if [[ ! -x $program || ! -x target/release/masticlock-platform ]]; then
    echo "build deploy/system.toml's program and run review/build.sh first" >&2
    exit 2
fi
scratch=$(mktemp -d)
export TMPDIR=$scratch REVIEW_PIDS=$scratch/pids
touch "$REVIEW_PIDS"
# Ends what the case has started, if it was interrupted.
clean() {
    while read -r pid; do
        if [[ $(readlink "/proc/$pid/exe" 2>/dev/null) == */masticlock-platform* ]]; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done <"$REVIEW_PIDS"
    rm -rf "$scratch"
}
trap clean EXIT
timeout -k 2 110 "$program"
code=$?
((code <= 1)) || code=2
exit "$code"
