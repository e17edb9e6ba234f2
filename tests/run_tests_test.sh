#!/usr/bin/env bash
# Tests run_tests.sh: it ignores failures of the listed tests and of no others, and rejects an invalid list.
set -uo pipefail
script=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# A fake ctest with four tests; those in FAILING fail. It exits with CODE if that is set.
cat > "$folder/ctest" <<'STAND_IN'
#!/usr/bin/env bash
tests=(Life.Ends Watch.Silent Cold.Sum Edge.Half)
if [ "${1:-}" = -N ]; then
  for i in "${!tests[@]}"; do echo "  Test #$((i + 1)): ${tests[$i]}"; done
  exit 0
fi
code=0
: > "$2"
for t in "${tests[@]}"; do
  status=run
  case " $FAILING " in *" $t "*) status=fail code=8 ;; esac
  echo "  <testcase name=\"$t\" classname=\"$t\" time=\"0.1\" status=\"$status\">" >> "$2"
done
exit "${CODE:-$code}"
STAND_IN
chmod +x "$folder/ctest"

failed=0
# expect CODE TEXT: runs the script with the list $folder/known-failures; it must exit with CODE and print TEXT
expect() {
  local out code
  out=$(bash "$script" "$folder/known-failures" "$folder/ctest" 2>&1)
  code=$?
  if [ "$code" -ne "$1" ] || ! grep -qF -- "$2" <<< "$out"; then
    echo "with FAILING='$FAILING' and list '$(cat "$folder/known-failures" 2>/dev/null)':"
    echo "exit code $code, expected $1, and '$2' in this output:"
    echo "$out"
    failed=1
  fi
}
export FAILING=""
expect 0 ""
FAILING="Cold.Sum"
expect 1 "failed: Cold.Sum"
echo "Cold.Sum, sums are too large, issue 24" > "$folder/known-failures"
expect 0 "known failure, ignored: Cold.Sum"
expect 0 "known failure: Cold.Sum, sums are too large, issue 24"
FAILING="Cold.Sum Edge.Half"
expect 1 "failed: Edge.Half"
FAILING=""
expect 0 "known failure passes now, remove its line: Cold.Sum"
echo "No.Such, cause, issue 24" > "$folder/known-failures"
expect 1 "'No.Such' must be the name of an existing test"
echo "Cold.Sum" > "$folder/known-failures"
expect 1 "line must be 'test, cause, issue'"
echo "Cold.Sum, no issue is named, none" > "$folder/known-failures"
expect 1 "line must be 'test, cause, issue'"
for t in Life.Ends Watch.Silent Cold.Sum Edge.Half; do echo "$t, cause, issue 1"; done > "$folder/known-failures"
expect 1 "the list has 4 lines, must have at most 3"
rm "$folder/known-failures"
export CODE=5
expect 1 "the test command exited with code 5"
exit "$failed"
