#include "hub/hub_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "platform/api_manifest.h"

#define HUB_ELECTION_US (400 * USEC_PER_MSEC)
#define HUB_HEARTBEAT_US (100 * USEC_PER_MSEC)
#define HUB_FAILED_EXIT 1
/// Log size that starts a snapshot; kept small so that a start reads the log
/// fast.
#define HUB_SNAPSHOT_BYTES (256ULL << 10)

static void
on_send(void *arg, uint32_t to, const uint8_t *bytes, size_t len)
{
	const struct wire_msg msg = {
		.kind = WIRE_RAFT,
		.raft = { .group = HUB_GROUP, .bytes = { bytes, len } },
	};

	hub_peer_send_raft(arg, to & RAFT_SLOT_MASK, &msg);
}

/// Parses the state's configuration again if its version has changed. At a
/// start or after a partition several configurations are applied at once; only
/// the last one is parsed.
void
hub_load_config(struct hub *h)
{
	struct fleetcfg *config;
	size_t len;
	const uint8_t *text = hubstate_manifest(h->state, &len);

	if (len == 0 ||
	    (h->config != NULL &&
		fleetcfg_version(h->config) == hubstate_version(h->state)))
		return;
	if (api_manifest_read((const char *)text, len, &config) != STATUS_OK) {
		logger_event(LOGGER_ERROR, "config.unreadable", "reason=\"%s\"",
		    status_last());
		return;
	}
	if (h->config != NULL && fleetcfg_has_keys(h->config) &&
	    !fleetcfg_has_keys(config))
		logger_event(LOGGER_WARN, "config.keys_unused",
		    "version=%" PRIu64, fleetcfg_version(config));
	fleetcfg_unref(h->config);
	h->config = config;
	logger_event(LOGGER_INFO, "config.changed", "version=%" PRIu64,
	    fleetcfg_version(config));
}

static void
on_apply(void *arg, uint64_t index, const uint8_t *cmd, size_t len,
    uint8_t **result, size_t *result_len)
{
	struct hub *h = arg;
	const uint64_t before = hubstate_gateways_index(h->state);

	*result = NULL;
	*result_len = 0;
	if (hubstate_apply(h->state, index, cmd, len) != STATUS_OK)
		logger_event(
		    LOGGER_ERROR, "log.unreadable", "index=%" PRIu64, index);
	if (hubstate_gateways_index(h->state) != before)
		timerq_arm_in(h->push, 0);
}

static enum status
on_snapshot_make(void *arg, uint8_t **bytes, size_t *len)
{
	const struct hub *h = arg;

	hubstate_save(h->state, bytes, len);
	return STATUS_OK;
}

static enum status
on_snapshot_load(void *arg, const uint8_t *bytes, size_t len)
{
	struct hub *h = arg;
	struct hubstate *state;
	const enum status st = hubstate_load(bytes, len, &state);

	if (st != STATUS_OK)
		return st;
	hubstate_free(h->state);
	h->state = state;
	timerq_arm_in(h->push, 0);
	return STATUS_OK;
}

static const char *
role_name(enum raft_role role)
{
	switch (role) {
	case RAFT_FOLLOWER:
		return "follower";
	case RAFT_PRE_CANDIDATE:
		return "pre_candidate";
	case RAFT_CANDIDATE:
		return "candidate";
	case RAFT_LEADER:
		return "leader";
	}
	return "?";
}

/// The process's raft role, the leader or the term changed, or this process has
/// become ready to act as the leader (`ready=yes` in the log line).
static void
on_role(void *arg, enum raft_role role, uint32_t leader, uint64_t term)
{
	struct hub *h = arg;
	char host[INSTANCE_HOST_BYTES] = "-";

	if (leader != 0)
		hosttable_get(h->hosts, leader & RAFT_SLOT_MASK, host);
	logger_event(LOGGER_INFO, "group.role",
	    "role=%s leader=%s term=%" PRIu64 " ready=%s", role_name(role),
	    host, term, hub_is_leader(h) ? "yes" : "no");
	if (!hub_is_leader(h))
		hub_duty_reset(h);
	if (hub_is_leader(h) && !h->was_leader) {
		// The same step may have applied a newer one.
		hub_load_config(h);
		hub_quota_start(h);
		hub_servers_reset(h);
		hub_rollout_reset(h);
		hub_crashes_reset(h);
		hub_limits_reset(h);
		hub_evac_reset(h);
		hub_speed_reset(h);
		timerq_arm_in(h->tick, 0);
	}
	h->was_leader = hub_is_leader(h);
	timerq_arm_in(h->push, 0);
}

/// Ends the process: its replica has failed, for the reason in status_last().
void
hub_log_failed(struct hub *h, enum status status)
{
	char quoted[256];

	logger_event(LOGGER_ERROR, "group.failed", "status=%s reason=%s",
	    status_name(status),
	    logger_quote(quoted, sizeof(quoted), status_last()));
	loop_exit(h->loop, HUB_FAILED_EXIT);
}

static void
on_failed(void *arg, enum status status)
{
	hub_log_failed(arg, status);
}

/// Proposes a command for the replicated log.
///
/// @param c     encoded before the call returns
/// @param done  called once with the outcome, see replica_done_cb
void
hub_propose(struct hub *h, const struct hubstate_command *c,
    replica_done_cb done, void *arg)
{
	uint8_t *bytes;
	size_t len;

	hubstate_encode(c, &bytes, &len);
	replica_propose(h->group, bytes, len, done, arg);
	free(bytes);
}

/// Makes the seeds the initial voters if this process is one of them; any other
/// process joins as a learner.
static void
set_initial_voters(const struct hub *h, struct replica_config *config)
{
	const struct bootstrap_settings *s = &h->settings;
	bool is_initial_voter = false;

	for (uint32_t i = 0; i < s->n_seeds; i++) {
		const uint32_t slot =
		    hosttable_slot(h->hosts, s->seeds[i].host);

		if (slot == 0)
			continue;
		config->contacts[config->n_contacts++] = slot;
		is_initial_voter |= slot == h->slot;
	}
	if (!is_initial_voter)
		return;
	config->n_voters = config->n_contacts;
	memcpy(config->voters, config->contacts, sizeof(config->voters));
}

/// Opens the replicated log.
///
/// @return STATUS_OK, or the error of replica_open()
enum status
hub_log_start(struct hub *h)
{
	const struct bootstrap_settings *s = &h->settings;
	struct replica_config config = {
		.folder = s->data_folder,
		.group = HUB_GROUP,
		.self = h->slot,
		.deployment = "fleet",
		.node = s->node,
		.group_started = !s->first_start,
		.election_us = HUB_ELECTION_US,
		.heartbeat_us = HUB_HEARTBEAT_US,
		.snapshot_bytes = HUB_SNAPSHOT_BYTES,
		.timerq = loop_timers(h->loop),
		.rnd = loop_random(h->loop),
		.ops = {
			.send = on_send,
			.apply = on_apply,
			.snapshot_make = on_snapshot_make,
			.snapshot_load = on_snapshot_load,
			.role_changed = on_role,
			.failed = on_failed,
		},
		.arg = h,
	};

	set_initial_voters(h, &config);
	return replica_open(&config, &h->group);
}
