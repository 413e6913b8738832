# Guards against a second response on the connection of one that has no length, or a
# part of it, reaching the caller as the rest of the first.
. "$PWD/test/script/raw.inc"

raw_deployment
last_of_b='id: 4\ndata: b4\n\n'
for path in /once/a /stream/a; do
	echo "== $path, its events go on"
	ask $path "\"$stream$run_a$stream$rest_of_b\$CLOSE\", \"$stream$rest_of_b\$CLOSE\""
	echo "== $path, they start again"
	ask $path "\"$stream$run_a$stream$run_b\$CLOSE\", \"$stream$rest_of_b\$CLOSE\""
	echo "== $path, the first response ends within an event"
	ask $path "\"$stream${run_a}id: 3\ndata: a3\n$stream$rest_of_b\$CLOSE\", \"$stream$rest_of_b\$CLOSE\""
	echo "== $path, the first response ends within a line"
	ask $path "\"$stream${run_a}id: 3\ndata: a$stream$last_of_b\$CLOSE\", \"$stream$rest_of_b\$CLOSE\""
done
