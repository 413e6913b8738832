# Guards against callers of a gateway that reaches no server being refused where no slot
# implies the addresses of the gateways: they took no attempts of each other.
. "$PWD/test/script/deployment.inc"

other=127.$((64 + n % 62)).$((4 + n / 62 % 4))

platform="\"kind\": \"platform\", \"instances\": [$(server 41 ready), $(server 42 ready)]"
servers="$net.41 $net.42 "
retry_slack=4000
for i in 41 42; do standin_at $i "\"kind\": \"backend\", \"id\": \"i-$i\""; done
standin_at 31 "$platform"
for i in 11 12 13; do hub $i true; done
first_manifest '"k1"'
net=$other
standin_at 31 "$platform"
for i in 21 22; do
	cut="$folder/cut-$i"
	gateway $i
done
cut=""
for i in 21 22; do wait_for 200 ready $i; done
for i in 21 22; do wait_for 200 status_of $i /booking/a k1; done
sleep 1
echo "== a gateway is cut off from all servers"
printf '%s' "$servers" >cut-21
for i in 1 2 3 4 5 6; do status_of 21 /booking/a k1 >/dev/null; done
for route in plain booking stream; do
	for i in 1 2 3 4 5; do status_of 21 /$route/a k1; done | sort | uniq -c | sed 's/^ *//'
done
[ "$(grep -c event=relay.sent gateway-22.log)" -gt 0 ] && echo "sent by the other one"
