# Guards against a server that is cold getting more in a second than it bears from all
# gateways together: as the list tells, and after a restart that only its health tells.
. "$PWD/test/script/deployment.inc"

# Manifest of a service whose servers are cold for 3 s and take 2 requests a second then:
# at most 8 in any second.
cold_manifest() {
	manifest "$1" '"k1"' |
	    sed 's|"health_path": "/health"|&, "cold_start_s": 3, "cold_per_s": 2|'
}

# Sends requests to a gateway, one after the other, for some seconds: GATEWAY SECONDS.
load() {
	until=$(($(date +%s) + $2))
	while [ "$(date +%s)" -lt $until ]; do
		status_of "$1" /plain/a k1 -m 3
		sleep 0.01
	done >>"load-$1.out"
}

start_load() {
	for gw in 21 22 23; do
		load $gw "$1" &
		eval "load_$gw=$!"
	done
}

wait_load() {
	for gw in 21 22 23; do eval "wait \$load_$gw"; done
}

# Prints whether a figure is within bounds: TEXT FIGURE LOWEST HIGHEST.
within() {
	if [ "$2" -ge "$3" ] && [ "$2" -le "$4" ]; then
		echo "$1: as expected"
	else
		echo "$1: $2, expected $3 to $4"
	fi
}

# The platform's list: TIME FOR WHICH THE SECOND SERVER IS COLD.
list() {
	second=$(server 42 ready | sed "s|\"state\"|\"cold_left_ms\": $1, &|")
	set_standin 31 "{\"instances\": [$(server 41 ready), $second]}"
}

# Time until the three gateways have told that a server is cold: COUNT.
told() {
	[ "$(cat gateway-*.log | grep -c 'event=server.cold .*left_ms=[1-9]')" -ge "$1" ] && echo yes
}

told_by_health() {
	grep -q 'event=server.cold .*by=health' gateway-*.log && echo yes
}

# Whether the second server gets more than a cold one may.
warm() {
	start_load 2
	wait_load
	[ "$(stat_of 42 most_in_window)" -gt 8 ] && echo yes
}

deployment ""
gateway 22
gateway 23
until [ "$(cold_manifest 5 | put 11)" = 200 ]; do sleep 0.1; done
for gw in 21 22 23; do wait_for 200 ready $gw; done
for gw in 21 22 23; do wait_for 200 status_of $gw /plain/a k1; done

echo "== the list shows a cold server"
list 3000
wait_for yes told 3
set_standin 42 '{"window_ms": 1000}'
start_load 3
wait_load
within "requests in a second" "$(stat_of 42 most_in_window)" 0 8

echo "== it is warm again"
list 0
sleep 4
set_standin 42 '{"window_ms": 1000}'
wait_for yes warm

echo "== a server comes back under its id: only its health tells that it is cold"
start_load 8
sleep 1
kill -9 "$server_42"
sleep 1
standin_at 42 '"kind": "backend", "id": "i-42", "cold_ms": "3000", "window_ms": 1000'
sleep 2.5
within "requests in a second" "$(stat_of 42 most_in_window)" 0 8
wait_for yes told_by_health
wait_load
echo "statuses: $(sort -u load-*.out | grep -v 503)"
