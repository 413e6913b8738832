# `check` of valid and invalid settings and notes, and its exit codes.
set -u
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"

cat >entry.json <<'END'
{"role": "entry", "node": "entry-1", "data_centre": "kelenföld",
 "deployment": "budapest", "callers": "127.0.0.1:8000",
 "operators": "127.0.0.1:8100",
 "control": [{"id": 1, "name": "control-1", "data_centre": "csepel",
   "peer": "127.0.0.1:8200", "operators": "127.0.0.1:8101"}],
 "tls": {"plain": true}}
END
cat >bad.json <<'END'
{"role": "entry", "node": "entry 1",
 "data_centre": "csepel", "deployment": "budapest",
 "callers": "localhost:8000",
 "operators": "127.0.0.1:8100", "peers": 3,
 "control": [{"id": 1, "name": "a", "data_centre": "csepel",
   "peer": "127.0.0.1:8200", "operators": "127.0.0.1:8100"},
  {"id": 1, "name": "a", "data_centre": "csepel",
   "peer": "127.0.0.1:8201", "operators": "127.0.0.1:99999"}],
 "tls": {}, "data_folder": "/tmp", "heartbeat_ms": 5000,
 "log_level": "loud"}
END
cat >note.json <<'END'
{"note": "first", "base": 0,
 "pools": {"add": [{"name": "booking", "kind": "service"}]},
 "routes": {"add": [{"path": "/bookings", "pool": "booking",
   "mode": "later", "idempotent": false}]}}
END
cat >bad-note.json <<'END'
{"note": "first", "base": -1,
 "pools": {"add": [{"name": "booking", "kind": "shop"}, {"nam": "x"}]},
 "routes": {"add": [{"path": "bookings", "pool": "booking",
   "mode": "later", "idempotent": "no"}], "remove": []},
 "customers": {"add": [{"name": "a"}], "withdraw": ["a"]}}
END
printf '{"note": "x",\n "base" 1}' >broken.json
for file in entry bad note bad-note broken missing; do
	acaciahinge check "$file.json" 2>/dev/null
	echo "exit code $?"
done
acaciahinge check --json broken.json
acaciahinge note submit bad-note.json --to 127.0.0.1:1 --wait 0
echo "exit code $?"
