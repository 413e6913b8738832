# Guards against control processes that don't start, aren't found or aren't found again
# at addresses that their slots don't imply. The seeds are replaced by such ones until
# none is left.
. "$PWD/test/script/deployment.inc"

other=127.$((64 + n % 62)).$((4 + n / 62 % 4))

# The seat of a control process, as another one knows it: ADDRESS ADDRESS.
seat() {
	curl -s -m 1 "http://$2:9464/v1/status" | tr -d ' \n' |
	    sed -n "s/.*{\"host\":\"$1\",\"seat\":\"\([a-z]*\)\".*/\1/p"
}

put_at() {
	curl -s -m 2 -o put.out -w '%{http_code}\n' --location -X PUT --data-binary @- \
	    "http://$1:8229/api/config"
}

# VERSION KEY ADDRESS
change() {
	manifest "$1" "\"$2\"" | put_at "$3"
}

standin_at 31 "\"kind\": \"platform\", \"instances\": [$(server 41 ready)]"
standin_at 41 '"kind": "backend", "id": "i-41"'
for i in 11 12 13; do hub $i true; done
gateway 21
first_manifest '"k1"'
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1
echo "== two of three seeds are replaced"
hub 16 false "$other"
wait_for learner seat "$other.16" "$net.13"
kill -9 "$hub_11"
wait_for voter seat "$other.16" "$net.13"
wait_for "" seat "$net.11" "$net.13"
hub 17 false "$other"
wait_for learner seat "$other.17" "$net.13"
kill -9 "$hub_12"
wait_for voter seat "$other.17" "$net.13"
wait_for "" seat "$net.12" "$net.13"
echo "== the last one ends, the others go on"
kill -9 "$hub_13"
wait_for 200 change 6 k2 "$other.16"
wait_for 200 status_of 21 /plain/a k2
echo "== they start again from their disks"
kill -9 "$hub_16" "$hub_17"
hub 16 false "$other"
hub 17 false "$other"
wait_for 200 change 7 k3 "$other.17"
wait_for 200 status_of 21 /plain/a k3
echo "== all at such addresses, from the first start"
kill -9 "$hub_16" "$hub_17" "$gateway_21"
seeds="\"$other.11:8229\", \"$other.12:8229\", \"$other.13:8229\""
for i in 11 12 13; do
	rm -rf "data-$i"
	hub $i true "$other"
done
gateway 21
wait_for 200 change 1 k1 "$other.11"
wait_for 200 status_of 21 /plain/a k1
