# Guards against a server that advertises a limit of requests per second getting more
# from all gateways together, also through a change of leader and without control.
. "$PWD/test/script/deployment.inc"

# Sends requests to a gateway, one after the other, for some seconds: GATEWAY
# SECONDS.
load() {
	until=$(($(date +%s) + $2))
	while [ "$(date +%s)" -lt $until ]; do
		if [ $timed = 1 ]; then
			call "$1" /plain/a k1 -o /dev/null \
			    -w '%{http_code} %{time_total} %header{retry-after}\n' | sed 's/^status //'
		else
			status_of "$1" /plain/a k1 -m 3
		fi
		sleep 0.01
	done >>"load-$1.out"
}

load_all() {
	for gw in 21 22 23; do
		load $gw "$1" &
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

# Statuses of all requests since the last call.
statuses() {
	cat load-*.out | sort -u
	rm -f load-*.out
}

timed=0
deployment ""
gateway 22
gateway 23
first_manifest '"k1"'
for gw in 21 22 23; do wait_for 200 ready $gw; done

echo "== one of two servers advertises a limit"
set_standin 41 '{"limit": "1"}'
load_all 2
set_standin 41 '{"limit": "1"}'
load_all 8
within "requests in four seconds" "$(stat_of 41 most_in_window)" 1 11
within "requests in eight seconds" "$(stat_of 41 arrived)" 4 17
statuses

echo "== the leader is lost"
leader=$(grep -l 'event=duty.taken' hub-*.log | head -1 | sed 's/[^0-9]//g')
eval "kill -9 \$hub_$leader"
load_all 6
within "requests in four seconds" "$(stat_of 41 most_in_window)" 1 11
statuses | grep -v 503

echo "== no control is in reach"
for h in 11 12 13; do
	[ $h = "$leader" ] || eval "kill -STOP \$hub_$h"
done
load_all 2
for h in 11 12 13; do
	[ $h = "$leader" ] || eval "kill -CONT \$hub_$h"
done
within "requests in four seconds" "$(stat_of 41 most_in_window)" 1 11
for gw in 21 22 23; do wait_for 200 ready $gw; done
rm -f load-*.out

echo "== all servers advertise a limit: requests that can't be served in time are refused at once"
set_standin 41 '{"limit": "1"}'
set_standin 42 '{"limit": "1"}'
load_all 6
within "requests in four seconds" "$(stat_of 42 most_in_window)" 1 60
set_standin 42 '{"limit": "1"}'
rm -f load-*.out
timed=1
load_all 6
timed=0
within "requests in four seconds" "$(stat_of 41 most_in_window)" 1 11
within "requests in four seconds" "$(stat_of 42 most_in_window)" 1 11
# Of the refusals those later than 0.2 s, and those without a proper Retry-After.
cat load-*.out | awk '$1 == 503 { n++; late += $2 > 0.2; bad += $3 < 0.1 || $3 > 12 }
    END { print "late " (late > n / 10 ? late " of " n : "few"), "wrong times " bad + 0 }'
sed -i 's/ .*//' load-*.out
statuses

echo "== the limit ends"
set_standin 41 '{"limit": ""}'
set_standin 42 '{"limit": ""}'
load_all 6
set_standin 41 '{"limit": ""}'
load_all 2
within "requests in two seconds" "$(stat_of 41 arrived)" 15 10000
