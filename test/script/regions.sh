# Requests of a route and of a customer that allow some regions only, in a
# deployment of real processes with two regions.
. "$PWD/test/script/deployment.inc"

zones='"csepel": "budapest", "koper": "primorska"'

# Prints a manifest: VERSION REGIONS-OF-ROUTE REGIONS-OF-CUSTOMER, each a list or null.
regional() {
	manifest "$1" '"k1"' |
	    sed "s|\"name\": \"plain\",|& \"allowed_regions\": $2,|
	    s|\"name\": \"depot\",|& \"allowed_regions\": $3,|"
}

# Puts a manifest in force at the gateway.
change() {
	regional "$@" | put 11
	wait_for 1 grep -c "event=config.in_force version=$1 " gateway-21.log
}

# The servers that get requests, or the statuses of those that none gets: PATH.
served_by() {
	for n in $(seq 12); do call 21 "$1" k1; done |
	    grep -o 'server=[^ ]*\|status 5.*' | sort -u | xargs
}

instances="$(server 41 ready), $(server 42 ready koper)"
standin_at 31 "\"kind\": \"platform\", \"instances\": [$instances]"
standin_at 41 '"kind": "backend", "id": "i-41"'
standin_at 42 '"kind": "backend", "id": "i-42"'
for n in 11 12 13; do hub $n true; done
gateway 21
first_manifest '"k1"'
wait_for 200 ready 21
wait_for "server=i-41 server=i-42" served_by /plain/a

echo "== refused configurations"
regional 6 '"budapest"' null | put 12
cat put.out && echo
regional 6 null '["budapest", 7]' | put 12
cat put.out && echo

echo "== the route allows one region, the customer all"
change 7 '["budapest"]' null
served_by /plain/a
wait_for "server=i-41 server=i-42" served_by /booking/a
echo "$got"

echo "== the customer allows another one"
change 8 null '["primorska", "atlantis"]'
served_by /plain/a
served_by /booking/a

echo "== both bind"
change 9 '["budapest", "primorska"]' '["primorska"]'
served_by /plain/a
change 10 '["budapest"]' '["primorska"]'
before=$(stat_of 41 arrived)/$(stat_of 42 arrived)
served_by /plain/a
call 21 /plain/a k1 | sed 's/status.*//'
grep -o 'event=request.failed.*verdict="[^"]*".*reason="[^"]*"' gateway-21.log |
    sed 's/request=[^ ]*//' | tail -1
[ "$(stat_of 41 arrived)/$(stat_of 42 arrived)" = "$before" ] && echo "no server got one"

echo "== the only server in an allowed region leaves"
change 11 '["primorska"]' null
served_by /plain/a
set_standin 31 "{\"instances\": [$(server 41 ready), $(server 42 draining koper)]}"
wait_for 1 grep -c 'event=server.leaving server=i-42' gateway-21.log
served_by /plain/a

echo "== the list is empty"
set_standin 31 "{\"instances\": [$instances]}"
change 12 null null
wait_for "server=i-41 server=i-42" served_by /plain/a
before=$(stat_of 41 arrived)/$(stat_of 42 arrived)
change 13 '[]' null
served_by /plain/a
change 14 '["budapest"]' '[]'
served_by /plain/a
served_by /booking/a
[ "$(stat_of 41 arrived)/$(stat_of 42 arrived)" = "$before" ] && echo "no server got one"
