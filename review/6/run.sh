#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../6/rig.mjs ] && [ -f ../../target/apricotwood.mjs ] && command -v node >/dev/null || exit 2
exec node run.mjs
