#!/usr/bin/env bash
# Builds the scenarios of the second review into target/review-2/. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -Igenerated)
sources=(review/standins-2/deployment.cc platform/soak/node_process.cc platform/soak/run_after.cc
  sidecar/testing/raw_caller.cc sidecar/testing/scripted_server.cc sidecar/tcp_address.cc
  masticpin/base/socket_address.cc)
objects=()
jobs=()
for source in "${sources[@]}"; do
  object="$out/$(basename "$source" .cc).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
  objects+=("$object")
done
for job in "${jobs[@]}"; do wait "$job"; done
for scenario in review/{6,7,8,9,10}/scenario.cc; do
  [ -e "$scenario" ] || continue
  number="$(basename "$(dirname "$scenario")")"
  g++ "${flags[@]}" "$scenario" "${objects[@]}" -lsodium -pthread -o "$out/case-$number"
done
