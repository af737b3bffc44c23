#!/usr/bin/env bash
# Runs the case of this folder: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Writes record.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/bin/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/build/ironquay" ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The gateways end with the program: it is their parent and has them killed at its end.
timeout -k 5 110 "$program" "$root" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
