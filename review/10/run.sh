#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
set -uo pipefail
cd "$(dirname "$0")/../.."
here="review/10"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
[ -x target/masticpin-sidecar ] && [ -x target/review-2/case-10 ] || exit 2
timeout --kill-after=5 110 target/review-2/case-10 "$work"
result=$?
[ -e "$work/record.txt" ] && cp "$work/record.txt" "$here/record.txt"
[ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"
[ "$result" -le 1 ] || exit 2
exit "$result"
