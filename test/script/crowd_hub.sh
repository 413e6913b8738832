# Guards against a crowd at the doors of a hub, the operators' and the metrics', that ends
# it.
. "$PWD/test/script/crowd.inc"

door=hub
start
gateway 21
kill -9 "$hub_11"
wait "$hub_11" 2>/dev/null
echo "== operators"
shapes PUT /api/config "$net.11:8229"
echo "== a path that isn't one of theirs"
play short 500 262144 POST /none "$net.11:8229"
play whole 300 262144 POST /none "$net.11:8229"
echo "== metrics"
shapes GET /metrics "$net.11:9464"
