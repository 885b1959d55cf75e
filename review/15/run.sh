#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/endiveholdd.jar ] && [ -f target/review-3/Case15.class ] || exit 2
timeout -k 1 117 java -Xmx400m -cp target/review-3 Case15 review/15 .
result=$?
[ $result -le 1 ] || exit 2
exit $result
