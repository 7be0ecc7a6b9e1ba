#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/wheatsaddle ] || [ ! -x bin/rig-2 ]; then echo "build first: deploy/balancer.toml, review/build-2.sh" >&2; exit 2; fi
timeout -k 5 110 bin/rig-2 replace review/6
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
