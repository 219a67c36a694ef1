#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tanagerrock ] && [ -x target/stand3 ] || exit 2
exec target/stand3 quota review/12
