#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../target/TwoAttempts.class ] || exit 2
timeout -k 5 115 java -Xmx512m -cp ../target TwoAttempts "$PWD"
code=$?
[ $code -le 2 ] && exit $code
exit 2
