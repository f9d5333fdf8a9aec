#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout 115 review/target/release/review-standin reborn review/4/record.txt
status=$?
[ $status -le 2 ] || status=2
exit $status
