#!/bin/sh
# Runs clang-format, clang-tidy and cppcheck, and checks that a library includes
# only headers of the libraries that it declares, and that the platform's names
# occur only in src/platform.
# usage: lint.sh BUILD
set -eu
build=$1
files=$(git ls-files -co --exclude-standard '*.c' '*.h' '*.cc')
echo "$files" | xargs clang-format --dry-run -Werror
sources=$(echo "$files" | grep '\.c$')
echo "$sources" | xargs -P 8 -n 4 clang-tidy -p "$build" --quiet 2>/dev/null
echo "$sources" | xargs cppcheck --quiet --std=c11 --error-exitcode=1 \
    --enable=warning,portability --inline-suppr -I src -D_GNU_SOURCE \
    --suppress=missingIncludeSystem -j 8 \
    '-Djson_array_foreach(a,i,v)=for(i=0;(v=json_array_get(a,i));i++)' \
    '-Djson_object_foreach(o,k,v)=for(k="";(v=json_object_get(o,k));)'
bad=0
for lib in "$build"/deps/*; do
	name=$(basename "$lib")
	find src/"$name" -name "*.[ch]" -exec cat {} + | grep -o '^#include "[a-z]*/' |
	    sort -u | sed 's/.*"\(.*\)\//\1/' >"$build/includes"
	while read -r used; do
		case " $(cat "$lib") " in
		*" $used "*) ;;
		*)
			echo "src/$name includes $used/, which it does not declare"
			bad=1
			;;
		esac
	done <"$build/includes"
done
names=$(git grep -lIE 'X-Acaciahinge-|"/api/|desired_count|window_seq|traffic_split|Server-Limit|Server-Leaving' \
    -- src ':!src/platform' || true)
if [ -n "$names" ]; then
	echo "names of the platform's interface outside src/platform: $names"
	bad=1
fi
exit $bad
