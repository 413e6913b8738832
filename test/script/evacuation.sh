# Evacuation of a data centre in a deployment of real processes: acknowledged,
# obeyed by all gateways, kept when the leader, a gateway or a disk is lost,
# and taken back.
. "$PWD/test/script/deployment.inc"

zones='"csepel": "budapest", "kelenfold": "budapest"'

# Sends an order to a hub: METHOD HUB DATA-CENTRE. Prints the status.
order() {
	curl -s -m 3 -o order.out -w '%{http_code}\n' --location -X "$1" \
	    "http://$net.$2:8229/api/evacuations/$3"
}

# Sends an order until it is acknowledged.
until_acked() {
	until [ "$(order "$@")" = 200 ]; do sleep 0.1; done
}

# The evacuated data centres as a gateway has them: NUMBER.
in_force() {
	acaciahinge status --to "$net.$1:9464" | sed -n 's/^evacuated \([a-z]*\).*/\1/p' | xargs
}

# The servers that get requests from a gateway: NUMBER.
served_by() {
	for i in 1 2 3 4 5 6 7 8 9 10 11 12; do call "$1" /plain/a k1; done |
	    grep -o 'server=[^ ]*\|status 503' | sort -u | xargs
}

# The same, once the gateway serves: it has no lease while no hub has had enough
# processor time to lead.
served_by_any() {
	until got=$(served_by "$1") && [ "$got" != "status 503" ]; do sleep 0.2; done
	echo "$got"
}

# The hub that leads.
leader() {
	for i in 11 12 13; do
		acaciahinge status --to "$net.$i:9464" 2>/dev/null | grep -q '(itself)' && echo $i
	done | head -1
}

# Kills a process: NAME of the variable with its id.
stop() {
	eval "stopped=\$$1"
	kill -9 "$stopped"
	wait "$stopped" 2>/dev/null
}

instances="$(server 41 ready), $(server 42 ready kelenfold)"
standin_at 31 "\"kind\": \"platform\", \"instances\": [$instances]"
standin_at 41 '"kind": "backend", "id": "i-41"'
standin_at 42 '"kind": "backend", "id": "i-42"'
standin_at 43 '"kind": "backend", "id": "i-43"'
for i in 11 12 13; do hub $i true; done
gateway 21
gateway 22
first_manifest '"k1"'
for at in 21 22; do wait_for 200 ready $at; done
wait_for "server=i-41 server=i-42" served_by 21

echo "== refused"
order POST 12 atlantis
cat order.out && echo
order GET 12 csepel
order POST 12 ''

echo "== evacuated"
until_acked POST 12 csepel
order POST 13 csepel
for at in 21 22; do
	wait_for csepel in_force $at
	served_by_any $at
done
confirmed() {
	acaciahinge status --to "$net.$(leader):9464" |
	    sed -n 's/^\(evacuated [a-z]*\).*, \(.*\)/\1: \2/p'
}
wait_for "evacuated csepel: in force at 2 of 2 gateways" confirmed
echo "$got"
until grep -q event=evacuation.obeyed hub-*.log; do sleep 0.1; done
before=$(stat_of 41 arrived)
sleep 1.5
[ "$(stat_of 41 arrived)" = "$before" ] && echo "its server gets nothing"

echo "== a server that is listed later"
set_standin 31 "{\"instances\": [$instances, $(server 43 ready)]}"
wait_for 1 grep -c 'event=server.listed server=i-43' gateway-21.log
served_by_any 21

echo "== a gateway that starts again"
stop gateway_21
gateway 21
wait_for 200 ready 21
served_by_any 21

echo "== the leader is lost right after the ack"
until_acked DELETE 11 csepel
wait_for "server=i-41 server=i-42 server=i-43" served_by 22
lost=$(leader)
until_acked POST "$lost" csepel
stop "hub_$lost"
for at in 21 22; do wait_for csepel in_force $at; done
served_by_any 21

echo "== its disk is lost as well, and all control processes start again"
rm -rf "data-$lost"
hub "$lost" false
wait_for 1 grep -c 'seat=joiner' "hub-$lost.log"
until_acked POST "$lost" csepel
for i in 11 12 13; do stop "hub_$i"; done
for i in 11 12 13; do hub $i false; done
led() {
	[ -n "$(leader)" ] && echo yes
}
wait_for yes led
for at in 11 12 13; do wait_for csepel in_force $at; done
wait_for 200 ready 22
served_by_any 22

echo "== withdrawn and ordered again, by two operators"
until_acked DELETE 11 csepel
until_acked POST 13 csepel
until_acked POST 12 kelenfold
for at in 21 22; do
	wait_for "csepel kelenfold" in_force $at
	wait_for 200 ready $at
	served_by $at
done

echo "== taken back"
until_acked DELETE 12 kelenfold
until_acked DELETE 13 csepel
order DELETE 11 csepel
for at in 21 22; do
	wait_for "" in_force $at
	wait_for "server=i-41 server=i-42 server=i-43" served_by $at
	echo "$got"
done
