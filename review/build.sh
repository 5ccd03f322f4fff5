#!/usr/bin/env bash
# Builds the stand-ins of the cases, each as "case" in the folder of its case.
# Needs a C compiler alone; the daemon comes from the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for source in [1-5]/case.c; do
	${CC:-cc} -std=gnu11 -O2 -Wall -I. "$source" standin.c -pthread \
		-o "${source%.c}"
done
