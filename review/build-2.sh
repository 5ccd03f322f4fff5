#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, after the build of
# deploy/system.toml. They use the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
	source=review/$number/case.c
	[ -e "$source" ] || continue
	cc -std=gnu11 -O2 -Wall -Wextra -pthread -o \
		"target/review-2/case-$number" \
		"$source" review/harness.c
done
