# Runs the tests of build folder $1, only those with label $2 if given. Its last
# line is "N passed, N failed". Known failures (lines "test: NAME" in
# KNOWN-RED.txt) are run and printed but do not fail the run. CHECK_JOBS is the
# number of parallel tests, 4 by default.
set -u
build=$1
label=${2:-}
log=$build/check.log
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
jobs=${CHECK_JOBS:-4}
ctest --test-dir "$build" ${label:+-L $label} -j "$jobs" \
  --verbose > "$log" 2>&1
status=$?
passed=$(sed -n 's/^.*unit: \([0-9]*\) passed, [0-9]* failed$/\1/p' "$log" |
  awk '{s += $1} END {print s + 0}')
failed=$(sed -n 's/^.*unit: [0-9]* passed, \([0-9]*\) failed$/\1/p' "$log" |
  awk '{s += $1} END {print s + 0}')
broken=$(sed -n 's/^ *[0-9]*\/[0-9]* Test *#[0-9]*: \([a-z_0-9]*\) .*\*\*\*.*$/\1/p' "$log" | sort -u)
verdict=0
[ "$status" != 0 ] && [ -z "$broken" ] && verdict=1
for t in $broken; do
  if printf '%s\n' "$red" | grep -qx "$t"; then
    echo "known failure: $t"
  else
    echo "FAILED: $t"
    verdict=1
  fi
done
if [ "$verdict" != 0 ] || [ -n "$broken" ]; then
  grep -E 'Test *: .*FAILED|^[0-9]+: +[0-9]+\. .*:[0-9]+|\*\*\*|ERROR: |runtime error' "$log" | head -80
fi
[ "$passed" = 0 ] && verdict=1
echo "$passed passed, $failed failed"
exit $verdict
