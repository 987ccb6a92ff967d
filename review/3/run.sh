#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || { echo "target/review/case-3 is missing: run review/build.sh first"; exit 2; }
exec target/review/case-3 review/3/record.txt
