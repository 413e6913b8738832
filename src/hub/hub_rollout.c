#include "hub/hub_internal.h"

#include <inttypes.h>
#include <string.h>

#include "rollout/rollout_codec.h"

/// Part of the share that a bad version may get that a new one is given: what
/// is on its way when it is stopped counts, too.
#define HUB_SHARE_PART 0.8
/// A move ends so long before its deadline, at the latest a quarter of its
/// time.
#define HUB_END_US (900 * USEC_PER_MSEC)
#define PERMILLE 1000

/// What operators read of a move.
const char *
hub_rollout_state_name(const struct hubstate_rollout *v)
{
	switch (v->move.state) {
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

/// Forgets what an earlier time as the leader had learned.
void
hub_rollout_reset(struct hub *h)
{
	rollout_control_free(h->mover);
	h->mover = NULL;
	h->moving = false;
}

static void
build(struct hub *h)
{
	const struct rollout_control_settings settings = {
		.canary_permille = (uint32_t)(h->settings.bounds.canary_share *
		    HUB_SHARE_PART * PERMILLE),
		.watch_us = 1,
		.full_before_us = HUB_END_US,
	};

	h->mover = rollout_control_new(&settings);
	for (size_t i = 0; i < hubstate_n_rollouts(h->state); i++) {
		const struct hubstate_rollout *v =
		    hubstate_rollout_at(h->state, i);

		rollout_control_set_pool(
		    h->mover, v->move.pool, v->move.replaces);
		if (!rollout_is_final(v->move.state))
			rollout_control_add(h->mover, &v->move);
	}
}

static const struct hubstate_rollout *
find(const struct hub *h, uint64_t version)
{
	for (size_t i = 0; i < hubstate_n_rollouts(h->state); i++) {
		const struct hubstate_rollout *v =
		    hubstate_rollout_at(h->state, i);

		if (v->move.version == version)
			return v;
	}
	return NULL;
}

static uint32_t
servers_of(const struct hub *h, const char *service, const char *version)
{
	uint32_t n = 0;

	for (guint i = 0; i < h->list->len; i++) {
		const struct instance *s =
		    &g_array_index(h->list, struct instance, i);

		n += !s->draining && strcmp(s->service, service) == 0 &&
		    strcmp(s->version, version) == 0;
	}
	return n;
}

static void
on_decided(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct hub *h = arg;

	(void)result;
	(void)len;
	h->moving = false;
	// What wasn't committed is decided again from the state.
	if (status != STATUS_OK)
		hub_rollout_reset(h);
}

static void
on_effect(void *arg, const struct rollout_effect *effect)
{
	struct hub *h = arg;
	const struct hubstate_rollout *v = find(h, effect->move.version);
	struct hubstate_command c = { .kind = HUBSTATE_ROLLOUT };

	if (v == NULL)
		return;
	c.move = *v;
	c.move.move = effect->move;
	h->moving = true;
	logger_event(LOGGER_INFO, "rollout.decided",
	    "service=%s target=%s state=%s share=%u reason=%s", v->service,
	    v->target, rollout_state_name(effect->move.state),
	    effect->move.share_permille,
	    rollout_reason_name(effect->move.reason));
	hub_propose(h, &c, on_decided, h);
}

/// Decides on the moves under way.
void
hub_rollout_tick(struct hub *h, uint64_t now_us)
{
	(void)now_us;
	if (hubstate_n_rollouts(h->state) == 0 || h->moving)
		return;
	if (h->mover == NULL)
		build(h);
	for (size_t i = 0; i < hubstate_n_rollouts(h->state); i++) {
		const struct hubstate_rollout *v =
		    hubstate_rollout_at(h->state, i);
		const uint32_t n = servers_of(h, v->service, v->target);

		if (!rollout_is_final(v->move.state))
			rollout_control_set_capacity(h->mover, v->move.version,
			    n > 0 ? ROLLOUT_FULL_PERMILLE : 0);
	}
	rollout_control_tick(h->mover, hub_wall_clock_us(h), on_effect, h);
}

/// Takes a gateway's evidence and confirms it.
void
hub_rollout_on_stats(struct hub *h, handle_t link, const struct wire_bytes *b)
{
	const struct wire_msg taken = { .kind = WIRE_ROLLOUT_STATS,
		.evidence = *b };
	struct rollout_message *m;

	if (!hub_is_leader(h) || hubstate_n_rollouts(h->state) == 0)
		return;
	if (h->mover == NULL)
		build(h);
	m = g_new(struct rollout_message, 1);
	if (rollout_report_decode(b->at, b->len, m) == STATUS_OK) {
		(void)rollout_control_report(h->mover, &m->report);
		for (uint32_t i = 0; i < m->n_stopped; i++)
			rollout_control_entry_stopped(h->mover, m->stopped[i]);
		(void)transport_send(h->links, link, &taken);
	} else {
		logger_event(LOGGER_WARN, "evidence.unreadable",
		    "reason=\"%s\"", status_last());
	}
	g_free(m);
}

static enum hubmsg_rollout_state
state_of(const struct hubstate_rollout *v)
{
	switch (v->move.state) {
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

/// What gateways are told of the moves.
void
hub_rollout_fill(const struct hub *h, GArray *moves)
{
	for (size_t i = 0; i < hubstate_n_rollouts(h->state); i++) {
		const struct hubstate_rollout *v =
		    hubstate_rollout_at(h->state, i);
		struct hubmsg_rollout out = {
			.permille = v->move.state == ROLLOUT_PROGRESSING
			    ? v->move.share_permille
			    : 0,
			.state = state_of(v),
			.sequence = v->sequence,
		};

		(void)g_strlcpy(out.service, v->service, sizeof(out.service));
		(void)g_strlcpy(out.target, v->target, sizeof(out.target));
		(void)g_strlcpy(out.base, v->base, sizeof(out.base));
		g_array_append_val(moves, out);
	}
}

/// The version, other than the target, that most servers of a service have.
static void
find_base(const struct hub *h, const char *service, const char *target,
    char *out, size_t size)
{
	uint32_t most = 0;

	out[0] = '\0';
	for (guint i = 0; i < h->list->len; i++) {
		const struct instance *s =
		    &g_array_index(h->list, struct instance, i);
		uint32_t n;

		if (strcmp(s->service, service) != 0 ||
		    strcmp(s->version, target) == 0)
			continue;
		n = servers_of(h, service, s->version);
		if (n > most) {
			most = n;
			(void)g_strlcpy(out, s->version, size);
		}
	}
}

/// Records an operator's order to move a service.
void
hub_rollout_start(struct hub *h, const char *service, const char *target,
    double duration_s, replica_done_cb done, void *arg)
{
	const uint64_t now = hub_wall_clock_us(h);
	struct hubstate_command c = { .kind = HUBSTATE_ROLLOUT };

	(void)g_strlcpy(c.move.service, service, sizeof(c.move.service));
	(void)g_strlcpy(c.move.target, target, sizeof(c.move.target));
	find_base(h, service, target, c.move.base, sizeof(c.move.base));
	c.move.move = (struct rollout_record){
		.pool = rollout_key(service),
		.version = rollout_version_key(service, target),
		.replaces = rollout_version_key(service, c.move.base),
		.added_us = now,
		.step_us = now,
		.deadline_us = now + (uint64_t)(duration_s * USEC_PER_SEC),
		.state = ROLLOUT_PENDING,
	};
	hub_rollout_reset(h);
	hub_propose(h, &c, done, arg);
}
