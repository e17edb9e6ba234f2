#!/usr/bin/env bash
# Tests check_file_length.sh: it accepts files at the limits and rejects files with too many lines or too wide lines.
set -euo pipefail
check="$(dirname "$0")/check_file_length.sh"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# No file name is exempt from the limit.
for name in longest.cpp policy.cpp core.cpp; do
  seq -f '// line %g' 400 > "$folder/$name"
  bash "$check" "$folder/$name"
  echo '// one more' >> "$folder/$name"
  if bash "$check" "$folder/$name"; then exit 1; fi
done
echo '// good' > "$folder/good.cpp"
if bash "$check" "$folder/good.cpp" "$folder/longest.cpp"; then exit 1; fi
printf '%111s\n' x > "$folder/wide.cpp"
if bash "$check" "$folder/wide.cpp"; then exit 1; fi
printf '%121s\n' x > "$folder/wide.py"
if bash "$check" "$folder/wide.py"; then exit 1; fi
