# A deployment found by seeds, with real processes on loopback: manifest,
# request, stream, resume, drain, revoked key, lost leader, fence, stop.
set -u
folder=$(mktemp -d)
pids=""
trap 'for p in $pids; do kill -9 "$p" 2>/dev/null; done; wait 2>/dev/null; rm -rf "$folder"' EXIT
cd "$folder"
net=127.$((1 + $$ % 62)).$(($$ / 62 % 4))
seeds="\"$net.11:8229\", \"$net.12:8229\", \"$net.13:8229\""

# Waits until a command line prints what is expected, ten seconds at most.
wait_for() {
	want=$1
	shift
	for i in $(seq 200); do
		got=$("$@" 2>/dev/null)
		[ "$got" = "$want" ] && return 0
		sleep 0.05
	done
	echo "waited in vain for '$want', got '$got': $*"
	return 1
}

common() {
	echo "\"node\": \"$1\", \"host\": \"$2\", \"data_centre\": \"csepel\",
	    \"peer_port\": 7600, \"seeds\": [$seeds], \"first_start\": $3,
	    \"cloud\": \"$net.31:80\", \"duties\": [\"usage_report\", \"autoscaling\"],
	    \"zones\": {\"csepel\": \"budapest\"}, \"tolerated_vms\": 1,
	    \"bounds\": {\"stop_s\": 4, \"usage_window_s\": 1,
	    \"duty_lease_ms\": 500, \"revoke_ms\": 3000}"
}

hub() {
	mkdir -p "data-$1"
	echo "{\"role\": \"hub\", \"operators\": \"$net.$1:8229\",
	    \"data_folder\": \"$folder/data-$1\", $(common "core-$1" "$net.$1" "$2")}" \
	    >"hub-$1.json"
	acaciahinge hub --settings "hub-$1.json" >>"hub-$1.log" 2>&1 &
	eval "hub_$1=$!"
	pids="$pids $!"
}

gateway() {
	echo "{\"role\": \"gateway\", \"callers\": \"$net.$1:8221\",
	    \"ready\": \"$net.$1:8224\", $(common "front-$1" "$net.$1" true)}" \
	    >"gateway-$1.json"
	acaciahinge gateway --settings "gateway-$1.json" >>"gateway-$1.log" 2>&1 &
	eval "gateway_$1=$!"
	pids="$pids $!"
}

standin_at() {
	echo "{\"address\": \"$net.$1:80\", $2}" >"standin-$1.json"
	standin --settings "standin-$1.json" >>"standin-$1.log" 2>&1 &
	pids="$pids $!"
}

set_standin() {
	curl -s -o /dev/null -d "$2" "http://$net.$1:80/test/set"
}

server() {
	echo "{\"id\": \"i-$1\", \"service\": \"app\", \"address\": \"$net.$1:80\",
	    \"zone\": \"csepel\", \"version\": \"v1\", \"slots\": 6, \"state\": \"$2\"}"
}

manifest() {
	echo "{\"version\": $1, \"services\": [{\"name\": \"app\", \"health_path\": \"/health\"}],
	    \"routes\": [
	    {\"name\": \"plain\", \"host\": \"desk.example\", \"path_prefix\": \"/plain/\", \"kind\": \"idempotent\", \"timeout_ms\": 2000, \"target_latency_ms\": 100, \"service\": \"app\", \"max_attempts\": 2},
	    {\"name\": \"stream\", \"host\": \"desk.example\", \"path_prefix\": \"/stream/\", \"kind\": \"streaming\", \"resumable\": true, \"timeout_ms\": 2000, \"target_latency_ms\": 100, \"gap_aim_ms\": 500, \"service\": \"app\", \"max_attempts\": 2}],
	    \"tenants\": [{\"name\": \"depot\", \"api_keys\": [$2], \"rate_per_s\": 0, \"burst\": 0}]}"
}

put() {
	curl -s -m 2 -o "put.out" -w '%{http_code}\n' --location -X PUT --data-binary @- \
	    "http://$net.$1:8229/api/config"
}

read_config() {
	curl -s -m 2 --location "http://$net.$1:8229/api/config"
}

ready() {
	curl -s -o /dev/null -w '%{http_code}' "http://$net.$1:8224/api/readiness"
}

call() {
	gw=$1
	path=$2
	key=$3
	shift 3
	curl -s -w 'status %{http_code}\n' -H "Host: desk.example" \
	    -H "X-Acaciahinge-Request-Id: r$(date +%s%N)" \
	    -H "X-Acaciahinge-Deadline-Ms: 2000" \
	    -H "Authorization: Bearer $key" "$@" "http://$net.$gw:8221$path"
}

status_of() {
	call "$@" | sed -n 's/.*status //p'
}

standin_at 31 "\"kind\": \"platform\", \"instances\": [$(server 41 ready), $(server 42 ready), {\"id\": 7}]"
standin_at 41 '"kind": "backend", "id": "i-41"'
standin_at 42 '"kind": "backend", "id": "i-42"'
hub 11 true
hub 12 true
hub 13 true
gateway 21

echo "== before the first manifest"
wait_for 503 ready 21
call 21 /plain/a k1

echo "== manifests"
until [ "$(manifest 5 '"k1", "k2"' | put 11)" = 200 ]; do sleep 0.1; done
manifest 5 '"k1", "k2"' >sent
read_config 12 | cmp - sent && echo "read as sent"
manifest 4 '"k1"' | put 13
manifest 9 '"k1", "k1"' | put 12
cat put.out && echo
echo '{"version": 10, "routes": [' | put 12
read_config 13 | cmp - sent && echo "nothing changed"

echo "== requests"
wait_for 200 ready 21
call 21 '/plain/a?b=c' k1 -H "X-Acaciahinge-Tenant: other" \
    -H "X-Acaciahinge-Hold: h" -d 12345 | sed 's/server=.*/server/'
call 21 /plain/a wrong
call 21 /other/a k1
printf 'GET /plain/a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n' |
    timeout 5 curl -s --max-time 3 "telnet://$net.21:8221" | head -1 | tr -d '\r'

echo "== a stream, and one that goes on at another server"
call 21 /stream/a k1
set_standin 41 '{"cut_after": 2}'
for i in 1 2 3 4; do
	call 21 /stream/a k1 | grep -c '^id: '
done
set_standin 41 '{"cut_after": 0}'

echo "== a server that is full, and one that leaves"
set_standin 41 '{"full": 1}'
for i in 1 2 3 4; do call 21 /plain/a k1 | grep -o 'server=.*'; done | sort -u
set_standin 41 '{"full": 0}'
set_standin 31 "{\"instances\": [$(server 41 ready), $(server 42 draining)]}"
wait_for 1 grep -c 'event=server.leaving server=i-42' gateway-21.log
for i in 1 2 3 4 5 6; do call 21 /plain/a k1 | grep -o 'server=.*'; done | sort -u

echo "== a key is taken away"
manifest 6 '"k1"' | put 12
wait_for 401 status_of 21 /plain/a k2
wait_for 200 status_of 21 /plain/a k1
echo done

echo "== the leader is lost"
leader=$(grep -l 'event=duty.taken' hub-*.log | head -1 | sed 's/[^0-9]//g')
eval "kill -9 \$hub_$leader"
survivor=11
[ "$leader" = 11 ] && survivor=12
until [ "$(manifest 7 '"k1", "k3"' | put $survivor)" = 200 ]; do sleep 0.1; done
wait_for 200 status_of 21 /plain/a k3
rm -rf "data-$leader"
hub "$leader" false
until [ "$(read_config "$leader")" = "$(manifest 7 '"k1", "k3"')" ]; do sleep 0.1; done
wait_for 1 grep -c 'seat=joiner' "hub-$leader.log"
echo "a lost disk joins anew"

echo "== duties"
stats() {
	curl -s "http://$net.31:80/test/stats" |
	    sed -n "s/.*\"$1\": *\([0-9]*\).*/\1/p"
}
wait_more() {
	for i in $(seq 300); do
		[ "$(stats "$1")" -gt "$2" ] && return 0
		sleep 0.05
	done
	echo "no more $1"
}
wait_more depot 0
echo "usage was told"
wait_for 1 sh -c "grep -h 'event=duty.taken' hub-*.log | tail -n +2 | wc -l"
calls=$(stats usage_calls)
wait_more usage_calls "$calls"
set_standin 31 "{\"fence\": $(($(stats fence) + 1))}"
wait_more refused 0
calls=$(stats usage_calls)
wait_more usage_calls "$calls"
echo "a refused holder takes a new fence"

echo "== a stop"
set_standin 41 '{"events": 40, "gap_ms": 50}'
call 21 /stream/long k1 >stream.out &
client=$!
wait_for 1 sh -c 'grep -c "^id: 3$" stream.out'
kill -TERM "$gateway_21"
wait_for 503 ready 21
wait "$client"
grep -c '^id: ' stream.out
wait "$gateway_21"
echo "exit code $?"
