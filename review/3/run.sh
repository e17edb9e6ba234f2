#!/usr/bin/env bash
# Plays the case on the programs of the deploy file's build. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 timeout -k 5 110 python3 case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
