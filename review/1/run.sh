#!/bin/bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] && [ -s target/whinlead.jar ] || { echo "not built" >&2; exit 2; }
timeout -k 5 112 java -Xmx400m -cp target/review review.ManyServices review/1/record.txt
code=$?
[ $code -le 1 ] || code=2
exit $code
