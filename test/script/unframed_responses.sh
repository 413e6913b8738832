# Guards against a response without a length or chunks that was cut off by the crash of
# its server reaching the caller as complete.
. "$PWD/test/script/deployment.inc"

raw() {
	echo "{\"id\": \"i-$1\", \"service\": \"app\", \"address\": \"$net.$1:81\",
	    \"zone\": \"csepel\", \"version\": \"v1\", \"slots\": 6, \"state\": \"ready\"}"
}

# Sends a request for a stream, and prints its status, how curl ended and the data.
ask() {
	set_standin 41 "{\"responses\": [$1]}"
	got=$(call 21 /stream/a k1 -o body.out -w '%{http_code}') && ended=whole || ended=broken
	echo "$(echo "$got" | sed 's/status .*//') $ended $(grep -s data: body.out | tr -d '\n')"
	rm -f body.out
}

head='HTTP/1.1 200 OK\r\nX-Acaciahinge-Request-Id: $ID\r\nX-Acaciahinge-Server-Stamp: s\r\n'
ok="\"${head}Content-Length: 3\r\n\r\nyes\""
stream="${head}Content-Type: text/event-stream\r\n\r\n"
events='id: 1\ndata: a\n\nid: 2\ndata: b\n\n'

standin_at 31 "\"kind\": \"platform\", \"instances\": [$(raw 41)]"
standin_at 41 "\"kind\": \"raw\", \"raw_address\": \"$net.41:81\", \"responses\": [$ok]"
for i in 11 12 13; do hub $i true; done
gateway 21
first_manifest '"k1"'
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1

echo "== the server lives"
ask "\"$stream$events\$CLOSE\", $ok"
echo "== it ends the connection before the first event; another attempt follows"
ask "\"$stream\$CLOSE\", \"$stream$events\$CLOSE\", $ok"
echo "== within an event"
ask "\"${stream}id: 1\ndata: a\n\$CLOSE\", \"$stream$events\$CLOSE\", $ok"
plain="${head}Content-Type: text/plain\r\n\r\n"
echo "== a plain response, the server lives"
set_standin 41 "{\"responses\": [\"${plain}all\$CLOSE\", $ok]}"
call 21 /plain/a k1
echo "== it crashes behind a part of it"
standin_at 44 "\"kind\": \"raw\", \"raw_address\": \"$net.44:81\", \"responses\": [\"${plain}hal\$EXIT\"]"
set_standin 31 "{\"instances\": [$(raw 44)]}"
wait_for 1 grep -c "event=server.listed server=i-44" gateway-21.log
wait_for 1 grep -c "event=server.gone server=i-41" gateway-21.log
call 21 /plain/a k1 | sed 's/.*status/status/'
echo "== the same, and another server is there"
standin_at 45 "\"kind\": \"raw\", \"raw_address\": \"$net.45:81\", \"responses\": [\"${plain}hal\$EXIT\"]"
set_standin 31 "{\"instances\": [$(raw 45), $(raw 41)]}"
wait_for 1 grep -c "event=server.listed server=i-45" gateway-21.log
cut='event=attempt.failed.*server=i-45.*reason="the server ended during the response"'
for i in $(seq 50); do
	call 21 /plain/a k1
	grep -q "$cut" gateway-21.log && break
done | sort -u
grep -c "$cut" gateway-21.log
set_standin 31 "{\"instances\": [$(raw 41)]}"
wait_for 200 status_of 21 /plain/a k1

# A stream of a server that ends after the platform has shown it otherwise: NUMBER
# LIST LOG-LINE. Each call needs a server of its own: one that was listed as draining
# gets no requests under the same id again.
ask_and_end() {
	standin_at $1 "\"kind\": \"raw\", \"raw_address\": \"$net.$1:81\", \"responses\": [\"$stream$events\"]"
	set_standin 31 "{\"instances\": [$(raw $1)]}"
	wait_for 1 grep -c "event=server.listed server=i-$1" gateway-21.log
	call 21 /stream/a k1 -N -o body.out -w '%{http_code}' -m 8 >status.out &
	asked=$!
	wait_for 2 grep -c data: body.out
	set_standin 31 "{\"instances\": [$2]}"
	wait_for 1 grep -c "$3" gateway-21.log
	eval "kill -9 \"\$server_$1\""
	wait $asked && ended=whole || ended=broken
	echo "$(sed 's/status .*//' status.out) $ended $(grep -s data: body.out | tr -d '\n')"
	rm -f body.out
}

echo "== its server drains, and ends"
ask_and_end 42 "$(raw 42 | sed 's/"ready"/"draining"/')" 'event=server.leaving server=i-42'
echo "== its server has left the list, and ends"
ask_and_end 43 "" 'event=server.gone server=i-43'
set_standin 31 "{\"instances\": [$(raw 41)]}"
wait_for 200 status_of 21 /plain/a k1
echo "== it crashes between two events"
ask "\"$stream$events\$EXIT\""
