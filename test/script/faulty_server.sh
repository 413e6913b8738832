# Guards against wrong bytes of a faulty server reaching callers as an answer: a
# refusal that is written once more, an error in the middle of a stream, and a
# response that ends within its head.
. "$PWD/test/script/deployment.inc"

raw() {
	echo "{\"id\": \"i-$1\", \"service\": \"app\", \"address\": \"$net.$1:81\",
	    \"zone\": \"csepel\", \"version\": \"v1\", \"slots\": 6, \"state\": \"ready\"}"
}

# Sets the responses of the faulty server: JSON strings, separated by commas.
responds() {
	set_standin 41 "{\"responses\": [$1]}"
}

# Sends a request, and prints its status, how curl ended and its body: PATH.
ask() {
	status=$(call 21 "$1" k1 -o body.out -w '%{http_code}') && ended=whole || ended=broken
	echo "$(echo "$status" | sed 's/status .*//') $ended"
	grep -v '^$' body.out | sed 's/^/  /'
	rm -f body.out
}

head200='HTTP/1.1 200 OK\r\nX-Acaciahinge-Request-Id: $ID\r\nX-Acaciahinge-Server-Stamp: s\r\n'
ok="\"${head200}Content-Length: 3\r\n\r\nyes\""
# Refusals with the id of the request, and with none.
refusal='HTTP/1.1 503 Full\r\nX-Acaciahinge-Not-Run: 1\r\nContent-Length: 2\r\n'
refusal_own="\"${refusal}X-Acaciahinge-Request-Id: \$ID\r\n\r\nno\""
refusal_bare="\"${refusal}\r\nno\""
again='"$AGAIN", "$AGAIN", "$AGAIN", "$AGAIN", "$AGAIN"'
stream="${head200}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
events='id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
cut_stream="\"${stream}\r\n1e\r\n$events\r\n\$CLOSE\""
error500='"HTTP/1.1 500 Error\r\nX-Acaciahinge-Request-Id: $ID\r\nX-Acaciahinge-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nwrong"'

retry_slack=400
standin_at 31 "\"kind\": \"platform\", \"instances\": [$(raw 41)]"
standin_at 41 "\"kind\": \"raw\", \"raw_address\": \"$net.41:81\", \"responses\": [$ok]"
for i in 11 12 13; do hub $i true; done
gateway 21
first_manifest '"k1"'
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1

echo "== an earlier refusal is written once more on a kept connection"
responds "$refusal_bare, $again, $ok"
ask /plain/a
responds "$ok, $refusal_bare, $again, $ok"
ask /plain/a
ask /plain/a

echo "== the same, for requests that may run once only: sent again after a true refusal"
responds "$refusal_own, $again, $ok"
ask /booking/a
echo "requests: $(stat_of 41 arrived)"
responds "$ok"

# Asks for a stream that breaks off after two events; the lines that the caller
# must not get are printed, and how many requests the server got.
ask_stream() {
	responds "$cut_stream, $1"
	call 21 /stream/a k1 -o body.out -w '' >/dev/null && echo "ended as whole"
	[ -f body.out ] && grep -vE '^(id: [12]|data: [ab]|)$' body.out
	echo "requests: $(stat_of 41 arrived)"
	rm -f body.out
	responds "$ok"
	sleep 0.3
}

echo "== a stream breaks off, and the next response is an error"
ask_stream "$error500"
echo "== the same, and the error's head is cut as well"
ask_stream '"HTTP/1.1 500 Error\r\nX-Acaciahinge-Requ$CLOSE"'
echo "== the same, and the next response is no stream"
ask_stream "$ok"
echo "== the same, and the next response is a refusal"
ask_stream "$refusal_own"

echo "== a response ends within its head"
for head in 'HTTP/1.1 200 OK\r\n' "$head200" "${head200}Content-Length: 3" "${head200}Content-Le" 'HTTP/1.1 20'; do
	for path in plain booking stream; do
		responds "\"$head\$CLOSE\""
		ask /$path/a
		responds "$ok"
		sleep 0.1
	done
done

echo "== a response whose status is none"
for none in 2000 99 600 -1; do
	for path in plain booking stream; do
		responds "\"HTTP/1.1 $none OK\r\nX-Acaciahinge-Request-Id: \$ID\r\nX-Acaciahinge-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno\""
		ask /$path/a
		responds "$ok"
		sleep 0.1
	done
done
