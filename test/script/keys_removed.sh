# Guards against a configuration with an empty list of customers being served as one
# without customers: keys that were taken away ran, and the servers got them.
. "$PWD/test/script/deployment.inc"

# Prints a manifest with a public route: VERSION TENANTS. Without TENANTS it has no
# list of customers.
keyed() {
	manifest "$1" '' | sed "s|\"name\": \"booking\",|& \"public\": true,|
	    s|\"tenants\":.*|${2:+\"tenants\": $2,} \"limits\": {}}|"
}

# Puts a manifest in force at the gateway: VERSION TENANTS.
change() {
	keyed "$@" | put 11
	wait_for 1 grep -c "event=config.in_force version=$1 " gateway-21.log
}

# Prints a request's status, and what the server got of its identity: PATH KEY.
ask() {
	got=$(call 21 "$1" "$2" | tr '\n' ' ')
	echo "$1 $2: ${got##*status }$(echo "$got" | grep -o 'customer=.* hold' | sed 's/ hold//')"
}

# Requests with a key that was taken away, one that never existed, and the first at a
# public route.
ask_all() {
	ask /plain/a k1
	ask /plain/a k9
	ask /booking/a k1
}

deployment ''
first_manifest '"k1"'
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1

echo "== a customer with a key"
change 6 '[{"name": "depot", "api_keys": ["k1"]}]'
ask_all

echo "== no customers"
change 7 '[]'
ask_all

echo "== the same after the gateway was killed"
kill -9 "$gateway_21"
gateway 21
wait_for 200 ready 21
ask_all

echo "== the same after all were killed"
kill -9 "$gateway_21" "$hub_11" "$hub_12" "$hub_13"
for n in 11 12 13; do hub $n false; done
gateway 21
wait_for 200 ready 21
ask_all

echo "== the customer comes back"
change 8 '[{"name": "depot", "api_keys": ["k1"]}]'
ask_all

echo "== the customer has no keys"
change 9 '[{"name": "depot", "api_keys": []}]'
ask_all

echo "== no list of customers"
change 10 ''
ask_all

echo "== no customers again"
change 11 '[]'
ask_all

echo "== keys of 255 and of 300 characters, and longer ones that begin so"
short=$(printf '%0255d' 0)
long=$(printf '%0300d' 0)
keyed 12 "[{\"name\": \"depot\", \"api_keys\": [\"1$long\"]}, {\"name\": \"hall\", \"api_keys\": [\"$short\"]}]" | put 11
wait_for 1 grep -c "event=config.in_force version=12 " gateway-21.log
for key in "$short" "${short}0" "1$long" "1${long}0" "1$short"; do
	echo "${#key}: $(status_of 21 /plain/a "$key")"
done

# Number of requests that the servers have run.
runs() {
	echo $(($(stat_of 41 runs) + $(stat_of 42 runs)))
}

echo "== a key is taken away from requests that wait for a server"
change 13 '[{"name": "depot", "api_keys": ["k1"]}, {"name": "hall", "api_keys": ["k2"]}]'
for n in 41 42; do set_standin $n '{"full": 1, "retry_after": "1"}'; done
before=$(runs)
status_of 21 /plain/a k1 >taken.out &
taken=$!
status_of 21 /plain/a k2 >kept.out &
kept=$!
wait_for 2 grep -c "event=request.waits" gateway-21.log
change 14 '[{"name": "hall", "api_keys": ["k2"]}]'
for n in 41 42; do set_standin $n '{"full": 0}'; done
wait $taken $kept
echo "taken $(cat taken.out), kept $(cat kept.out), runs $(($(runs) - before))"
