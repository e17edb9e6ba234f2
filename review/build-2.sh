#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs, in review/common-2 and beside each case, which need no
# build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=$(mktemp -d) python3 -m py_compile common-2/*.py
for number in 6 7 8 9 10; do
  if [ -e "$number/case.py" ]; then PYTHONPYCACHEPREFIX=$(mktemp -d) python3 -m py_compile "$number/case.py"; fi
done
