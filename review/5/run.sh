#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mangoroad ] && [ -x target/review/case5 ] || { echo "build first"; exit 2; }
exec timeout -k 5 115 target/review/case5 review/5/record.txt
