# Guards against requests with one part in their prompts crashing server after
# server: they are refused at all gateways, and others with their customer and
# their other parts are served.
. "$PWD/test/script/deployment.inc"

backend() {
	standin_at "$1" "\"kind\": \"backend\", \"id\": \"i-$1\", \"crash_on\": \"beef\""
}

# Prints the status and the Retry-After of a request: GATEWAY PART.
ask() {
	call "$1" /booking/a k1 -o /dev/null -D head.out \
	    -H "X-Acaciahinge-Prompt-Prefix: a1:900,$2:50,$(date +%s%N):10" |
	    sed 's/.*status //'
	# Seconds, or "none".
	sed -n 's/^Retry-After: \([0-9]*\).*/\1/p' head.out | tr -d '\r' >after.out
}

alive() {
	curl -s -o /dev/null -m 1 "http://$net.$1:80/test/stats" && echo alive
}

# Starts the servers that crashed again, and counts them.
crashes=0
revive() {
	for i in 41 42 43 44; do
		[ "$(alive $i)" = alive ] && continue
		crashes=$((crashes + 1))
		backend $i
		wait_for alive alive $i
	done
}

in_force() {
	grep -c 'event=part.in_force service=app part=beef' "gateway-$1.log"
}

rate=0
standin_at 31 "\"kind\": \"platform\", \"instances\": [$(server 41 ready), $(server 42 ready), $(server 43 ready), $(server 44 ready)]"
for i in 41 42 43 44; do backend $i; done
for i in 11 12 13; do hub $i true; done
gateway 21
gateway 22
first_manifest '"k1"'
wait_for 200 ready 21
wait_for 200 ready 22

echo "== servers crash"
for gw in 21 22 21; do
	ask $gw beef
	sleep 0.6
	revive
	wait_for 200 ask $gw c0de
done
wait_for 1 in_force 21
wait_for 1 in_force 22

echo "== requests with the part are refused, others served"
for gw in 21 22 21 22; do
	ask $gw beef
	[ "$(cat after.out)" -gt 60 ] || echo "Retry-After $(cat after.out)"
	ask $gw c0de
	revive
done
echo "crashes: $crashes"

echo "== also by a gateway that starts later, and under another leader"
gateway 23
wait_for 200 ready 23
ask 23 beef
leader=$(grep -l 'event=duty.taken' hub-*.log | head -1 | sed 's/[^0-9]//g')
eval "kill -9 \$hub_$leader"
hub "$leader" false
survivor=11
[ "$leader" = 11 ] && survivor=12
until [ "$(manifest 7 '"k1"' | put $survivor)" = 200 ]; do sleep 0.1; done
kill -9 "$gateway_21"
gateway 21
wait_for 200 ready 21
for gw in 21 22 23; do ask $gw beef; done
ask 21 c0de
revive
echo "crashes: $crashes"
