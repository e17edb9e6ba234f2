#!/usr/bin/env bash
# Tests losses.py: its table for recorded samples, with the current record names and with those of earlier versions,
# line by line, and its messages for invalid input.
# usage: losses_test.sh LOSSES.PY SAMPLE...
set -uo pipefail
tool=$1
shift
failed=0
for sample in "$@"; do
  out=$(python3 "$tool" "$sample" --deciles) || { echo "$sample: exited with code $?"; exit 1; }
  while IFS= read -r line; do
    grep -qxF -- "$line" <<< "$out" || { echo "$sample: missing line: '$line'"; failed=1; }
  done << 'EXPECTED'
served in time                    1   0.200   0.465
late first token                  1   0.200   0.031
slow stream                       1   0.200   0.031
rejected, never attempted         1   0.200   0.030
rejected after an attempt         1   0.200   0.443
failed                            0   0.000   0.000
deadline exceeded                 0   0.000   0.000
client disconnected               0   0.000   0.000
prefills 3, cancelled by the policy 1, attempts failed 1, states lost 1
prompt tokens prefilled anew 0.700, beyond their prefix 0.200
EXPECTED
  [ "$failed" -eq 0 ] || echo "$out"
done
[ "$#" -ge 2 ] || { echo "needs two samples: one with current record names, one with earlier ones"; failed=1; }
fails_with() {
  local expected=$1
  shift
  got=$(python3 "$tool" "$@" 2>&1) && { echo "exited with code 0, expected a failure: $*"; failed=1; }
  grep -qF -- "$expected" <<< "$got" || { echo "printed '$got', expected '$expected'"; failed=1; }
}
fails_with "usage:"
fails_with "no such file or folder" /nonexistent/folder
fails_with "no records of requests" "$tool"
exit "$failed"
