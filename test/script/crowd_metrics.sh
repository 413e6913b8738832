# Guards against a crowd at the metrics door that ends a gateway.
. "$PWD/test/script/crowd.inc"

door=metrics
start
shapes GET /metrics "$net.21:9464"
