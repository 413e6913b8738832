# Guards against servers that say that they are brittle having to refuse more requests
# in a second than they bear, while callers of several gateways come all at once.
. "$PWD/test/script/deployment.inc"

# Sends requests to a gateway, by a number of callers at a time, for some seconds:
# GATEWAY CALLERS SECONDS.
load() {
	until=$(($(date +%s) + $3))
	for c in $(seq "$2"); do
		while [ "$(date +%s)" -lt $until ]; do
			call "$1" /plain/a k1 -o /dev/null \
			    -w '%{http_code} %{time_total} %header{retry-after}\n'
			sleep 0.02
		done | sed 's/status.*//' | awk NF >>"load-$1-$c.out" &
	done
	wait
}

# Callers at all gateways: CALLERS SECONDS.
load_all() {
	rm -f load-*.out
	for gw in 21 22 23; do
		(load $gw "$1" "$2") &
		eval "load_$gw=$!"
	done
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

# What callers got; refusals that came late, or without a proper Retry-After.
callers() {
	within "served" "$(cat load-*.out | grep -c '^200 ')" "$1" 100000
	cat load-*.out | awk '$1 != 200 && $1 != 503 { print "status " $1 }
	    $1 == 503 { n++; bad += $3 < 0.1 || $3 > 12 }
	    END { print "wrong times of Retry-After: " bad + 0 }' | sort | uniq -c | sed 's/^ *//'
}

# Number of gateways that have logged a server's signal: SERVER BRITTLE.
told() {
	grep -l "event=server.brittle server=i-$1 brittle=$2 .*" gateway-*.log | wc -l
}

# Most refusals in a second: BOUND-OF-41 BOUND-OF-42.
refused() {
	within "refusals of 41 in a second" "$(stat_of 41 most_refused_in_second)" 0 "$1"
	within "refusals of 42 in a second" "$(stat_of 42 most_refused_in_second)" 0 "$2"
}

retry_slack=4000
deployment ""
gateway 22
gateway 23
first_manifest '"k1"'
for gw in 21 22 23; do wait_for 200 ready $gw; done

echo "== servers without a queue say that they are brittle: one gateway has it from responses"
for i in 41 42; do set_standin $i '{"brittle": "2", "places": 6, "work_ms": 150}'; done
for i in $(seq 100); do
	[ "$(grep -c 'event=server.brittle.* brittle=1' gateway-21.log)" -ge 2 ] && break
	status_of 21 /plain/a k1 >/dev/null
done
wait_for 3 told 41 1
wait_for 3 told 42 1
grep -o 'brittle=1 max_refusals=2 places=2' gateway-*.log | sort | uniq -c | sed 's/^ *//'

echo "== callers come all at once"
load_all 14 5
refused 2 2
callers 40

echo "== a server has less room than it says"
set_standin 41 '{"brittle": "3", "places": 3}'
load_all 14 5
refused 3 2
callers 40

echo "== the servers aren't brittle any more"
for i in 41 42; do set_standin $i '{"brittle": "", "places": 60}'; done
load_all 14 4
wait_for 3 told 41 0
wait_for 3 told 42 0
callers 40
for i in 41 42; do set_standin $i '{"places": 60}'; done
load_all 14 2
n_41=$(stat_of 41 most_running)
n_42=$(stat_of 42 most_running)
within "requests at a time at one of them" $((n_41 > n_42 ? n_41 : n_42)) 7 60
