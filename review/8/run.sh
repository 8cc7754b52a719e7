#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same with short statements.
cd "$(dirname "$0")" || exit 2
node play.mjs
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || exit 2
exit $code
