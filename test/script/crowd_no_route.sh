# Guards against a crowd at the callers' door, on a path without a route, that ends a
# gateway.
. "$PWD/test/script/crowd.inc"

door=callers
start
shapes POST /none "$net.21:8221"
