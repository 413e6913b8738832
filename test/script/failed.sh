# Finds the cause of a failed request from its id and the logs alone, for the
# three kinds of failure in docs/OPERATIONS.md.
. "$PWD/test/script/deployment.inc"

# Sends a request with the given id.
ask() {
	curl -s -o /dev/null -m 5 -w "status %{http_code}\n" \
	    -H "Host: desk.example" -H "X-Acaciahinge-Request-Id: $1" \
	    -H "X-Acaciahinge-Deadline-Ms: 2000" \
	    -H "Authorization: Bearer k1" -d body "http://$net.21:8221$2"
}

# Waits for an event of a request, then prints what `explain` finds in the logs,
# with the values that differ from run to run replaced by N.
explained() {
	wait_for 1 grep -c "event=$2 request=$1 " gateway-21.log
	acaciahinge explain "$1" --logs hub-11.log --logs hub-12.log \
	    --logs hub-13.log --logs gateway-21.log |
	    sed 's/^t=[^ ]* //; s/i-4[12]/i-N/g
	    s/ \(left\|spent\|held_ms\|told_ms\|queue\|ms\|retry_after_ms\)=[0-9.-]*/ \1=N/g
	    s/^ms  .*/ms        N/'
}

deployment ''
first_manifest '"k1"'
wait_for 200 ready 21

echo "== a booking that may have run"
set_standin 41 '{"lose": 1}'
set_standin 42 '{"lose": 1}'
ask b1 /booking/a
explained b1 request.refused
set_standin 41 '{"lose": 0}'
set_standin 42 '{"lose": 0}'

echo "== a stream that broke off"
set_standin 41 '{"cut_after": 2}'
set_standin 42 '{"cut_after": 2}'
ask s1 /stream/a
explained s1 request.failed
set_standin 41 '{"cut_after": 0}'
set_standin 42 '{"cut_after": 0}'

echo "== refused while places are free"
rate=0.01
burst=1
until [ "$(manifest 6 '"k1"' | put 12)" = 200 ]; do sleep 0.1; done
n=0
until [ "$(ask "q$n" /plain/a)" = "status 429" ]; do n=$((n + 1)); done
explained "q$n" request.refused | sed "s/q$n/qN/g"
