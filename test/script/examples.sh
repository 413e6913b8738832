# The examples in the documentation must pass `check`.
for file in docs/examples/*.json; do
	acaciahinge check "$file"
done
