#!/usr/bin/env bash
# Plays case 14. It exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig3 ] && [ -x target/catkinhead ] || exit 2
# With TROUBLE=0 the same is played without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec target/rig3 cut review/14
