# Log events in the sources that docs/LOGS.md doesn't list, and listed ones that
# the sources don't have; and the output of `explain` for a request.
set -u
root=$PWD
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat "$root"/src/*/*.c | tr -d '\n' |
    grep -oE '(logger_event|log_end)\([^"]{0,60}"[a-z_]+\.[a-z_]+"' |
    grep -oE '"[a-z_]+\.[a-z_]+"' | tr -d '"' | sort -u >"$folder/sources"
grep -oE 'event=[a-z_]+\.[a-z_]+ ' "$root"/src/base/*.c |
    sed 's/.*event=//; s/ //' | sort -u >>"$folder/sources"
sort -u "$folder/sources" -o "$folder/sources"
sed -n 's/^| `\([a-z_.]*\)` |.*/\1/p' "$root/docs/LOGS.md" | sort -u \
    >"$folder/listed"
echo "== missing in the page, or gone from the sources"
diff "$folder/sources" "$folder/listed"
cd "$folder"
cat >one.log <<'END'
t=2026-05-26T13:26:37.365Z level=info node=front-1 event=attempt.sent request=r1 attempt=1 server=i-1
t=2026-05-26T13:26:37.390Z level=info node=front-1 event=request.done request=r2 status=200
t=2026-05-26T13:26:38.001Z level=info node=front-1 event=request.failed request=r1 status=502 verdict="may have run" attempts=1 server=i-1 reason="the answer broke off" ms=636
END
cat >two.log <<'END'
t=2026-05-26T13:26:36.100Z level=info node=front-1 event=evacuation.in_force zones=csepel revision=40
t=2026-05-26T13:26:38.000Z level=info node=front-2 event=evacuation.in_force zones=kelenfold revision=41
t=2026-05-26T13:26:39.000Z level=info node=front-1 event=evacuation.in_force zones=- revision=42
t=2026-05-26T13:26:37.900Z level=info node=front-2 event=attempt.failed request=r1 attempt=1 server=i-1 verdict="may have run"
t=2026-05-26T13:26:37.100Z level=info node=front-2 event=attempt.sent request=r11 attempt=1 server=i-1
END
echo "== one request"
acaciahinge explain r1 --logs one.log --logs two.log
echo "== nobody knows it"
acaciahinge explain r9 --logs one.log --logs two.log
echo "exit code $?"
