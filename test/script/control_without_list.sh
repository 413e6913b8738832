# Guards against requests to a leaving server for as long as control can't read
# the platform's list, although its gateways can.
. "$PWD/test/script/deployment.inc"

list="$(server 41 ready), $(server 42 ready)"
standin_at 31 "\"kind\": \"platform\", \"instances\": [$list]"
standin_at 32 "\"kind\": \"platform\", \"instances\": [$list]"
hubs_platform=$!
standin_at 41 '"kind": "backend", "id": "i-41"'
standin_at 42 '"kind": "backend", "id": "i-42"'
cloud=32
for i in 11 12 13; do hub $i true; done
cloud=31
gateway 21
first_manifest '"k1"'
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1

kill -9 "$hubs_platform"
set_standin 31 "{\"instances\": [$(server 41 ready), $(server 42 draining)]}"
wait_for 1 grep -c 'event=server.leaving server=i-42' gateway-21.log
for i in 1 2 3 4 5 6; do call 21 /plain/a k1 | grep -o 'server=.*'; done | sort -u
