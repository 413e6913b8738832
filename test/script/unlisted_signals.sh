# Guards against new requests to a server that asked for a pause, or said that it
# leaves, when its entry in the list couldn't be read for a moment.
. "$PWD/test/script/deployment.inc"

# Sends requests: NUMBER PATH. Prints their statuses.
send() {
	for i in $(seq "$1"); do status_of 21 "$2" k1; done | sort | uniq -c | sed 's/^ *//'
}

logged() {
	grep -c "event=$1 server=i-$2" gateway-21.log
}

# Lets the list lose the entry of server 43 until the gateway has seen it: TIMES so far.
lose_entry() {
	set_standin 31 "{\"instances\": [$(server 41 ready), $(server 42 ready), {\"id\": 43}]}"
	wait_for $(($1 + 1)) logged server.gone 43
	set_standin 31 "{\"instances\": [$(server 41 ready), $(server 42 ready), $(server 43 ready)]}"
	wait_for $(($1 + 2)) logged server.listed 43
}

retry_slack=4000
deployment ", $(server 43 ready)"
standin_at 43 '"kind": "backend", "id": "i-43"'
first_manifest '"k1"'
wait_for 200 ready 21

echo "== a server wants nothing for some time"
set_standin 43 '{"full": 1, "retry_after": "5"}'
for i in $(seq 200); do
	[ "$(logged server.paused 43)" -gt 0 ] && break
	status_of 21 /plain/a k1 >/dev/null
done
lose_entry 0
set_standin 43 '{"full": 0}'
send 60 /plain/a
echo "requests meanwhile: $(stat_of 43 arrived)"
sleep 6
send 60 /plain/a
[ "$(stat_of 43 arrived)" -gt 0 ] && echo "later it gets some again"

echo "== a server is brittle"
set_standin 43 '{"brittle": "2"}'
for i in $(seq 200); do
	[ "$(logged server.brittle 43)" -gt 0 ] && break
	status_of 21 /plain/a k1 >/dev/null
done
lose_entry 1
grep -c 'event=server.restored server=i-43 .* brittle=1' gateway-21.log
set_standin 43 '{"brittle": ""}'

echo "== a server leaves"
set_standin 43 '{"leaving": "1"}'
for i in $(seq 200); do
	[ "$(logged server.leaving 43)" -gt 0 ] && break
	status_of 21 /plain/a k1 >/dev/null
done
lose_entry 2
set_standin 43 '{"leaving": "1"}'
send 60 /plain/a
echo "requests meanwhile: $(stat_of 43 arrived)"
