#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/. Needs a C compiler alone;
# the daemon comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.c; do
	[ -e "$source" ] || continue
	${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -Wno-format-truncation \
		-Isupport "$source" support/standin.c -pthread \
		-o "bin/case-${source%%/*}"
done
