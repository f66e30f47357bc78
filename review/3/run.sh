#!/bin/sh
# Plays the case after the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/wigeontray ] && [ -x target/wigeontray-guard ] || exit 2
exec target/review-standin -case lone-entry -record review/3/record.txt
