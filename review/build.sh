#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/[1-5]/scenario.cc; do
  [ -e "$scenario" ] || continue
  number="$(basename "$(dirname "$scenario")")"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I. -o "target/review/case$number" \
    "$scenario" review/standins/*.cc
done
