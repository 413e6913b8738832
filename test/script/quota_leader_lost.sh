# Guards against requests that are lost, or pass beyond the quota, because the
# leader ends while they wait for its grant: the next leader has to be asked.
. "$PWD/test/script/deployment.inc"

rate=1
burst=4
deployment ""
first_manifest '"k1"'
manifest 6 '"k1"' |
    sed 's/"timeout_ms": 2000, "target_latency_ms": 300/"timeout_ms": 120000, "target_latency_ms": 90000/' |
    put 11 >/dev/null
wait_for 200 ready 21
wait_for 1 grep -c 'event=config.in_force version=6' gateway-21.log
# The word on the customer's quota comes after the configuration.
wait_for 200 status_of 21 /plain/a k1 -H "X-Acaciahinge-Deadline-Ms: 120000"

metric() {
	curl -s -m 1 "http://$net.$1:9464/metrics" | sed -n "s/^$2{} //p"
}

# Prints the hub that leads.
leader() {
	for i in 11 12 13; do
		[ "$(metric $i ac_leads)" = 1 ] && echo $i && return
	done
}

since=$(date +%s)
callers=""
for i in $(seq 30); do
	status_of 21 /plain/a k1 -H "X-Acaciahinge-Deadline-Ms: 120000" \
	    -m 60 >"status-$i" &
	callers="$callers $!"
done
# The process seen then is the one to kill: beside load, a second look may find
# no leader.
some_wait() {
	leader >lead
	[ "$(metric "$(cat lead)" ac_quota_waiting)" -ge 4 ] && echo yes
}
wait_for yes some_wait
before=$(cat status-* | grep -c 200)
eval "kill -9 \$hub_$(cat lead)"
wait $callers
after=$(cat status-* | grep -c 200)
took=$(($(date +%s) - since + 1))

# A gateway whose lease ends refuses with 503.
cat status-* | sort -u | grep -v -e 200 -e 429 -e 503
[ "$after" -gt "$before" ] && echo "some that waited were granted"
[ "$after" -le $(((rate * took + burst) * 11 / 10 + 2)) ] &&
    echo "within the quota" || echo "$after passed in $took s"
wait_for 200 status_of 21 /plain/a k1
