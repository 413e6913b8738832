#include "hub/hub_internal.h"

#include <inttypes.h>
#include <string.h>

#include "rollout/rollout_codec.h"

/// A canary gets this part of the share that a bad version may get: requests
/// that are in flight when it is stopped count, too.
#define HUB_CANARY_FACTOR 0.8
/// A new version gets all requests this long before the rollout's deadline, but
/// at the latest when a quarter of its time is left.
#define HUB_FULL_BEFORE_US (900 * USEC_PER_MSEC)
#define PERMILLE 1000

/// The state of a rollout as operators see it.
///
/// @return a static string
const char *
hub_rollout_state_name(const struct hubstate_rollout *v)
{
	switch (v->record.state) {
	case ROLLOUT_PENDING:
	case ROLLOUT_PROGRESSING:
		return "running";
	case ROLLOUT_MONITORING:
	case ROLLOUT_DONE:
		return "done";
	case ROLLOUT_ROLLED_BACK:
	case ROLLOUT_WITHDRAWN:
		return "rolled_back";
	}
	return "running";
}

/// Drops the statistics of an earlier term as the leader; the next tick starts
/// again from the replicated state.
void
hub_rollout_reset(struct hub *h)
{
	rollout_control_free(h->rollout_control);
	h->rollout_control = NULL;
	h->committing_rollout = false;
}

/// Builds the rollout control from the replicated state.
static void
build_control(struct hub *h)
{
	const struct rollout_control_settings settings = {
		.canary_permille = (uint32_t)(h->settings.bounds.canary_share *
		    HUB_CANARY_FACTOR * PERMILLE),
		.monitor_us = 1,
		.full_before_us = HUB_FULL_BEFORE_US,
	};

	h->rollout_control = rollout_control_new(&settings);
	for (size_t i = 0; i < hubstate_n_rollouts(h->state); i++) {
		const struct hubstate_rollout *v =
		    hubstate_rollout_at(h->state, i);

		rollout_control_set_pool(
		    h->rollout_control, v->record.pool, v->record.replaces);
		if (!rollout_is_final(v->record.state))
			rollout_control_add(h->rollout_control, &v->record);
	}
}

/// The rollout to a version, given by its rollout_version_key(); or NULL.
static const struct hubstate_rollout *
find_rollout(const struct hub *h, uint64_t version)
{
	for (size_t i = 0; i < hubstate_n_rollouts(h->state); i++) {
		const struct hubstate_rollout *v =
		    hubstate_rollout_at(h->state, i);

		if (v->record.version == version)
			return v;
	}
	return NULL;
}

/// Servers of a service with a version, without the draining ones.
static uint32_t
count_servers(const struct hub *h, const char *service, const char *version)
{
	uint32_t n = 0;

	for (guint i = 0; i < listdiff_servers(h->list)->len; i++) {
		const struct instance *s = &g_array_index(
		    listdiff_servers(h->list), struct instance, i);

		n += !s->draining && strcmp(s->service, service) == 0 &&
		    strcmp(s->version, version) == 0;
	}
	return n;
}

static void
on_decision_committed(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct hub *h = arg;

	(void)result;
	(void)len;
	h->committing_rollout = false;
	// Decide again from the state: the decision may not be committed.
	if (status != STATUS_OK)
		hub_rollout_reset(h);
}

/// Proposes a decision of the rollout control. Gateways get it once it is
/// committed.
static void
on_decision(void *arg, const struct rollout_effect *effect)
{
	struct hub *h = arg;
	const struct hubstate_rollout *v =
	    find_rollout(h, effect->record.version);
	struct hubstate_command c = { .kind = HUBSTATE_ROLLOUT };

	if (v == NULL)
		return;
	c.rollout = *v;
	c.rollout.record = effect->record;
	h->committing_rollout = true;
	logger_event(LOGGER_INFO, "rollout.decided",
	    "service=%s target=%s state=%s share=%u reason=%s", v->service,
	    v->target, rollout_state_name(effect->record.state),
	    effect->record.share_permille,
	    rollout_reason_name(effect->record.reason));
	hub_propose(h, &c, on_decision_committed, h);
}

/// Decides on the rollouts in progress, one commit at a time.
void
hub_rollout_tick(struct hub *h, uint64_t now_us)
{
	(void)now_us;
	if (hubstate_n_rollouts(h->state) == 0 || h->committing_rollout)
		return;
	if (h->rollout_control == NULL)
		build_control(h);
	for (size_t i = 0; i < hubstate_n_rollouts(h->state); i++) {
		const struct hubstate_rollout *v =
		    hubstate_rollout_at(h->state, i);
		const uint32_t n = count_servers(h, v->service, v->target);

		if (!rollout_is_final(v->record.state))
			rollout_control_set_capacity(h->rollout_control,
			    v->record.version,
			    n > 0 ? ROLLOUT_FULL_PERMILLE : 0);
	}
	rollout_control_tick(
	    h->rollout_control, hub_wall_clock_us(h), on_decision, h);
}

/// Adds a gateway's rollout stats, and acknowledges them by sending the same
/// message back.
void
hub_rollout_on_stats(struct hub *h, handle_t link, const struct wire_bytes *b)
{
	const struct wire_msg ack = { .kind = WIRE_ROLLOUT_STATS,
		.payload = *b };
	struct rollout_message *m;

	if (!hub_is_leader(h) || hubstate_n_rollouts(h->state) == 0)
		return;
	if (h->rollout_control == NULL)
		build_control(h);
	m = g_new(struct rollout_message, 1);
	if (rollout_report_decode(b->data, b->len, m) == STATUS_OK) {
		(void)rollout_control_report(h->rollout_control, &m->report);
		for (uint32_t i = 0; i < m->n_stopped; i++)
			rollout_control_entry_stopped(
			    h->rollout_control, m->stopped[i]);
		(void)transport_send(h->links, link, &ack);
	} else {
		logger_event(LOGGER_WARN, "evidence.unreadable",
		    "reason=\"%s\"", status_last());
	}
	g_free(m);
}

/// The state of a rollout as gateways need it.
static enum hubmsg_rollout_state
gateway_state_of(const struct hubstate_rollout *v)
{
	switch (v->record.state) {
	case ROLLOUT_PENDING:
	case ROLLOUT_PROGRESSING:
		return HUBMSG_ROLLOUT_ACTIVE;
	case ROLLOUT_MONITORING:
	case ROLLOUT_DONE:
		return HUBMSG_ROLLOUT_DONE;
	case ROLLOUT_ROLLED_BACK:
	case ROLLOUT_WITHDRAWN:
		return HUBMSG_ROLLOUT_ROLLED_BACK;
	}
	return HUBMSG_ROLLOUT_ROLLED_BACK;
}

/// Appends the state of all rollouts for gateways.
///
/// @param rollouts  struct hubmsg_rollout are appended
void
hub_rollout_fill(const struct hub *h, GArray *rollouts)
{
	for (size_t i = 0; i < hubstate_n_rollouts(h->state); i++) {
		const struct hubstate_rollout *v =
		    hubstate_rollout_at(h->state, i);
		struct hubmsg_rollout out = {
			.permille = v->record.state == ROLLOUT_PROGRESSING
			    ? v->record.share_permille
			    : 0,
			.state = gateway_state_of(v),
			.sequence = v->sequence,
		};

		(void)g_strlcpy(out.service, v->service, sizeof(out.service));
		(void)g_strlcpy(out.target, v->target, sizeof(out.target));
		(void)g_strlcpy(
		    out.baseline, v->baseline, sizeof(out.baseline));
		g_array_append_val(rollouts, out);
	}
}

/// Finds the version, other than the target, that most servers of a service
/// have; empty if there is none.
static void
find_baseline(const struct hub *h, const char *service, const char *target,
    char *out, size_t size)
{
	uint32_t most = 0;

	out[0] = '\0';
	for (guint i = 0; i < listdiff_servers(h->list)->len; i++) {
		const struct instance *s = &g_array_index(
		    listdiff_servers(h->list), struct instance, i);
		uint32_t n;

		if (strcmp(s->service, service) != 0 ||
		    strcmp(s->version, target) == 0)
			continue;
		n = count_servers(h, service, s->version);
		if (n > most) {
			most = n;
			(void)g_strlcpy(out, s->version, size);
		}
	}
}

/// Commits a new rollout of a service; its baseline is the version that most of
/// the service's servers have now.
///
/// @param duration_s  time until the rollout's deadline
/// @param done        called once with the outcome
void
hub_rollout_start(struct hub *h, const char *service, const char *target,
    double duration_s, replica_done_cb done, void *arg)
{
	const uint64_t now = hub_wall_clock_us(h);
	struct hubstate_command c = { .kind = HUBSTATE_ROLLOUT };

	(void)g_strlcpy(c.rollout.service, service, sizeof(c.rollout.service));
	(void)g_strlcpy(c.rollout.target, target, sizeof(c.rollout.target));
	find_baseline(
	    h, service, target, c.rollout.baseline, sizeof(c.rollout.baseline));
	c.rollout.record = (struct rollout_record){
		.pool = rollout_key(service),
		.version = rollout_version_key(service, target),
		.replaces = rollout_version_key(service, c.rollout.baseline),
		.added_us = now,
		.step_us = now,
		.deadline_us = now + (uint64_t)(duration_s * USEC_PER_SEC),
		.state = ROLLOUT_PENDING,
	};
	hub_rollout_reset(h);
	hub_propose(h, &c, done, arg);
}
