#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/review/bin/case3" ] && [ -x "$root/bin/wheatsaddle" ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
exec "$root/review/bin/case3" "$root" "$here"
