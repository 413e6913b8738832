# Guards against a crowd at the door that says ready, at its path and at others, that
# ends a gateway.
. "$PWD/test/script/crowd.inc"

door=ready
start
echo "== the path that says ready"
shapes GET /api/readiness "$net.21:8224"
echo "== another path"
play short 500 262144 POST /none "$net.21:8224"
play whole 300 262144 POST /none "$net.21:8224"
