#!/bin/bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] && [ -s target/whinlead.jar ] || { echo "not built" >&2; exit 2; }
exec timeout -k 5 110 java -Xmx400m -cp target/review review.Case1 review/1/record.txt
