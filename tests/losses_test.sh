#!/usr/bin/env bash
# The loss table of recorded samples, with today's record names and with those of earlier versions, line by line;
# and the messages for bad input.
# usage: losses_test.sh LOSSES.PY SAMPLE...
set -uo pipefail
tool=$1
shift
wrong=0
for sample in "$@"; do
  out=$(python3 "$tool" "$sample" --deciles) || { echo "$sample: ended with $?"; exit 1; }
  while IFS= read -r line; do
    grep -qxF -- "$line" <<< "$out" || { echo "$sample: missing: '$line'"; wrong=1; }
  done << 'WANTED'
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
WANTED
  [ "$wrong" -eq 0 ] || echo "$out"
done
[ "$#" -ge 2 ] || { echo "needs a sample of today's names and one of the earlier"; wrong=1; }
fails_with() {
  local want=$1
  shift
  got=$(python3 "$tool" "$@" 2>&1) && { echo "passed: $*"; wrong=1; }
  grep -qF -- "$want" <<< "$got" || { echo "printed '$got', wanted '$want'"; wrong=1; }
}
fails_with "usage:"
fails_with "no such file or folder" /nonexistent/folder
fails_with "no records of requests" "$tool"
exit "$wrong"
