#!/usr/bin/env bash
# The list of known failures passes over what it names and nothing else.
set -uo pipefail
script=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# A stand-in for ctest: four tests, those in FAILING fail.
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

wrong=0
# expect CODE TEXT: runs with what stands in $folder/red
expect() {
  local out code
  out=$(bash "$script" "$folder/red" "$folder/ctest" 2>&1)
  code=$?
  if [ "$code" -ne "$1" ] || ! grep -qF -- "$2" <<< "$out"; then
    echo "with FAILING='$FAILING' and list '$(cat "$folder/red" 2>/dev/null)': code $code, wanted $1 and '$2' in:"
    echo "$out"
    wrong=1
  fi
}
export FAILING=""
expect 0 ""
FAILING="Cold.Sum"
expect 1 "failed: Cold.Sum"
echo "Cold.Sum, sums are too large, issue 24" > "$folder/red"
expect 0 "known red, passed over: Cold.Sum"
expect 0 "known red: Cold.Sum, sums are too large, issue 24"
FAILING="Cold.Sum Edge.Half"
expect 1 "failed: Edge.Half"
FAILING=""
expect 0 "known red passes now, its line has to go: Cold.Sum"
echo "No.Such, cause, issue 24" > "$folder/red"
expect 1 "'No.Such' is no test"
echo "Cold.Sum" > "$folder/red"
expect 1 "a line is not 'test, cause, issue'"
echo "Cold.Sum, no issue is named, none" > "$folder/red"
expect 1 "a line is not 'test, cause, issue'"
for t in Life.Ends Watch.Silent Cold.Sum Edge.Half; do echo "$t, cause, issue 1"; done > "$folder/red"
expect 1 "4 lines, 3 at most"
rm "$folder/red"
export CODE=5
expect 1 "the tests ended with 5"
exit "$wrong"
