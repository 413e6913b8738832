# TLS on every port: peers with a valid certificate are served, others are
# refused, and new certificates are loaded without a restart.
set -eu
folder=$(mktemp -d)
pids=""
trap 'for p in $pids; do kill "$p" 2>/dev/null || true; done; wait; rm -rf "$folder"' EXIT
cd "$folder"

authority() {
	openssl req -x509 -newkey rsa:2048 -nodes -keyout "$1.key" -out "$1.pem" \
	    -days 30 -subj "/CN=$1" 2>/dev/null
}
certificate() { # NAME AUTHORITY FILE
	openssl req -newkey rsa:2048 -nodes -keyout "$3.key" -out "$3.csr" \
	    -subj "/CN=$1" 2>/dev/null
	printf "subjectAltName=IP:%s\n" "$address" >"$3.ext"
	openssl x509 -req -in "$3.csr" -CA "$2.pem" -CAkey "$2.key" \
	    -CAcreateserial -out "$3.pem" -days 30 -extfile "$3.ext" 2>/dev/null
}
# A loopback address used by this run alone, so that parallel tests don't take
# its ports.
address=127.$(($$ % 200 + 20)).$(($$ / 200 % 200 + 20)).1
port() {
	echo $((8440 + $1))
}
settings() { # ROLE NODE CERTIFICATE ADDRESSES PORT
	cat <<J
{"role":"$1","node":"$2","data_centre":"csepel","deployment":"budapest",
$4 "operators":"$address:$(port "$5")",
"control":[{"id":1,"name":"control-1","data_centre":"csepel",
"peer":"$address:$(port 1)","operators":"$address:$(port 2)"}],
"tls":{"certificate":"$folder/$3.pem","key":"$folder/$3.key",
"authority":"$folder/ours.pem"},"operator_token":"secret"}
J
}
# Polls a URL until it responds with STATUS, 10 s at most; prints the last one.
until_status() { # STATUS URL
	for _ in $(seq 100); do
		got=$(curl -s -o /dev/null -w '%{http_code}' --cacert ours.pem \
		    "$2" || true)
		[ "$got" = "$1" ] && break
		sleep 0.1
	done
	echo "$got"
}

authority ours
authority theirs
certificate control-1 ours control
certificate entry-1 ours entry
certificate entry-9 ours misnamed
certificate entry-3 theirs foreign
settings control control-1 control "\"data_folder\":\"$folder/data\",
\"peer\":\"$address:$(port 1)\"," 2 >control.json
settings entry entry-1 entry "\"callers\":\"$address:$(port 3)\"," 4 >entry.json
settings entry entry-2 misnamed "\"callers\":\"$address:$(port 5)\"," 6 >second.json
settings entry entry-3 foreign "\"callers\":\"$address:$(port 7)\"," 8 >third.json
acaciahinge control --settings control.json >control.log 2>&1 &
control=$!
pids="$control"
for s in entry second third; do
	acaciahinge entry --settings $s.json >$s.log 2>&1 &
	pids="$pids $!"
done

echo "entry with our certificate in service: $(until_status 200 "https://$address:$(port 3)/healthz")"
grep -q 'reason=certificate peer=entry-2' control.log &&
    echo "certificate made out to another name: refused"
echo "that entry: $(until_status 503 "https://$address:$(port 5)/healthz")"
curl -sk -o /dev/null -w 'entry vouched for by others: %{http_code}\n' \
    "https://$address:$(port 7)/healthz"
curl -s -o /dev/null --max-time 3 "http://$address:$(port 3)/healthz" ||
    echo "plain caller: refused"
curl -s -o /dev/null -w 'operator without a token: %{http_code}\n' \
    --cacert ours.pem "https://$address:$(port 2)/v1/notes"
acaciahinge status --settings control.json | grep -c 'entry entry-1 in csepel'

serial() {
	openssl s_client -connect "$address:$(port 2)" </dev/null 2>/dev/null |
	    openssl x509 -noout -serial
}
before=$(serial)
certificate control-1 ours control
kill -HUP "$control"
for _ in $(seq 50); do
	[ "$(serial)" != "$before" ] && break
	sleep 0.1
done
[ "$(serial)" != "$before" ] && echo "new certificate in use without a stop"
