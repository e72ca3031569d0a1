#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs target/peridotd, which the build line of the deploy file makes, and review/bin/standin, which review/build.sh makes.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
if [ ! -x target/peridotd ] || [ ! -x review/bin/standin ]; then
	echo "target/peridotd or review/bin/standin is missing" >&2
	exit 2
fi
exec review/bin/standin -case late-starts -record "$case_dir/record.txt"
