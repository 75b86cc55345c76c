#!/bin/sh
# Builds what the cases start beside the product: the stand-ins are plain modules, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
	node --check "$file"
done
