# ac_proof(NAME SEED), one line for each run in CI.
ac_proof(rollout_random 1)
ac_proof(rollout_random 2)
ac_proof(rollout_bounds 1)
ac_proof(placement_random 1)
ac_proof(path_thin 1)
ac_proof(state_notes_random 1)
ac_proof(journal_random 1)
ac_proof(path_hostile 1)
ac_proof(path_kill 3)
ac_proof(path_leaving 1)
ac_proof(path_once 3)
ac_proof(path_rolling 3)
ac_proof(control_reclaim 1)
ac_proof(control_isolated 1)
ac_proof(control_kills 1)
ac_proof(log_random 1)
ac_proof(state_bytes_random 1)
ac_proof(route_policy_random 1)
ac_proof(retry_budget 1)
ac_proof(fair_shares 1)
ac_proof(control_orders 1)
ac_proof(leaving_vm 1)
ac_proof(path_hand_back 1)

# The soak, short; the shim of clocks and disks isn't built with sanitisers.
add_test(NAME soak_1
	COMMAND soak --seed 1 --seconds 20
	WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
