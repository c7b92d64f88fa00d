#!/bin/sh
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out; KEEP=1 keeps the settings and logs of the processes.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/masticlock-platform target/review-2/stand-in; do
    [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
exec target/review-2/stand-in gone review/10
