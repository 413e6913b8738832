#!/bin/sh
# Demo: a small fictitious deployment in Budapest, on loopback. Each line of the
# output says what was checked; the first failed check ends the demo with exit
# code 1.
# usage: demo.sh BUILD
set -eu
build=$1
ac=$build/acaciahinge
standin=$build/test/standin
dir=$(mktemp -d "${TMPDIR:-/tmp}/ac-demo-XXXXXX")
first_port=10000
port_blocks=20
dcs="csepel angyalfold kelenfold"
pids=""

fail() {
	echo "FAILED: $*"
	for log in "$dir"/*.log; do
		[ -s "$log" ] && echo "--- $log" && tail -n 15 "$log"
	done
	exit 1
}

step() {
	echo "ok  $*"
}

finish() {
	for p in $pids; do kill -KILL "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap finish EXIT
trap 'exit 1' INT TERM

# start NAME COMMAND...: starts a process and stores its id in pid_NAME.
start() {
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	eval "pid_$(echo "$name" | tr - _)=$!"
	pids="$pids $!"
}

pid_of() {
	eval "echo \$pid_$(echo "$1" | tr - _)"
}

# until_true SECONDS COMMAND...: repeats a command until it succeeds; fails when
# it hasn't after that many seconds (20 tries each).
until_true() {
	left=$(($1 * 20))
	shift
	until "$@"; do
		left=$((left - 1))
		[ "$left" -gt 0 ] || return 1
		sleep 0.05
	done
}

healthy() {
	curl -s -f -m 1 -o /dev/null "http://127.0.0.1:$1/healthz"
}

has() {
	curl -s -m 2 "http://127.0.0.1:$1$2" | grep -q "$3"
}

# number PORT PATH KEY: prints the number under a key of a JSON response.
number() {
	curl -s -m 2 "http://127.0.0.1:$1$2" |
	    sed -n "s/.*\"$3\": *\([0-9][0-9]*\).*/\1/p"
}

# taken PORT: succeeds when a process listens on the port (curl's exit code 7 is
# "connection refused").
taken() {
	code=0
	curl -s -m 1 -o /dev/null "http://127.0.0.1:$1" || code=$?
	[ "$code" -ne 7 ]
}

# free_block: sets `port` to the start of a block of 100 ports; those that the
# demo uses are free.
free_block() {
	n=$(($$ % port_blocks))
	for try in $(seq $port_blocks); do
		port=$((first_port + (n + try) % port_blocks * 100))
		used=""
		for i in 1 2 3 11 12 13 21 22 23 31 32 33 41 42 43 44 45 46 \
		    51 52 53 91 92 93; do
			taken $((port + i)) && used=$i && break
		done
		[ -z "$used" ] && return
	done
	fail "no free ports"
}

dc() {
	echo "$dcs" | cut -d ' ' -f $((($1 - 1) % 3 + 1))
}

peers() {
	for i in 1 2 3; do
		[ "$i" = 1 ] || printf ', '
		printf '{"id": %d, "name": "control-%s", "data_centre": "%s",' \
		    "$i" "$(dc $i)" "$(dc $i)"
		printf ' "peer": "127.0.0.1:%d", "operators": "127.0.0.1:%d"}' \
		    $((port + 10 + i)) $((port + 20 + i))
	done
}

# settings ROLE NUMBER ADDRESSES: settings of a control or entry process.
settings() {
	cat <<-EOF
	{"role": "$1", "node": "$1-$(dc "$2")", "data_centre": "$(dc "$2")",
	 "deployment": "budapest", $3,
	 "control": [$(peers)],
	 "cloud": "127.0.0.1:$((port + 91))",
	 "vm_list": "127.0.0.1:$((port + 92))",
	 "weight_store": "127.0.0.1:$((port + 93))",
	 "tls": {"plain": true}, "drain_ms": 10000}
	EOF
}

write_settings() {
	for i in 1 2 3; do
		settings control "$i" "\"data_folder\": \"$dir/data-$i\",
		    \"peer\": \"127.0.0.1:$((port + 10 + i))\",
		    \"operators\": \"127.0.0.1:$((port + 20 + i))\"" \
		    >"$dir/control-$i.json"
		settings entry "$i" "\"callers\": \"127.0.0.1:$((port + i))\",
		    \"operators\": \"127.0.0.1:$((port + 30 + i))\"" \
		    >"$dir/entry-$i.json"
	done
	for i in 1 2 3 4 5 6; do
		cat >"$dir/runner-$i.json" <<-EOF
		{"kind": "runner", "name": "runner-$i", "seed": $i,
		 "address": "127.0.0.1:$((port + 40 + i))", "step_us": 8000,
		 "versions": [{"name": "v1"}, {"name": "v2"}]}
		EOF
	done
	for i in 1 2 3; do
		cat >"$dir/booking-$i.json" <<-EOF
		{"kind": "service", "name": "booking-$i", "seed": $i,
		 "address": "127.0.0.1:$((port + 50 + i))"}
		EOF
	done
	echo "{\"kind\": \"cloud\", \"address\": \"127.0.0.1:$((port + 91))\"}" \
	    >"$dir/cloud.json"
	echo "{\"kind\": \"vm_list\", \"address\": \"127.0.0.1:$((port + 92))\"}" \
	    >"$dir/vm_list.json"
	echo "{\"kind\": \"weight_store\", \"address\":" \
	    "\"127.0.0.1:$((port + 93))\"}" >"$dir/weight_store.json"
}

# server NUMBER POOL FIRST-PORT NAME VERSIONS: a backend server in a note.
server() {
	printf '{"name": "%s-%d", "pool": "%s", "data_centre": "%s",' \
	    "$4" "$1" "$2" "$(dc "$1")"
	printf ' "address": "127.0.0.1:%d"%s}' $((port + $3 + $1)) "$5"
}

route() {
	printf '{"path": "%s", "pool": "%s", "mode": "%s", "idempotent": %s,' \
	    "$1" "$2" "$3" "$4"
	printf ' "priority": 1, "first_token_ms": 540,'
	printf ' "between_tokens_ms": 37, "timeout_ms": 30000}'
}

servers() {
	for i in 1 2 3 4 5 6; do
		server "$i" carpet-desk 40 runner "$1"
		printf ', '
	done
}

first_note() {
	cat <<-EOF
	{"note": "first", "base": 0,
	 "data_centres": {"add": [
	  {"name": "csepel", "region": "budapest"},
	  {"name": "angyalfold", "region": "budapest"},
	  {"name": "kelenfold", "region": "budapest"}]},
	 "pools": {"add": [{"name": "carpet-desk", "kind": "runner"},
	  {"name": "booking", "kind": "service"}]},
	 "versions": {"add": [{"name": "v1", "pool": "carpet-desk"}]},
	 "backend_servers": {"add": [
	  $(servers ', "versions": ["v1"], "fenced": true')
	  $(server 1 booking 50 booking ''), $(server 2 booking 50 booking ''),
	  $(server 3 booking 50 booking '')]},
	 "routes": {"add": [
	  $(route /v1/chat/completions carpet-desk stream true),
	  $(route /stock booking at_once true),
	  $(route /bookings booking later false)]},
	 "customers": {"add": [{"name": "depot", "weight": 1},
	  {"name": "planners", "weight": 3}]}}
	EOF
}

second_note() {
	cat <<-EOF
	{"note": "move-to-v2", "base": 1,
	 "versions": {"add": [{"name": "v2", "pool": "carpet-desk",
	  "replaces": "v1", "complete_by": "$1"}]},
	 "backend_servers": {"change": [
	  $(servers ', "versions": ["v1", "v2"], "fenced": true' |
	    sed 's/, $//')]}}
	EOF
}

# ask ENTRY PATH BODY FILE [CURL-OPTION...]: sends a request; the body of the
# response goes to FILE, its headers to FILE.head.
ask() {
	to=$((port + $1))
	path=$2
	body=$3
	file=$4
	shift 4
	curl -s -N -m 60 -D "$file.head" -o "$file" "$@" -d "$body" \
	    "http://127.0.0.1:$to$path"
}

chat_body() {
	printf '{"messages": [{"role": "user", "content": "%s"}],' "$1"
	printf ' "stream": true, "max_tokens": %d}' "$2"
}

text_of() {
	sed -n 's/.*"content": *"\([^"]*\)".*/\1/p' "$1" | tr -d '\n'
}

# whole FILE: succeeds when a stream is complete: one id, all tokens, and the
# end marker.
whole() {
	n=$(grep -c '"content"' "$1" || true)
	said=$(sed -n 's/.*"completion_tokens": *\([0-9]*\).*/\1/p' "$1")
	ids=$(sed -n 's/.*"id": *"\([^"]*\)".*/\1/p' "$1" | sort -u | wc -l)
	[ "$n" -gt 0 ] && [ "$n" = "$said" ] && [ "$ids" = 1 ] &&
	    grep -q '^data: \[DONE\]' "$1"
}

model_of() {
	sed -n 's/.*"model": *"\([^"]*\)".*/\1/p' "$1" | sort | uniq -c
}

# busy_runner: prints the number of the first runner with a running request.
busy_runner() {
	for i in 1 2 3 4 5 6; do
		r=$(number $((port + 40 + i)) /test/stats running || true)
		[ "${r:-0}" = 0 ] || echo "$i"
	done | head -n 1
}

some_runner_busy() {
	[ -n "$(busy_runner)" ]
}

sum_services() {
	sum=0
	for i in 1 2 3; do
		n=$(number $((port + 50 + i)) /test/stats "$1")
		sum=$((sum + n))
	done
	echo $sum
}

leader() {
	for i in 1 2 3; do
		name=$(curl -s -m 1 \
		    "http://127.0.0.1:$((port + 20 + i))/v1/status" |
		    sed -n 's/.*"leader": *"\([^"]*\)".*/\1/p')
		[ -n "$name" ] && echo "$name" && return
	done
}

new_leader() {
	now=$(leader)
	[ -n "$now" ] && [ "$now" != "$1" ]
}

number_of_leader() {
	for i in 1 2 3; do
		[ "control-$(dc $i)" = "$1" ] && echo $i
	done
}

free_block
write_settings
for i in 1 2 3; do
	for role in control entry; do
		"$ac" check "$dir/$role-$i.json" >"$dir/check.log" ||
		    fail "check rejects $role-$i.json"
	done
done
step "settings of three control and three entry processes pass check"

for kind in cloud vm_list weight_store; do
	start $kind "$standin" --settings "$dir/$kind.json"
done
for i in 1 2 3 4 5 6; do
	start runner-$i "$standin" --settings "$dir/runner-$i.json"
done
for i in 1 2 3; do
	start booking-$i "$standin" --settings "$dir/booking-$i.json"
	start control-$i "$ac" control --settings "$dir/control-$i.json"
	start entry-$i "$ac" entry --settings "$dir/entry-$i.json"
done
until_true 10 new_leader "" || fail "no control process leads"
step "three control processes elected $(leader)"

first_note >"$dir/first.json"
"$ac" check "$dir/first.json" >"$dir/check.log" ||
    fail "check rejects the first note"
"$ac" note submit "$dir/first.json" --settings "$dir/entry-1.json" \
    >"$dir/note.log" 2>&1 || fail "the first note was not accepted"
"$ac" note submit "$dir/first.json" --settings "$dir/entry-2.json" \
    >"$dir/note.log" 2>&1 || fail "the resent note was not accepted"
for i in 1 2 3; do
	until_true 5 has $((port + 30 + i)) /v1/state '"revision": *1' ||
	    fail "revision 1 is not applied at entry $i"
	until_true 5 healthy $((port + i)) || fail "entry $i is not healthy"
done
step "note accepted, and again when resent; revision 1 applied at three entries"

contract=$(chat_body "Review the contract for 300 m of red carpet." 240)
ask 1 /v1/chat/completions "$contract" "$dir/contract" \
    -H 'X-Customer: planners' || fail "the request for the contract failed"
whole "$dir/contract" || fail "stream of the contract is not complete"
step "contract streamed completely:" \
    "$(grep -c '"content"' "$dir/contract") tokens, one id, end marker"

chat=$(chat_body "Roll 12 is short two stanchions, what now?" 300)
ask 2 /v1/chat/completions "$chat" "$dir/chat" -H 'X-Customer: depot' ||
    fail "the request for the chat failed"
whole "$dir/chat" || fail "stream of the chat is not complete"
step "crew chat streamed completely: $(grep -c '"content"' "$dir/chat") tokens"

ask 3 /stock '{"item": "carpet, 4 m"}' "$dir/stock" ||
    fail "the request for the stock failed"
grep -q '"path": *"/stock"' "$dir/stock" ||
    fail "wrong response to the stock lookup"
step "stock looked up"

ask 1 /bookings '{"day": "2026-12-24"}' "$dir/b1" \
    -H 'Idempotency-Key: gala-1' -H 'X-Customer: planners' ||
    fail "the request for the booking failed"
grep -q '^HTTP/1.1 20[02]' "$dir/b1.head" || fail "booking not accepted"
id=$(tr -d '\r' <"$dir/b1.head" | sed -n 's/^X-Request-Id: //p')
until_true 5 has $((port + 2)) "/v1/requests/$id" '"answered"' ||
    fail "another entry has no response for the booking"
ask 3 /bookings '{"day": "2026-12-24"}' "$dir/b2" \
    -H 'Idempotency-Key: gala-1' -H 'X-Customer: planners' ||
    fail "the request for the resent booking failed"
grep -q '^HTTP/1.1 200' "$dir/b2.head" ||
    fail "resent booking did not get status 200"
[ "$(sum_services ids)" = 2 ] ||
    fail "services did not run exactly two request ids"
[ "$(sum_services repeated)" = 0 ] || fail "a run was repeated"
step "booking sent twice under one key at two entries ran once"

ask 1 /v1/chat/completions "$chat" "$dir/cut1" -H 'X-Customer: depot' &
asked=$!
until_true 5 some_runner_busy || fail "no runner at work"
sleep 0.3
busy=$(busy_runner)
[ -n "$busy" ] || fail "the chat ended before the kill"
kill -KILL "$(pid_of "runner-$busy")"
wait $asked || fail "chat failed when its runner was killed"
whole "$dir/cut1" || fail "chat not complete after its runner was killed"
[ "$(text_of "$dir/chat")" = "$(text_of "$dir/cut1")" ] ||
    fail "text of the chat differs after its runner was killed"
step "runner-$busy killed while a chat streamed: same complete text"

old=$(leader)
ask 2 /v1/chat/completions "$chat" "$dir/cut2" -H 'X-Customer: depot' &
asked=$!
until_true 5 some_runner_busy || fail "no runner at work"
kill -KILL "$(pid_of "control-$(number_of_leader "$old")")"
wait $asked || fail "chat failed when the leader was killed"
whole "$dir/cut2" || fail "chat not complete after the leader was killed"
[ "$(text_of "$dir/chat")" = "$(text_of "$dir/cut2")" ] ||
    fail "text of the chat differs after the leader was killed"
until_true 10 new_leader "$old" || fail "no new leader"
step "$old killed while a chat streamed: same text; $(leader) leads"

start load "$ac" load -t 127.0.0.1:$((port + 1)) -t 127.0.0.1:$((port + 2)) \
    -t 127.0.0.1:$((port + 3)) --mix chat=4,question=1 -r 60 -d 20 \
    --token-permille 300 --check --json "$dir/load.json"
second_note "$(date -u -d '+20 seconds' +%FT%TZ)" >"$dir/second.json"
"$ac" note submit "$dir/second.json" --settings "$dir/entry-1.json" \
    >"$dir/note.log" 2>&1 ||
    fail "the note with the rollout of v2 was not accepted"
timeout 60 "$ac" note watch move-to-v2 --settings "$dir/entry-1.json" \
    >"$dir/watch.log" 2>&1 ||
    fail "rollout of v2 did not complete: $(tail -n 3 "$dir/watch.log")"
wait "$(pid_of load)" || fail "load check during the rollout failed"
ask 3 /v1/chat/completions "$chat" "$dir/v2" -H 'X-Customer: depot' ||
    fail "the request for the chat after the rollout failed"
whole "$dir/v2" || fail "chat not complete after the rollout"
model_of "$dir/v2" | grep -q ' v2$' || fail "v2 does not serve the chat"
step "rollout of v2 completed under load, every response exact:" \
    "$(grep -m 1 '"whole"' "$dir/load.json" | tr -d ' ,') ; v2 serves"

for i in 1 2 3; do
	kill -TERM "$(pid_of entry-$i)" || fail "entry $i is not running"
	wait "$(pid_of entry-$i)" || fail "entry $i did not stop gracefully"
	[ "control-$(dc $i)" = "$old" ] && continue
	kill -TERM "$(pid_of control-$i)" || fail "control $i is not running"
	wait "$(pid_of control-$i)" || fail "control $i did not stop gracefully"
done
step "entries and control stopped with exit code 0 on SIGTERM"
