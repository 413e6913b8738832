#include "hub/hb_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/ps.h"
#include "platform/pf_manifest.h"

#define HB_GROUP 1
#define HB_ELECTION_US (400 * USEC_PER_MSEC)
#define HB_HEARTBEAT_US (100 * USEC_PER_MSEC)
#define HB_FAILED_EXIT 1
/// A small log is read fast at a start.
#define HB_SNAPSHOT_BYTES (256ULL << 10)

static void
on_send(void *arg, uint32_t to, const uint8_t *bytes, size_t len)
{
	struct hb *h = arg;
	const struct hb_peer *p = hb_peer(h, to & RAFT_SLOT_MASK);
	const struct wire_msg msg = {
		.kind = WIRE_RAFT,
		.log = { .group = HB_GROUP, .bytes = { bytes, len } },
	};

	if (p == NULL)
		return;
	if (!transport_send(h->links, p->dialled, &msg) &&
	    p->accepted != HANDLE_NONE)
		(void)transport_send(h->links, p->accepted, &msg);
}

/// Reads the configuration of the state anew, when it has changed. Many may be
/// applied at once, at a start or after a cut; only the last one counts.
void
hb_read_config(struct hb *h)
{
	struct fc *config;
	size_t len;
	const uint8_t *text = hs_manifest(h->state, &len);

	if (len == 0 ||
	    (h->config != NULL &&
		fc_version(h->config) == hs_version(h->state)))
		return;
	if (pf_manifest_read((const char *)text, len, &config) != STATUS_OK) {
		logger_event(LOGGER_ERROR, "config.unreadable", "reason=\"%s\"",
		    status_last());
		return;
	}
	fc_unref(h->config);
	h->config = config;
	logger_event(LOGGER_INFO, "config.changed", "version=%" PRIu64,
	    fc_version(config));
}

static void
on_apply(void *arg, uint64_t index, const uint8_t *cmd, size_t len,
    uint8_t **result, size_t *result_len)
{
	struct hb *h = arg;

	*result = NULL;
	*result_len = 0;
	if (hs_apply(h->state, index, cmd, len) != STATUS_OK)
		logger_event(
		    LOGGER_ERROR, "log.unreadable", "index=%" PRIu64, index);
	timerq_arm_in(h->push, 0);
}

static enum status
on_snapshot_make(void *arg, uint8_t **bytes, size_t *len)
{
	const struct hb *h = arg;

	hs_save(h->state, bytes, len);
	return STATUS_OK;
}

static enum status
on_snapshot_load(void *arg, const uint8_t *bytes, size_t len)
{
	struct hb *h = arg;
	struct hs *state;
	const enum status st = hs_load(bytes, len, &state);

	if (st != STATUS_OK)
		return st;
	hs_free(h->state);
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

static void
on_role(void *arg, enum raft_role role, uint32_t leader, uint64_t term)
{
	struct hb *h = arg;
	char host[SV_HOST_BYTES] = "-";

	if (leader != 0)
		ps_host(h->settings.host, leader & RAFT_SLOT_MASK, host,
		    sizeof(host));
	logger_event(LOGGER_INFO, "group.role",
	    "role=%s leader=%s term=%" PRIu64 " ready=%s", role_name(role),
	    host, term, hb_leads(h) ? "yes" : "no");
	if (!hb_leads(h))
		hb_duty_reset(h);
	if (hb_leads(h) && !h->led) {
		hb_quota_start(h);
		hb_list_reset(h);
		hb_moves_reset(h);
		timerq_arm_in(h->tick, 0);
	}
	h->led = hb_leads(h);
	timerq_arm_in(h->push, 0);
}

static void
on_failed(void *arg, enum status status)
{
	struct hb *h = arg;
	char quoted[256];

	logger_event(LOGGER_ERROR, "group.failed", "status=%s reason=%s",
	    status_name(status),
	    logger_quote(quoted, sizeof(quoted), status_last()));
	loop_exit(h->loop, HB_FAILED_EXIT);
}

/// Proposes a command to the log that this process leads.
void
hb_propose(
    struct hb *h, const struct hs_command *c, replica_done_cb done, void *arg)
{
	uint8_t *bytes;
	size_t len;

	hs_encode(c, &bytes, &len);
	replica_propose(h->group, bytes, len, done, arg);
	free(bytes);
}

/// Founders are the seeds of the first start; everybody else joins.
static void
set_founders(const struct hb *h, struct replica_config *config)
{
	const struct bootstrap_settings *s = &h->settings;
	bool founds = false;

	for (uint32_t i = 0; i < s->n_seeds; i++) {
		const uint32_t slot = ps_slot(s->seeds[i].host);

		if (slot == 0)
			continue;
		config->contacts[config->n_contacts++] = slot;
		founds |= s->first_start && slot == h->slot;
	}
	if (!founds)
		return;
	config->n_voters = config->n_contacts;
	memcpy(config->voters, config->contacts, sizeof(config->voters));
}

/// Opens the log.
enum status
hb_log_start(struct hb *h)
{
	const struct bootstrap_settings *s = &h->settings;
	struct replica_config config = {
		.folder = s->data_folder,
		.group = HB_GROUP,
		.self = h->slot,
		.deployment = "fleet",
		.node = s->node,
		.late = !s->first_start,
		.election_us = HB_ELECTION_US,
		.heartbeat_us = HB_HEARTBEAT_US,
		.snapshot_bytes = HB_SNAPSHOT_BYTES,
		.tm = loop_timers(h->loop),
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

	set_founders(h, &config);
	return replica_open(&config, &h->group);
}
