#!/usr/bin/env bash
# Shows that an entry of another writer, which lacks the fields that the page names, makes a
# draining backend take new flows. TROUBLE=0 plays the same without that entry.
# Exit codes: 1 the rule DRAIN was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/otherwriter
if [ ! -x "$program" ] || [ ! -x target/corianderbay ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh"
	exit 2
fi
entry=names
if [ "${TROUBLE:-1}" = 0 ]; then
	entry=none
fi
timeout -k 5 100 "$program" -root . -record review/6/record.txt -entry "$entry"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
