# Help texts, and exit codes of invalid command lines.
for command in check note status; do
	acaciahinge $command --help
	echo "exit code $?"
done
acaciahinge status --version
echo "exit code $?"
acaciahinge check
echo "exit code $?"
acaciahinge note list
echo "exit code $?"
acaciahinge note drop --to 127.0.0.1:1
echo "exit code $?"
acaciahinge note submit --to 127.0.0.1:1
echo "exit code $?"
acaciahinge status --to somewhere
echo "exit code $?"
