#!/bin/sh
# Runs a whole system on loopback, sends requests to it, and checks the answers
# against the execution logs of the endpoints.
# Environment: BUILD (build), FG_PORT_BASE (40 ports from there are used; by
# default a block that no other run holds).
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
. scripts/port-base.sh
base=$FG_PORT_BASE
bin=$BUILD/bin
dir=$(mktemp -d)
pids=
READY_TRIES=150 # every 200 ms
STOP_TRIES=50	# every 200 ms

say() {
	echo "demo: $*"
}

any_running() {
	for pid in $pids; do
		kill -0 "$pid" 2>/dev/null && return 0
	done
	return 1
}

signal_all() {
	for pid in $pids; do
		kill "-$1" "$pid" 2>/dev/null || true
	done
}

show_logs() {
	for log in "$dir"/*.log; do
		[ -s "$log" ] || continue
		say "end of $(basename "$log"):"
		tail -n 5 "$log"
	done
}

stop_all() {
	status=$?
	trap - EXIT INT TERM
	signal_all TERM
	tries=0
	while any_running && [ "$tries" -lt "$STOP_TRIES" ]; do
		tries=$((tries + 1))
		sleep 0.2
	done
	signal_all KILL
	wait
	[ "$status" -eq 0 ] || show_logs
	rm -rf "$dir"
	exit "$status"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

addr() {
	echo "127.0.0.1:$((base + $1))"
}

# run NAME PROGRAM ARGS...: starts a process in the background.
run() {
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids="$pids $!"
}

# ask METHOD ADDRESS PATH [JSON]: sends a request and prints the answer.
ask() {
	python3 tests/fghttp.py "$@"
}

# endpoint PROGRAM NAME PORT SERVICE DC OPTIONS...: PORT is relative to the base.
endpoint() {
	program=$1 name=$2 port=$3 service=$4 dc=$5
	shift 5
	run "$name" "$bin/$program" --listen "$(addr "$port")" \
		--control "$(addr $((port + 1)))" --name "$name" \
		--region coast --dc "$dc" --service "$service" \
		--platform "$(addr 0)" --history "$dir/$name.hist" "$@"
}

# entry NAME PORT DC: PORT is relative to the base.
entry() {
	cat >"$dir/$1.yaml" <<-YAML
		name: $1
		region: coast
		dc: $3
		http: $(addr "$2")
		rpc: $(addr $(($2 + 1)))
		platform: $(addr 0)
		history: $dir/$1.entryhist
	YAML
	run "$1" "$bin/fg-entry" --config "$dir/$1.yaml"
}

# wait_for WHAT COMMAND...: waits until the command succeeds.
wait_for() {
	what=$1
	shift
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		if [ "$tries" -ge "$READY_TRIES" ]; then
			say "timed out waiting for $what"
			exit 1
		fi
		sleep 0.2
	done
}

all_listed() {
	[ "$(ask GET "$(addr 0)" /instances | grep -o '"name"' | wc -l)" \
		-ge 9 ]
}

# change TEXT: sends a change; succeeds when it was accepted.
change() {
	ask POST "$(addr 30)" /v1/admin/change \
		"{\"change\":$1,\"wait_ms\":5000}" >"$dir/answer"
	grep -q '"status": *"accepted"' "$dir/answer"
}

# catalogue: prints the changes that create 24 adapters as one JSON text. Every
# third adapter has a second version. Writes the newest version of each adapter
# to newest and the adapters to request to adapters.
catalogue() {
	printf '{"kind":"batch","changes":['
	printf '{"kind":"service_put","service":"menus","plain":false,"checks_fence":true,"loads_per_s":5,"loads_in_flight":8,"load_ms":250},'
	printf '{"kind":"service_put","service":"notes","plain":false,"checks_fence":false,"loads_per_s":5,"loads_in_flight":8,"load_ms":250},'
	printf '{"kind":"service_put","service":"orders","plain":true}'
	i=1
	while [ $i -le 24 ]; do
		adapter=$(printf 'a%04d' $i)
		model=menus
		[ $((i % 2)) -eq 0 ] || model=notes
		printf ',{"kind":"adapter_add","base":"%s","adapter":"%s"}' \
			$model "$adapter"
		printf ',{"kind":"version_add","adapter":"%s","version":"v1"}' \
			"$adapter"
		printf ',{"kind":"right_grant","adapter":"%s","caller":"kitchen"}' \
			"$adapter"
		newest=v1
		if [ $((i % 3)) -eq 0 ]; then
			printf ',{"kind":"version_add","adapter":"%s","version":"v2"}' \
				"$adapter"
			newest=v2
		fi
		echo "$adapter $newest" >>"$dir/newest"
		# Every other adapter is requested with a version.
		if [ $((i % 2)) -eq 0 ]; then
			echo "$adapter v1" >>"$dir/adapters"
		else
			echo "$adapter" >>"$dir/adapters"
		fi
		i=$((i + 1))
	done
	printf ']}'
}

say "starting a platform, 4 engines, 2 plain services and 3 entries"
run platform "$bin/standin-platform" --listen "$(addr 0)" \
	--control "$(addr 1)" --name platform --list-lag-ms 300 \
	--loads-per-s 5
wait_for "the platform" ask GET "$(addr 0)" /instances
endpoint standin-engine engine1 10 menus north --slots 5 --checks-fence
endpoint standin-engine engine2 12 menus south --slots 5 --checks-fence
endpoint standin-engine engine3 14 notes north --slots 5
endpoint standin-engine engine4 16 notes south --slots 5
endpoint standin-plain orders1 20 orders north
endpoint standin-plain orders2 22 orders south
entry entry1 30 north
entry entry2 32 south
entry entry3 34 south
wait_for "the list of instances" all_listed

say "creating 24 adapters"
catalogue >"$dir/change"
wait_for "the change" change "$(cat "$dir/change")"

say "sending 240 requests"
"$bin/fg-load" --address "$(addr 30)" --address "$(addr 32)" \
	--address "$(addr 34)" --caller kitchen --requests 240 --rate 24 \
	--adapters "$dir/adapters" --zipf 1.0 --service orders --seed 7 \
	--mix draft=40,interactive=30,status=20,filing=10 \
	--history "$dir/caller.jsonl" --show 1 || true

python3 tests/demo_verdict.py "$dir/newest" "$dir/caller.jsonl" "$dir"/*.hist
