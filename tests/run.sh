#!/bin/sh
# Runs the tests; the last line is "N passed, N failed".
# Usage: tests/run.sh [all|unit|sanitized]
#   all        unit tests, scenarios, gateway scenarios, a replacement of
#              builds, crowds of callers, soak, stops in series, invalid input,
#              seeded runs
#   unit       unit tests only
#   sanitized  unit tests, one scenario, and the gateway scenarios of limits and
#              stops, for the sanitizer builds
# Tests listed in KNOWN-RED.txt run as well; their failures are printed, but do
# not fail the run. The failures are listed once more before the last line, each
# with the first reason that its output gives.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
export BUILD
. scripts/port-base.sh
what=${1:-all}
passed=0
failed=0
skipped=0
known=0
log=$(mktemp)
summary=$(mktemp)
trap 'rm -f "$log" "$summary"' EXIT

is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -q "^$1 " KNOWN-RED.txt
}

# first_reason FILE [PATTERN]: the first line of a test's output that says why it
# failed, cut to a readable length; its last line where no line matches.
first_reason() {
	reason=$(grep -m 1 -e "${2:-^not ok \|ERROR:\|Error: }" "$1") ||
		reason=$(tail -n 1 "$1")
	printf '%.300s' "$reason"
}

# record NAME STATUS [REASON]: counts one test.
record() {
	if [ "$2" -eq 0 ]; then
		passed=$((passed + 1))
	elif is_known_red "$1"; then
		known=$((known + 1))
		echo "KNOWN RED: $1" | tee -a "$summary"
	else
		failed=$((failed + 1))
		echo "FAILED: $1"
		echo "FAILED: $1: ${3:-}" >>"$summary"
	fi
}

# run_tap PROGRAM: runs a GLib test program and counts its TAP results. Where a
# case of the program is listed in KNOWN-RED.txt (PROGRAM:/PATH), the cases of a
# failed run are run one by one, since an assertion ends the program.
run_tap() {
	name=$(basename "$1")
	"$1" --tap -k >"$log" 2>&1
	status=$?
	if [ "$status" -ne 0 ] && grep -q "^$name:" KNOWN-RED.txt; then
		run_cases "$1"
		return
	fi
	oks=$(grep -c '^ok ' "$log")
	passed=$((passed + oks))
	bad=$(sed -n 's/^not ok [0-9]* \([^ ]*\).*/\1/p' "$log")
	before=$failed
	for path in $bad; do
		record "$name:$path" 1 "$(first_reason "$log" 'ERROR:')"
	done
	# An aborted program did not run its remaining tests.
	if [ "$status" -ne 0 ] &&
		{ [ -z "$bad" ] || grep -q '^Bail out!' "$log"; }; then
		failed=$((failed + 1))
		echo "FAILED: $name: ended with $status" >>"$summary"
	fi
	if [ "$failed" -gt "$before" ]; then
		echo "FAILED: $name (exit $status)"
		tail -n 20 "$log"
	fi
}

# run_cases PROGRAM: runs each case by itself, so that one that is listed in
# KNOWN-RED.txt does not hide the others.
run_cases() {
	for path in $("$1" -l 2>/dev/null | grep '^/'); do
		"$1" -p "$path" >"$log" 2>&1
		status=$?
		[ $status -eq 0 ] || tail -n 20 "$log"
		record "$(basename "$1"):$path" $status "$(first_reason "$log")"
	done
}

for test in "$BUILD"/bin/test_*; do
	[ -x "$test" ] && run_tap "$test"
done

if [ "$what" != unit ] && [ -x tests/scenario.py ]; then
	for script in tests/scenarios/*.fgs; do
		[ -f "$script" ] || continue
		if [ "$what" = sanitized ]; then
			case "$script" in */00-*) ;; *) continue ;; esac
		fi
		tests/scenario.py "$script" >"$log" 2>&1
		status=$?
		if [ $status -ne 0 ]; then
			head -n 20 "$log" # the diff
			tail -n 30 "$log"
		fi
		record "$(basename "$script" .fgs)" $status \
			"$(first_reason "$log" '^[-+][^-+]')"
	done
fi

# run_seeded DEPLOYMENT SEED: a run under random faults.
run_seeded() {
	tests/seeded.py --deployment "$1" --seed "$2" --seconds 15 \
		>"$log" 2>&1
	status=$?
	[ $status -eq 0 ] || tail -n 60 "$log"
	record "seeded-$1-$2" $status "$(first_reason "$log")"
}

# record_lines PROGRAM STATUS LOG: counts the "ok NAME" and "not ok NAME" lines of
# a run that has ended.
record_lines() {
	name=$(basename "$1" .py)
	bad=0
	for line in $(sed -n 's/^ok \([a-z_0-9]*\)$/ok:\1/p;s/^not ok \([a-z_0-9]*\).*/bad:\1/p;s/^skipped \([a-z_0-9]*\).*/skip:\1/p' "$3"); do
		case "$line" in
		skip:*)
			skipped=$((skipped + 1))
			grep "^skipped ${line#skip:}" "$3"
			;;
		ok:*) record "$name-${line#ok:}" 0 ;;
		bad:*)
			bad=$((bad + 1))
			record "$name-${line#bad:}" 1 \
				"$(first_reason "$3" "^not ok ${line#bad:}\b")"
			;;
		esac
	done
	# A program that ended before its last scenario names no failed one.
	if [ "$2" -ne 0 ]; then
		cat "$3"
		[ $bad -gt 0 ] || record "$name" "$2" "$(first_reason "$3")"
	fi
}

run_lines() {
	"$1" >"$log" 2>&1
	record_lines "$1" $? "$log"
}

# run_named PREFIX BUILD NAMES...: scenarios of tests/gateway.py with another build.
run_named() {
	prefix=$1
	build=$2
	shift 2
	for scenario in "$@"; do
		BUILD=$build tests/gateway.py "$scenario" >"$log" 2>&1
		status=$?
		[ $status -eq 0 ] || cat "$log"
		record "$prefix-$scenario" $status "$(first_reason "$log")"
	done
}

# Scenarios that end requests from within many callbacks.
ENDING_SCENARIOS="holders_stop_above_limits limit_of_workspace limit_outlives_holder
	limit_lowered limit_returns_tokens stop_with_streams stop_is_no_crash
	answers_at_end_of_stop late_orders_of_stop late_lookups_of_stop
	late_drafts_of_stop"

# run_lanes PROGRAM N: runs the program's scenarios in N processes at a time,
# each of which holds ports of its own.
run_lanes() {
	pids=
	for lane in $(seq "$2"); do
		env -u FG_PORT_BASE "$1" --lane "$lane/$2" >"$log.$lane" 2>&1 &
		pids="$pids $!"
	done
	lane=0
	for pid in $pids; do
		lane=$((lane + 1))
		wait "$pid"
		record_lines "$1" $? "$log.$lane"
		rm -f "$log.$lane"
	done
}

# run_one NAME PROGRAM OPTIONS...: a program that is one test.
run_one() {
	name=$1
	shift
	"$@" >"$log" 2>&1
	status=$?
	[ $status -eq 0 ] || cat "$log"
	record "$name" $status "$(first_reason "$log")"
}

if [ "$what" = sanitized ]; then
	run_named sanitized "$BUILD" $ENDING_SCENARIOS
fi

if [ "$what" = all ]; then
	run_lanes tests/gateway.py 3
	run_named asan build/asan holders_stop_above_limits
	run_lines tests/upgrade.py
	run_lines tests/crowds.py
	run_lines tests/entry_crowds.py
	run_lines tests/entry_ends.py
	run_lines tests/port_blocks.py
	run_one soak-short tests/soak.py --seed 1 --rounds 1
	run_one soak-regressions tests/soak.py --regressions
	run_one soak-restores tests/soak.py --seed 1 --rounds 1 --restores
	run_one stop-rig-2 tests/stop_rig.py --seed 2
	run_one stop-rig-24 tests/stop_rig.py --seed 24
	run_one stop-rig-faults-3 tests/stop_rig.py --seed 3 --faults
	run_one bad_input tests/bad_input.py
	run_seeded huerta 4
	run_seeded association 5
fi

cat "$summary"
[ "$known" -eq 0 ] || echo "known red: $known (see KNOWN-RED.txt)"
if [ "$skipped" -eq 0 ]; then
	echo "$passed passed, $failed failed"
else
	echo "$passed passed, $failed failed, $skipped skipped"
fi
[ "$failed" -eq 0 ]
