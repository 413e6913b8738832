# Guards against a crowd at the callers' door, on a route, that ends a gateway.
. "$PWD/test/script/crowd.inc"

door=callers
start
echo "== a route"
shapes POST /plain/a "$net.21:8221"

mute() {
	set_standin 41 '{"mute": 1}'
}
answer() {
	set_standin 41 '{"mute": 0}'
}
echo "== a route whose server doesn't answer"
before=mute
settled=answer
play fields 500 15000 POST /plain/a "$net.21:8221"
play pipeline 500 131072 POST /plain/a "$net.21:8221"
play whole 300 262144 POST /plain/a "$net.21:8221"

echo "== answers that aren't read"
before=true
settled=true
set_standin 41 '{"padding": 200000}'
play pipeline 500 131072 POST /plain/a "$net.21:8221"
