#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are plain modules without dependencies, so that they are only checked here.
set -eu
cd "$(dirname "$0")"
for file in rig-3/*.mjs 1[1-5]/*.mjs; do
	[ ! -e "$file" ] || node --check "$file"
done
