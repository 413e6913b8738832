# Guards against control processes that end, or are never let in, where the usual slots of
# their addresses are those of others. The usual slot of 12 is that of 11, that of 16 is
# that of 13; 16 takes another one then, which is the usual slot of 17.
. "$PWD/test/script/deployment.inc"

# The addresses are fixed: one run at a time.
exec 8>/tmp/acaciahinge-slots-taken.lock
flock 8

a=127.200.27
b=127.236.39
c=127.188.179
d=127.166.149
seeds="\"$a.11:8229\", \"$b.12:8229\", \"$a.13:8229\""

# The seat of a control process, as another one knows it: ADDRESS ADDRESS.
seat() {
	curl -s -m 1 "http://$2:9464/v1/status" | tr -d ' \n' |
	    sed -n "s/.*{\"host\":\"$1\",\"seat\":\"\([a-z]*\)\".*/\1/p"
}

# VERSION KEY ADDRESS
change() {
	manifest "$1" "\"$2\"" | curl -s -m 2 -o put.out -w '%{http_code}\n' --location -X PUT \
	    --data-binary @- "http://$3:8229/api/config"
}

standin_at 31 "\"kind\": \"platform\", \"instances\": [$(server 41 ready)]"
standin_at 41 '"kind": "backend", "id": "i-41"'
echo "== two of three seeds have one slot"
hub 11 true "$a"
hub 12 true "$b"
hub 13 true "$a"
gateway 21
wait_for 200 change 5 k1 "$b.12"
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1
echo "== a seed is replaced by a process with the slot of another one"
hub 16 false "$c"
wait_for learner seat "$c.16" "$a.13"
kill -9 "$hub_11"
wait_for voter seat "$c.16" "$a.13"
wait_for "" seat "$a.11" "$a.13"
echo "== they start again from their disks"
kill -9 "$hub_12" "$hub_13" "$hub_16"
hub 12 false "$b"
hub 13 false "$a"
hub 16 false "$c"
wait_for 200 change 6 k2 "$c.16"
wait_for 200 status_of 21 /plain/a k2
echo "== a later process has the slot that another one took"
hub 17 false "$d"
wait_for learner seat "$d.17" "$a.13"
kill -9 "$hub_12"
wait_for voter seat "$d.17" "$a.13"
wait_for "" seat "$b.12" "$a.13"
wait_for 200 change 7 k3 "$d.17"
echo "== that one starts again, from its disk"
kill -9 "$hub_17" "$hub_13"
hub 17 false "$d"
wait_for 200 change 8 k4 "$d.17"
wait_for 200 status_of 21 /plain/a k4
