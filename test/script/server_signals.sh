# Guards against new requests to a server that said in a response that it leaves,
# or for how long it wants none, also by a gateway without control.
. "$PWD/test/script/deployment.inc"

# Prints how often an event of a server is in the gateway's log: EVENT SERVER.
logged() {
	grep -c "event=$1 server=i-$2" gateway-21.log
}

# Sends requests until an event of a server is logged: EVENT SERVER PATH.
until_logged() {
	for i in $(seq 200); do
		[ "$(logged "$1" "$2")" -gt 0 ] && return
		status_of 21 "$3" k1 >/dev/null
	done
	echo "not logged: $1 of $2"
}

# Sends requests: NUMBER PATH. Prints their statuses.
send() {
	for i in $(seq "$1"); do status_of 21 "$2" k1; done | sort | uniq -c | sed 's/^ *//'
}

# Sends a request; prints its status, whether it took longer than 0.3 s, and the
# whole seconds of Retry-After.
timed() {
	call 21 "$1" k1 -o /dev/null -w '%{http_code} %{time_total} %header{retry-after}\n' |
	    sed 's/status .*//' | awk 'NF { print $1, ($2 > 0.3 ? "late" : "at once"), ($3 > 4 ? "4 s or more" : int($3) " s") }'
}

retry_slack=4000
standin_at 31 "\"kind\": \"platform\", \"instances\": [$(server 41 ready), $(server 42 ready), $(server 43 ready)]"
for i in 41 42 43; do standin_at $i "\"kind\": \"backend\", \"id\": \"i-$i\""; done
for i in 11 12 13; do hub $i true; done
gateway 21
first_manifest '"k1"'
wait_for 200 ready 21

echo "== leaving is said in a complete response, and the list says ready"
set_standin 41 '{"leaving": "1"}'
until_logged server.leaving 41 /plain/a
set_standin 41 '{"leaving": "1"}'
send 40 /plain/a
send 40 /booking/a
send 4 /stream/a
echo "new requests: $(stat_of 41 asked_for_work)"

echo "== it is said in a stream's head, and the stream goes on"
set_standin 42 '{"leaving": "1", "events": 60, "gap_ms": 20}'
set_standin 43 '{"leaving": "1", "events": 60, "gap_ms": 20}'
call 21 /stream/a k1 -o stream.out >/dev/null &
stream=$!
sleep 0.5
logged server.leaving 42 >before.out
logged server.leaving 43 >>before.out
set_standin 42 '{"leaving": ""}'
set_standin 43 '{"leaving": ""}'
wait $stream
echo "logged before its end: $(sort -r before.out | head -1), events: $(grep -c '^id' stream.out)"

echo "== the same server, started again under its id, gets requests again"
set_standin 41 '{"leaving": ""}'
for i in 41 42 43; do
	[ "$(logged server.leaving $i)" = 0 ] || wait_for 1 logged server.returned $i
done
set_standin 41 '{"leaving": ""}'
send 60 /plain/a
[ "$(stat_of 41 arrived)" -gt 0 ] && echo "it does"

echo "== without control, in a refusal"
for h in 11 12 13; do eval "kill -STOP \$hub_$h"; done
set_standin 42 '{"leaving": "1", "full": 1}'
before=$(logged server.leaving 42)
for i in $(seq 40); do
	[ "$(logged server.leaving 42)" -gt "$before" ] && break
	status_of 21 /plain/a k1 >/dev/null
done
set_standin 42 '{"full": 1}'
send 40 /plain/a
echo "new requests: $(stat_of 42 asked_for_work)"
for h in 11 12 13; do eval "kill -CONT \$hub_$h"; done
set_standin 42 '{"leaving": "", "full": 0}'
wait_for 200 ready 21

echo "== a server wants nothing for some time"
# Longer than the requests take on a busy machine: after it one is allowed.
set_standin 43 '{"full": 1, "retry_after": "6"}'
until_logged server.paused 43 /plain/a
set_standin 43 '{"full": 1}'
send 60 /plain/a
echo "requests meanwhile: $(stat_of 43 arrived)"
sleep 8
set_standin 43 '{"full": 0}'
send 60 /plain/a
[ "$(stat_of 43 arrived)" -gt 0 ] && echo "later it gets some again"

echo "== malformed values are logged once, and ignored"
set_standin 43 '{"full": 1, "retry_after": "soon", "limit": "-1", "leaving": "maybe"}'
until_logged signal.malformed 43 /plain/a
set_standin 43 '{"full": 1}'
sleep 0.3
send 100 /plain/a
[ "$(stat_of 43 arrived)" -gt 1 ] && echo "it gets requests"
grep -o 'event=signal.malformed .*' gateway-21.log | sort

echo "== all servers want nothing"
for i in 41 42 43; do
	set_standin $i '{"full": 1, "retry_after": "6", "leaving": "", "limit": ""}'
done
for i in $(seq 8); do timed /plain/a >/dev/null; done
timed /plain/a
for i in 41 42 43; do set_standin $i '{"full": 1}'; done
timed /booking/a
timed /stream/a
echo "requests meanwhile: $(stat_of 41 arrived) $(stat_of 42 arrived) $(stat_of 43 arrived)"
for i in 41 42 43; do set_standin $i '{"full": 0}'; done
sleep 8
timed /plain/a

echo "== a request waits when a server takes it before its deadline"
for i in 41 42 43; do set_standin $i '{"full": 1, "retry_after": "0.8"}'; done
for i in 1 2 3; do
	call 21 /booking/a k1 -o /dev/null >/dev/null &
	eval "wait_$i=$!"
done
for i in 1 2 3; do eval "wait \$wait_$i"; done
for i in 41 42 43; do set_standin $i '{"full": 0}'; done
send 1 /plain/a
[ "$(grep -c event=request.waits gateway-21.log)" -gt 0 ] && echo "some waited"
