#!/bin/sh
# A manifest takes away the key of the last customer. A request with that key that is
# sent later than revoke_ms after the acknowledgement must not run.
cd "$(dirname "$0")/../.." || exit 2
RECORD=$PWD/review/8/record.txt
trouble=${TROUBLE:-1}
. review/deployment-2.inc

list 41:ready 42:ready
deployment 41 42

tenants='[{"name":"depot","api_keys":["k1"],"priority":1}]'
[ "$trouble" = 0 ] || tenants='[]'
manifest 8 "$tenants"
send_manifest 8
note "acknowledged: version 8 with tenants $tenants"
sleep 7
late=$(ask GET /lookup/late k1)
never=$(ask GET /lookup/never-held k9)
note "with the key k1: $late"
note "with a key that no manifest held: $never"
if [ "$trouble" = 0 ]; then
	case $late in *status=200*) ;; *) cannot_run "the key isn't served" ;; esac
	! grep -q 'runs .*GET /lookup/never-held' "$RECORD"
	exit
fi
! grep -qE 'runs .*GET /lookup/(late|never-held)' "$RECORD"
