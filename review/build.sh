#!/usr/bin/env bash
# Builds the programs of the review cases in review/bin. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cpp; do
  "${CXX:-c++}" -std=c++20 -O1 -pthread -I. "$source" -o "bin/case-${source%%/*}"
done
