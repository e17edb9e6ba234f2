#!/usr/bin/env bash
# The decision module stays readable: at most 940 non-blank lines of at most 110 columns.
set -euo pipefail
lines=$(grep -c '[^[:space:]]' "$1")
wide=$(awk 'length($0) > 110' "$1" | wc -l)
echo "$1: $lines non-blank lines, $wide over 110 columns"
[ "$lines" -le 940 ] && [ "$wide" -eq 0 ]
