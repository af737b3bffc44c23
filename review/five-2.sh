#!/usr/bin/env bash
# Runs a case five times with its disruption and once without: five-2.sh NUMBER. Prints the exit codes and last lines.
cd "$(dirname "$0")" || exit 2
for run in 1 2 3 4 5; do
  "$1/run.sh"
  echo "case $1 run $run: exit $? $(tail -1 "$1/record.txt")"
done
TROUBLE=0 "$1/run.sh"
echo "case $1 TROUBLE=0: exit $? $(tail -1 "$1/record.txt")"
