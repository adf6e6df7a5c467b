#!/bin/sh
# Plays the case late-heartbeat and writes record.txt beside this file. Exit status: 1 the rule was broken, 0 it held, 2 it could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/standin -case late-heartbeat -dir review/4
