#!/bin/sh
# The stand-ins of the cases 6 and up are plain modules that Node.js runs as they are; checks that they and the bundle of the deploy file are there.
set -e
cd "$(dirname "$0")/.."
test -f target/apricotwood.mjs || node platform/build.mjs
for file in review/6/rig.mjs review/[6-9]/run.mjs review/10/run.mjs; do
	if [ -f "$file" ]; then
		node --check "$file"
	fi
done
