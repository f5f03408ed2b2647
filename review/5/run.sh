#!/bin/sh
# Runs the case foreign-key; writes record.txt beside this file. Exit code: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/agatemoor target/review/review-standin; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
        exit 2
    fi
done
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review/review-standin foreign-key review/5
