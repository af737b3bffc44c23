#!/usr/bin/env bash
# Runs one of the cases 6 to 10: run-2.sh NUMBER. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 runs it without the disruption. Needs the build of the deploy file and of review/build-2.sh.
set -u
number=${1:?usage: run-2.sh NUMBER}
cd "$(dirname "$0")/.." || exit 2
program=build/review-2/case-$number
[[ -x $program ]] || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
WORK=$(mktemp -d) || exit 2
export RUN WORK
trap 'rm -rf "$WORK"' EXIT
timeout --kill-after=5 110 "$program" "review/$number/record.txt"
status=$?
((status <= 2)) || status=2
exit "$status"
