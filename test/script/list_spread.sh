# Guards against requests to a leaving server while the leader can't read the
# platform's list: the gateway has to get it from another control process, as
# hundreds of gateways can't all read it themselves in time.
. "$PWD/test/script/deployment.inc"

list="$(server 41 ready), $(server 42 ready)"
for i in 11 12 13; do
	standin_at "3${i#1}" "\"kind\": \"platform\", \"instances\": [$list]"
	eval "platform_$i=$!"
	cloud="3${i#1}"
	hub $i true
done
standin_at 41 '"kind": "backend", "id": "i-41"'
standin_at 42 '"kind": "backend", "id": "i-42"'
# Nothing runs at the address of the gateway's platform.
cloud=39
gateway 21
first_manifest '"k1"'
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1

leader=$(grep -h 'role=leader.*ready=yes' hub-*.log | sort | tail -n 1 |
    sed 's/.*node=core-\([0-9]*\).*/\1/')
eval "kill -9 \$platform_$leader"
for i in 11 12 13; do
	[ "$i" = "$leader" ] && continue
	set_standin "3${i#1}" "{\"instances\": [$(server 41 ready), $(server 42 draining)]}"
done
since=$(date +%s%N)
wait_for 1 grep -c 'event=server.leaving server=i-42' gateway-21.log
[ $((($(date +%s%N) - since) / 1000000)) -lt 4000 ] && echo "known within 4 s"
for i in 1 2 3 4 5 6; do call 21 /plain/a k1 | grep -o 'server=.*'; done | sort -u
grep "event=list.own_reading" gateway-21.log | wc -l
