# Guards against a server's bytes without an end, in a head or a body, using up the
# memory of the gateway that has called it: 260 MB on the smallest VM.
. "$PWD/test/script/deployment.inc"

# Sends requests at once and prints the statuses of their responses: NUMBER PATH
# RESPONSE.
flood() {
	set_standin 41 "{\"responses\": [$3]}"
	for n in $(seq "$1"); do
		curl -s -m 30 -o /dev/null -w '%{http_code}\n' -H "Host: desk.example" \
		    -H "X-Acaciahinge-Request-Id: f$n-$(date +%s%N)" \
		    -H "X-Acaciahinge-Deadline-Ms: $timeout_ms" \
		    -H "Authorization: Bearer k1" "http://$net.21:8221$2" >"f$n.out" &
		eval "curl_$n=$!"
	done
	for n in $(seq "$1"); do eval "wait \$curl_$n"; done
	cat f*.out | sort | uniq -c | sed 's/^ */  /'
	rm -f f*.out
	memory
	set_standin 41 "{\"responses\": [$ok]}"
	wait_for 200 status_of 21 /plain/a k1
}

head200='HTTP/1.1 200 OK\r\nX-Acaciahinge-Request-Id: $ID\r\nX-Acaciahinge-Server-Stamp: s\r\n'
ok="\"${head200}Content-Length: 3\r\n\r\nyes\""
chunked="${head200}Transfer-Encoding: chunked\r\n\r\n"
events="${head200}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
raw="{\"id\": \"i-41\", \"service\": \"app\", \"address\": \"$net.41:81\",
    \"zone\": \"csepel\", \"version\": \"v1\", \"slots\": 400, \"state\": \"ready\"}"

retry_slack=2000
# Beside load, what a response may hold before it is refused takes seconds to come.
timeout_ms=20000
standin_at 31 "\"kind\": \"platform\", \"instances\": [$raw]"
standin_at 41 "\"kind\": \"raw\", \"raw_address\": \"$net.41:81\", \"responses\": [$ok]"
for i in 11 12 13; do hub $i true; done
gateway 21
first_manifest '"k1"'
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1

echo "== interim responses"
flood 1 /plain/a '"$FOREVERHTTP/1.1 100 Continue\r\n\r\n"'
flood 1 /stream/a '"$FOREVERHTTP/1.1 100 Continue\r\n\r\n"'
echo "== a body with neither length nor chunks"
flood 60 /booking/a "\"$head200\r\n\$FOREVERbody\""
echo "== a chunk's size"
flood 30 /booking/a "\"$chunked\$FOREVER0\""
echo "== a header line, a status line, trailers"
flood 30 /booking/a "\"${head200}A: \$FOREVERx\""
flood 30 /booking/a '"HTTP/1.1 200 $FOREVERx"'
flood 30 /booking/a "\"${chunked}0\r\n\$FOREVERA: b\r\n\""
echo "== an error in place of a stream"
flood 60 /stream/a "\"HTTP/1.1 500 Error\r\nX-Acaciahinge-Request-Id: \$ID\r\n\r\n\$FOREVERbody\""
echo "== an event"
flood 60 /stream/a "\"${head200}Content-Type: text/event-stream\r\n\r\n\$FOREVERx\""
