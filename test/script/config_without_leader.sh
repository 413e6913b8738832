# Guards against a gateway that stays with an old configuration, or none, because
# there is no leader to send it the one that was acknowledged: any control process
# has it. Without a leader the gateway has no lease, so it isn't ready.
. "$PWD/test/script/deployment.inc"

deployment ""
first_manifest '"k1", "k2"'
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k2

leader=$(grep -h 'role=leader.*ready=yes' hub-*.log | sort | tail -n 1 |
    sed 's/.*node=core-\([0-9]*\).*/\1/')
kept=11
[ "$leader" = 11 ] && kept=12
manifest 6 '"k1"' | put "$leader"
wait_for 1 grep -c 'event=config.changed version=6' "hub-$kept.log"
for i in 11 12 13; do
	eval "[ $i = $kept ] || kill -9 \$hub_$i"
done
gateway 22
wait_for 1 grep -c 'event=config.in_force version=6' gateway-22.log
ready 22
echo
