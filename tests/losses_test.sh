#!/usr/bin/env bash
# The loss table of a recorded sample, line by line, and what the tool says of bad input.
set -uo pipefail
tool=$1 sample=$2
out=$(python3 "$tool" "$sample" --deciles) || { echo "ended with $?"; exit 1; }
wrong=0
while IFS= read -r line; do
  grep -qxF -- "$line" <<< "$out" || { echo "missing: '$line'"; wrong=1; }
done << 'WANTED'
served in time                    1   0.200   0.465
late first token                  1   0.200   0.031
late pace                         1   0.200   0.031
refused, never sent               1   0.200   0.030
refused after an attempt          1   0.200   0.443
failed                            0   0.000   0.000
reads 3, called off 1, attempts failed 1, states lost 1
prompt tokens read anew 0.700, beyond their prefix 0.200
WANTED
[ "$wrong" -eq 0 ] || echo "$out"
says() {
  local want=$1
  shift
  got=$(python3 "$tool" "$@" 2>&1) && { echo "passed: $*"; wrong=1; }
  grep -qF -- "$want" <<< "$got" || { echo "said '$got', wanted '$want'"; wrong=1; }
}
says "usage:"
says "no such file or folder" /nonexistent/folder
says "no records of requests" "$tool"
exit "$wrong"
