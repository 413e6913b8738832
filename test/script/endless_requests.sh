# Guards against callers' bytes without an end, or bodies that never come to theirs,
# using up the memory of a gateway: 260 MB on the smallest VM.
. "$PWD/test/script/deployment.inc"

# Prints a head: METHOD PATH FIELD.
head_of() {
	printf '%s %s HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer k1\r\n' "$1" "$2"
	printf 'X-Acaciahinge-Request-Id: e%s\r\n%s\r\n' "$(date +%s%N)" "$3"
}

# Sends what stdin has on a connection of its own.
raw() {
	timeout 6 curl -s -m 5 "telnet://$net.21:8221" >/dev/null 2>&1
}

# The statuses of requests that were refused while they came, since the last time.
seen=0
refused() {
	grep 'event=caller.refused' gateway-21.log | tail -n +$((seen + 1)) |
	    sed 's/.*status=\([0-9]*\).*/  \1/'
	seen=$(grep -c 'event=caller.refused' gateway-21.log)
}

# A text without an end.
endless() {
	yes "$(printf "$1")" | tr -d "${2:-}"
}

rate=0
# Sends a manifest until it is accepted: VERSION MAX_BODY_BYTES.
accept() {
	until [ "$(manifest "$1" '"k1"' | limit "$2" | put 11)" = 200 ]; do sleep 0.1; done
	wait_for 1 grep -c "event=config.in_force version=$1 " gateway-21.log
}

limit() {
	sed 's/"tenants"/"limits": {"max_header_bytes": 16384, "max_body_bytes": '"$1"', "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, &/'
}
deployment ""
accept 5 32768
wait_for 200 ready 21
wait_for 200 status_of 21 /plain/a k1

echo "== chunks of one byte"
{ head_of POST /plain/a 'Transfer-Encoding: chunked' ; printf '\r\n'; endless '1\r\nx\r'; } | raw
refused
memory
echo "== short header fields"
{ head_of GET /plain/a 'B: c'; endless 'A: b\r'; } | raw
refused
memory
echo "== trailers"
{ head_of POST /plain/a 'Transfer-Encoding: chunked'; printf '\r\n0\r\n'; endless 'A: b\r'; } | raw
refused
echo "== one header line, a chunk's size, a request line"
{ head_of GET /plain/a 'B: c'; printf 'A: '; endless x '\n'; } | raw
{ head_of POST /plain/a 'Transfer-Encoding: chunked'; printf '\r\n'; endless 0 '\n'; } | raw
{ printf 'GET /'; endless x '\n'; } | raw
refused
memory
echo "== 40 bodies that stop before their last byte, and sound requests beside them"
accept 6 1048576
floods=""
for n in $(seq 40); do
	{ head_of POST /plain/a 'Content-Length: 1048576'; printf '\r\n'
	  head -c 1048575 /dev/zero; sleep 3; } | raw &
	floods="$floods $!"
done
sleep 0.5
for n in $(seq 100); do status_of 21 /plain/a k1; done | sort | uniq -c | sed 's/^ */  /'
for p in $floods; do wait "$p"; done
refused | sort -u
memory
