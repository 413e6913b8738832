# Guards against callers of a gateway that reaches no server being refused, while
# another gateway reaches them all.
. "$PWD/test/script/deployment.inc"

# Cuts a gateway off from servers: GATEWAY SERVER...
cut_off() {
	gw=$1
	shift
	for i in "$@"; do printf '%s ' "$net.$i"; done >"cut-$gw"
}

# Sends requests at once: GATEWAY NUMBER PATH. Prints their statuses.
send() {
	for i in $(seq "$2"); do status_of "$1" "$3" k1 & done >statuses
	wait_for "$2" sh -c 'wc -l <statuses' >/dev/null
	sort statuses | uniq -c | sed 's/^ *//'
}

# Sends a number of requests of each kind: GATEWAY.
send_all() {
	for route in plain booking stream; do
		echo "$route: $(send "$1" 20 /$route/a)"
	done
}

retry_slack=4000
standin_at 31 "\"kind\": \"platform\", \"instances\": [$(server 41 ready), $(server 42 ready), $(server 43 ready), $(server 44 ready)]"
for i in 41 42 43 44; do standin_at $i "\"kind\": \"backend\", \"id\": \"i-$i\""; done
for i in 11 12 13; do hub $i true; done
for i in 21 22; do
	cut="$folder/cut-$i"
	gateway $i
done
cut=""
first_manifest '"k1"'
for i in 21 22; do wait_for 200 ready $i; done
for i in 21 22; do wait_for 200 status_of $i /booking/a k1; done
sleep 1

echo "== a gateway is cut off from all servers"
cut_off 21 41 42 43 44
for i in 1 2 3 4 5 6; do status_of 21 /booking/a k1 >/dev/null; done
send_all 21
echo "== a server is new, and in reach"
cut_off 21 41 42 43
send_all 21

echo "== both gateways are cut off: callers know at once"
cut_off 21 41 42 43 44
cut_off 22 41 42 43 44
for i in 1 2 3 4 5 6; do for gw in 21 22; do status_of $gw /booking/a k1 >/dev/null; done; done
began=$(date +%s%N)
send 21 20 /booking/a
[ $((($(date +%s%N) - began) / 1000000)) -lt 1500 ] && echo "soon"

echo "== the cut is over"
rm cut-21 cut-22
wait_for 1 grep -c event=servers.in_reach gateway-21.log
wait_for 1 grep -c event=servers.in_reach gateway-22.log
send_all 21
send_all 22
