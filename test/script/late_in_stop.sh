# Guards against a planned stop that cuts requests without an answer at the end
# of its grace period, and that takes new ones when it has no time left for them.
. "$PWD/test/script/deployment.inc"

deployment ""
first_manifest '"k1"'
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1
set_standin 41 '{"mute": 1}'
set_standin 42 '{"mute": 1}'

# Its body is complete 2.6 s after the stop has begun.
{ printf x; sleep 3; printf y; } | call 21 /booking/late k1 -T - -X POST >late.out &
late=$!
sleep 0.4
kill -TERM "$gateway_21"
sleep 1.8
# No server answers it by the end of the grace period.
status_of 21 /booking/last k1 -X POST -d x
wait "$late"
cat late.out
grep -c 'event=request.refused.*reason="stopping"' gateway-21.log
