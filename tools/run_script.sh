#!/bin/sh
# Runs NAME.sh and compares its output with NAME.expected beside it.
# usage: run_script.sh BUILD SCRIPT
set -eu
build=$(cd "$1" && pwd)
script=$2
out=$(mktemp)
trap 'rm -f "$out"' EXIT
PATH="$build:$build/test:$PATH" sh "$script" >"$out" 2>&1 ||
    { cat "$out"; echo "exit code $?"; exit 1; }
diff -u "${script%.sh}.expected" "$out"
