#!/usr/bin/env bash
# Plays the scene "long": exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin-3 ] && [ -x target/peridotd ] || { echo "build first: the deploy file's build, then review/build-3.sh" >&2; exit 2; }
exec target/standin-3 -scene long -record review/15/record.txt -root .
