#!/bin/sh
# A faulty server sends bytes that are no response in place of one answer in
# fifty: the status is 2000. Callers must not get these bytes.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}
. "$here/../common.inc"

platform 41 42
spoils=spoiled
[ "$trouble" = 0 ] && spoils=sound
server 41 $spoils
server 42 sound
for k in 11 12 13; do hub "$net.$k" true; done
gateway 21
first_manifest '{"name": "booking", "host": "desk.example", "path_prefix": "/booking/", "kind": "non_idempotent", "timeout_ms": 2500, "target_latency_ms": 150, "service": "app", "max_attempts": 2}'
wait_for 200 ready 21

n=0
while [ $n -lt 1200 ]; do
	n=$((n + 1))
	call 21 /booking/a 2500 "b$n" >/dev/null
done
spoiled=$(grep -c ' spoils request=' "$record")
foreign=$(grep ' request=b[0-9]* gateway=' "$record" | grep -cv 'status=[1-5][0-9][0-9] end')
whole=$(grep -c ' request=b[0-9]* .*status=200 end=complete' "$record")
note "spoiled=$spoiled passed_on=$foreign whole=$whole"
[ "$whole" -ge 1000 ] || unable "only $whole of 1200 requests were served"
[ "$foreign" -gt 0 ] &&
    verdict 1 "$foreign of 1200 requests were answered with bytes that are no response ($spoiled were sent by the server)"
verdict 0 "no caller got bytes that are no response ($spoiled were sent by the server)"
