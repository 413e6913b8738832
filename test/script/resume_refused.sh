# Guards against the events of another run reaching a caller behind those that it
# has, on a route whose streams can't be resumed.
. "$PWD/test/script/raw.inc"

raw_deployment
echo "== no event to go on after"
ask /once/a "\"$stream$run_b\$CLOSE\""
ask /once/a "\"$stream$run_b\$CLOSE\"" -H "Last-Event-Id: 0"
echo "== behind the second event of another run"
ask /once/a "\"$stream$run_b\$CLOSE\"" -H "Last-Event-Id: 2"
grep -c "event=attempt.sent.* after=2 " gateway-21.log
echo "== the same, a route whose streams can be resumed"
ask /stream/a "\"$stream$run_b\$CLOSE\"" -H "Last-Event-Id: 2"
echo "== behind the last event, and behind one that the new run doesn't reach"
ask /stream/a "\"$stream$run_b\$CLOSE\"" -H "Last-Event-Id: 4"
ask /stream/a "\"$stream$run_b\$CLOSE\", \"$stream$run_b\$CLOSE\"" -H "Last-Event-Id: 9"
echo "== the gateway resumes, and the response ends with its connection before an event"
cut="${head}Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n"
ask /stream/a "\"$cut$run_a\$CLOSE\", \"$stream\$CLOSE\""
