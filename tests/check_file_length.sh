#!/usr/bin/env bash
# Files stay readable: at most 400 lines of at most 110 columns each, 120 in Python.
set -euo pipefail
max_lines=400

status=0
for file in "$@"; do
  case "$file" in
    *.py) max_columns=120 ;;
    *) max_columns=110 ;;
  esac
  lines=$(wc -l < "$file")
  wide=$(awk -v max="$max_columns" 'length($0) > max' "$file" | wc -l)
  if [ "$lines" -gt "$max_lines" ] || [ "$wide" -gt 0 ]; then
    echo "$file: $lines lines, $max_lines at most; $wide over $max_columns columns"
    status=1
  fi
done
exit "$status"
