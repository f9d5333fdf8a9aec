#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0, the
# disruption is left out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-3/release/review-standin-3
if [ ! -x target/release/filbertpitch ] || [ ! -x "$program" ]; then
    echo "build first: the command of deploy/system.toml, and review/build-3.sh"
    exit 2
fi
scratch=$(mktemp -d) || exit 2
TROUBLE="${TROUBLE:-1}" timeout -k 5 110 "$program" refused-configuration "$here/record.txt" "$scratch"
code=$?
rm -rf "$scratch"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
