#!/usr/bin/env bash
# Builds the stand-ins of the cases; they use only the standard library. The programs of
# deploy/system.toml have to be built before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 1 2 3 4 5; do
    source=review/$number/case.rs
    if [[ -f $source ]]; then
        rustc --edition 2024 -C opt-level=2 -o "target/review/case-$number" "$source"
    fi
done
# Trials that are no cases.
for trial in gone interim; do
    rustc --edition 2024 -C opt-level=2 -o "target/review/case-$trial" "review/trials/$trial.rs"
done
