#!/usr/bin/env bash
# Runs the case once. Exit code: 1 the rule was broken, 0 it held, 2 it could not
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/6 review/6
