#!/usr/bin/env bash
# The size check accepts a module at the limit and refuses one past it or with a wide line.
set -euo pipefail
check="$(dirname "$0")/check_module_size.sh"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
seq -f '// line %g' 940 > "$folder/most.cpp"
bash "$check" "$folder/most.cpp"
echo '// one more' >> "$folder/most.cpp"
if bash "$check" "$folder/most.cpp"; then exit 1; fi
printf '%111s\n' x > "$folder/wide.cpp"
if bash "$check" "$folder/wide.cpp"; then exit 1; fi
