#!/usr/bin/env bash
# Fails for each file with more than 400 lines, or with lines of more than 110 columns (120 in Python files).
# usage: check_file_length.sh FILE...
set -euo pipefail
max_lines=400

status=0
for file in "$@"; do
  case "$file" in
    *.py) max_columns=120 ;;
    *) max_columns=110 ;;
  esac
  lines=$(wc -l < "$file")
  wide_lines=$(awk -v max="$max_columns" 'length($0) > max' "$file" | wc -l)
  if [ "$lines" -gt "$max_lines" ] || [ "$wide_lines" -gt 0 ]; then
    echo "$file: $lines lines, must have at most $max_lines; $wide_lines lines over $max_columns columns"
    status=1
  fi
done
exit "$status"
