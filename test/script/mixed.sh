# Guards against wrong bytes of a server reaching callers as an answer: a part of a body
# without a length whose connection is reset during the upload, and a status that is none.
# Each on every kind of route, with one attempt and with two.
. "$PWD/test/script/deployment.inc"

raw() {
	echo "{\"id\": \"i-$1\", \"service\": \"app\", \"address\": \"$net.$1:81\",
	    \"zone\": \"csepel\", \"version\": \"v1\", \"slots\": 6, \"state\": \"ready\"}"
}

# The manifest with long bodies: VERSION MAX_ATTEMPTS.
limited_manifest() {
	manifest "$1" '"k1"' | sed "s/\"max_attempts\": 2/\"max_attempts\": $2/g"'
	    s/"tenants"/"limits": {"max_header_bytes": 16384, "max_body_bytes": 16777216, "header_timeout_ms": 5000, "idle_timeout_ms": 5000}, &/'
}

# Sends a request, and prints its route, status and how curl ended, and what of the
# faulty responses has reached the caller: ROUTE RESPONSES [CURL-OPTION...].
ask() {
	route=$1
	set_standin 41 "{\"responses\": [$2]}"
	shift 2
	got=$(call 21 "/$route/a" k1 -o body.out -w '%{http_code} ' -m 8 "$@") && ended=whole || ended=broken
	echo "$route $(echo "$got" | sed 's/ .*//') $ended $(grep -aso 'wrong[a-z]*' body.out | tr '\n' ' ')"
	rm -f body.out
}

head200='HTTP/1.1 200 OK\r\nX-Acaciahinge-Request-Id: $ID\r\nX-Acaciahinge-Server-Stamp: s\r\n'
ok="\"${head200}Content-Length: 3\r\n\r\nyes\""
events="${head200}Content-Type: text/event-stream\r\n"
event='id: 1\ndata: wrong\n\n'
none="Request-Id: \$ID\r\nX-Acaciahinge-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nwrong"

retry_slack=400
standin_at 31 "\"kind\": \"platform\", \"instances\": [$(raw 41)]"
standin_at 41 "\"kind\": \"raw\", \"raw_address\": \"$net.41:81\", \"responses\": [$ok]"
for i in 11 12 13; do hub $i true; done
gateway 21
until [ "$(limited_manifest 5 2 | put 11)" = 200 ]; do sleep 0.1; done
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1
head -c 12000000 /dev/zero >upload

version=5
for attempts in 1 2; do
	echo "== $attempts attempts: a part of a body, and a reset during the upload"
	version=$((version + 1))
	until [ "$(limited_manifest $version $attempts | put 11)" = 200 ]; do sleep 0.1; done
	wait_for 1 grep -c "event=config.in_force version=$version " gateway-21.log
	for route in plain booking stream; do
		ask $route "\"$head200\r\nwrong\$RESET\"" --data-binary @upload -H 'Expect:'
	done
	ask stream "\"$events\r\n$event\$RESET\"" --data-binary @upload -H 'Expect:'
	echo "== $attempts attempts: the same without an upload"
	for route in plain booking stream; do
		ask $route "\"$head200\r\nwrong\$RESET\""
	done
	echo "== $attempts attempts: statuses that are none"
	for status in 000 '000 OK' 0 '' 20 1000; do
		for route in plain booking stream; do
			ask $route "\"HTTP/1.1 $status\r\nX-Acaciahinge-$none\""
		done
	done
done
