# Guards against a control process that is never let in while the leader is none of the
# seeds: the leader can't know its address, which its slot doesn't imply.
. "$PWD/test/script/deployment.inc"

other=127.$((64 + n % 62)).$((4 + n / 62 % 4))

# A field of the status of a control process: ADDRESS NAME.
status() {
	curl -s -m 1 "http://$1:9464/v1/status" | tr -d ' \n' |
	    sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p"
}

# The seat of a control process, as another one knows it: ADDRESS ADDRESS.
seat() {
	curl -s -m 1 "http://$2:9464/v1/status" | tr -d ' \n' |
	    sed -n "s/.*{\"host\":\"$1\",\"seat\":\"\([a-z]*\)\".*/\1/p"
}

# Starts a seed again if it leads: NUMBER.
depose() {
	[ "$(status "$other.16" leader)" = "$net.$1" ] || return
	eval "kill -9 \$hub_$1"
	hub "$1" false
	sleep 1
}

standin_at 31 '"kind": "platform", "instances": []'
for i in 11 12 13; do hub $i true; done
echo "== a process joins, and leads at last"
hub 16 false "$other"
wait_for learner seat "$other.16" "$net.13"
kill -9 "$hub_11"
wait_for voter seat "$other.16" "$net.13"
wait_for "" seat "$net.11" "$net.13"
for i in $(seq 40); do
	[ "$(status "$other.16" leader)" = "$other.16" ] && break
	depose 12
	depose 13
	sleep 0.1
done
wait_for "$other.16" status "$net.13" leader
echo "== another one joins"
hub 17 false "$other"
wait_for learner seat "$other.17" "$net.13"
kill -9 "$hub_12"
wait_for voter seat "$other.17" "$net.13"
wait_for "" seat "$net.12" "$net.13"
