# Notes submitted to a control process: the same response to a resent note,
# conflicts, invalid notes, rollouts, and the same response after the process
# was killed and restarted.
set -u
folder=$(mktemp -d)
trap 'kill -9 $control 2>/dev/null; rm -rf "$folder"' EXIT
cd "$folder"
mkdir data

start() {
	acaciahinge control --settings control.json >>log 2>&1 &
	control=$!
}

note() {
	acaciahinge note "$@" --settings control.json 2>&1 |
	    sed 's/127[.0-9]*:[0-9]*/ADDRESS/g'
}

# Runs a command and prints only its exit code.
code() {
	acaciahinge "$@" --settings control.json >/dev/null 2>&1
	echo "exit code $?"
}

settings() {
	cat >control.json <<END
{"role": "control", "node": "control-1", "data_centre": "csepel",
 "deployment": "budapest", "data_folder": "$folder/data",
 "operators": "127.0.0.1:$port", "peer": "127.0.0.1:$((port + 1))",
 "control": [{"id": 1, "name": "control-1", "data_centre": "csepel",
   "peer": "127.0.0.1:$((port + 1))", "operators": "127.0.0.1:$port"}],
 "tls": {"plain": true}}
END
}

cat >first.json <<'END'
{"note": "first", "base": 0,
 "data_centres": {"add": [{"name": "csepel", "region": "budapest"}]},
 "pools": {"add": [{"name": "desk", "kind": "runner"}]},
 "versions": {"add": [{"name": "v1", "pool": "desk"}]},
 "routes": {"add": [{"path": "/chat", "pool": "desk", "mode": "stream",
   "idempotent": true}]}}
END
cat >late.json <<'END'
{"note": "late", "base": 0, "customers": {"add": [{"name": "depot"}]}}
END
cat >wrong.json <<'END'
{"note": "wrong", "base": 1,
 "data_centres": {"add": [{"name": "csepel", "region": "budapest"}]},
 "versions": {"withdraw": ["v1"]},
 "routes": {"change": [{"path": "/chat", "pool": "none", "mode": "stream",
   "idempotent": true}]}}
END
cat >unknown.json <<'END'
{"note": "unknown", "base": 1, "versions": {"withdraw": ["v1"]},
 "routes": {"change": [{"path": "/chat", "pool": "none", "mode": "stream",
   "idempotent": true}]}}
END
# Tries further ports when another process has this one.
for try in 0 1 2 3 4; do
	# Below those that the system gives to outgoing connections.
	port=$((20000 + ($$ * 7 + try * 1009) % 12000))
	settings
	start
	sleep 0.2
	kill -0 $control 2>/dev/null && break
done
note submit first.json
note submit first.json
note submit late.json
code note submit late.json
note submit wrong.json
note submit unknown.json
code note submit unknown.json
note list
note show second
code note show second
note watch first
code note watch first
acaciahinge status --settings control.json | sed 's/log index .*/log index N/'
kill -9 $control
wait $control 2>/dev/null
code note submit first.json --wait 0
start
note submit first.json
kill $control
wait $control
echo "control ended with $?"
