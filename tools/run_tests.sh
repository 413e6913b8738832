#!/bin/sh
# Runs all tests except those listed in KNOWN-RED.txt, and prints that file.
# Its entries begin with a line "test: NAME".
# usage: run_tests.sh BUILD
set -eu
build=$1

# Control syncs its log before it answers. On a disk that writes back what a build
# has left, one sync takes over a second, and leaders are lost that no test has
# killed. The tests end processes, never the machine, so that what a sync saves
# from a loss of power is checked by none of them: their data may be in memory.
scratch=""
memory=/dev/shm
if [ -z "${TMPDIR:-}" ] && [ -w "$memory" ] &&
    [ "$(df -Pk "$memory" | awk 'NR == 2 { print $4 }')" -ge 1048576 ]; then
	scratch=$(mktemp -d "$memory/acaciahinge-XXXXXX")
	export TMPDIR="$scratch"
	# Logs that a test has kept.
	trap 'rm -rf "$build/kept"; mv "$scratch" "$build/kept"' EXIT
	trap 'exit 1' HUP INT TERM
else
	sync -f "$build"
fi

red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)
if [ -n "$red" ]; then
	echo "Tests known to fail, not run (KNOWN-RED.txt):"
	cat KNOWN-RED.txt
fi
# An empty expression would leave out every test.
ctest --test-dir "$build" --output-on-failure -j 4 -E "^(${red:-none})\$"
