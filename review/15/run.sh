#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review-3 ] && [ -x target/release/oleanderwelld ] || {
    echo "run the build of the deploy file and review/build-3.sh first" >&2
    exit 2
}
exec target/review-3/review-3 pipelined review/15/record.txt
