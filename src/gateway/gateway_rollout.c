#include "gateway/gateway_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "rollout/rollout_codec.h"

#define GATEWAY_STATS_US (250 * USEC_PER_MSEC)
/// Load of a server, in requests, that counts as 1000 permille in the stats.
#define GATEWAY_FULL_LOAD 16.0

/// Gives the target its share of the requests, and the baseline the rest.
static void
set_split(struct gateway *g, const struct hubmsg_rollout *v)
{
	const uint64_t baseline = rollout_version_key(v->service, v->baseline);
	const uint64_t target = rollout_version_key(v->service, v->target);
	struct rollout_split split = {
		.pool = rollout_key(v->service),
		.sequence = v->sequence,
		.baseline = baseline,
	};

	split.shares[split.n++] = (struct rollout_share){
		.version = target,
		.permille = MIN(v->permille, ROLLOUT_FULL_PERMILLE),
	};
	split.shares[split.n++] = (struct rollout_share){
		.version = baseline,
		.permille = ROLLOUT_FULL_PERMILLE - split.shares[0].permille,
	};
	rollout_entry_set_split(g->rollout_entry, &split);
}

/// Applies the rollouts of a state from control.
///
/// @param rollouts  struct hubmsg_rollout
void
gateway_rollout_update(struct gateway *g, const GArray *rollouts)
{
	for (guint i = 0; i < rollouts->len; i++) {
		const struct hubmsg_rollout *v =
		    &g_array_index(rollouts, struct hubmsg_rollout, i);
		struct hubmsg_rollout *kept =
		    g_hash_table_lookup(g->rollouts, v->service);

		if (kept != NULL && kept->sequence >= v->sequence)
			continue;
		if (kept == NULL) {
			kept = g_new0(struct hubmsg_rollout, 1);
			(void)g_hash_table_insert(
			    g->rollouts, g_strdup(v->service), kept);
		}
		*kept = *v;
		logger_event(LOGGER_INFO, "version.share",
		    "service=%s target=%s state=%d permille=%u", v->service,
		    v->target, (int)v->state, v->permille);
		set_split(g, v);
	}
}

/// Restricts a request to a version, or excludes one, as its service's rollout
/// says.
///
/// @param query  receives the version, or the excluded one
void
gateway_rollout_choose(
    struct gateway_request *q, struct balancer_request *query)
{
	struct gateway *g = q->gateway;
	const struct hubmsg_rollout *v =
	    g_hash_table_lookup(g->rollouts, q->service->name);
	const uint64_t hash = XXH64(q->call.id, strlen(q->call.id), 0);

	if (v == NULL)
		return;
	switch (v->state) {
	case HUBMSG_ROLLOUT_ACTIVE:
		if (v->permille > 0 &&
		    rollout_entry_pick(g->rollout_entry,
			rollout_key(v->service),
			hash) == rollout_version_key(v->service, v->target))
			query->version = v->target;
		else
			query->not_version = v->target;
		break;
	case HUBMSG_ROLLOUT_DONE:
		query->version = v->target;
		break;
	case HUBMSG_ROLLOUT_ROLLED_BACK:
		query->not_version = v->target;
		break;
	case HUBMSG_N_ROLLOUT_STATES:
		break;
	}
}

/// Lifts the restriction to a version, for when no server with it is available.
/// During a rollout the request then goes to any version but the target.
void
gateway_rollout_fall_back(
    const struct gateway_request *q, struct balancer_request *query)
{
	const struct hubmsg_rollout *v =
	    g_hash_table_lookup(q->gateway->rollouts, q->service->name);

	query->version = NULL;
	if (v != NULL && v->state == HUBMSG_ROLLOUT_ACTIVE)
		query->not_version = v->target;
}

/// Adds a response, or its failure, to the rollout stats of its server's
/// version. May stop the version at this gateway, whose requests for it then go
/// to the baseline.
void
gateway_rollout_on_response(struct gateway_request *q, bool failed)
{
	struct gateway *g = q->gateway;
	const struct hubmsg_rollout *v =
	    g_hash_table_lookup(g->rollouts, q->service->name);
	const struct gateway_server *s =
	    g_hash_table_lookup(g->servers, q->server);
	const uint64_t now = loop_now_us(g->loop);
	const double pace = gateway_speed_of_response(q);
	struct rollout_response response = { .failed = failed };
	struct balancer_server_stats stats;

	if (v == NULL || v->state != HUBMSG_ROLLOUT_ACTIVE || s == NULL)
		return;
	response.pool = rollout_key(v->service);
	response.version = rollout_version_key(v->service, s->instance.version);
	response.route = rollout_key(q->route->name);
	if (!failed)
		response.first_token_us =
		    MAX((uint64_t)((double)((q->first_event_us != 0
						    ? q->first_event_us
						    : now) -
				       q->attempt_sent_us) /
			    pace),
			1);
	if (balancer_server_stats(g->balancer, now, s->balancer_handle, &stats))
		response.load_permille = (uint32_t)MIN(
		    stats.load / GATEWAY_FULL_LOAD * ROLLOUT_FULL_PERMILLE,
		    ROLLOUT_FULL_PERMILLE);
	if (rollout_entry_record(g->rollout_entry, &response)) {
		logger_event(LOGGER_WARN, "version.stopped_here",
		    "service=%s target=%s", v->service, v->target);
		g->next_stats_us = 0;
	}
}

/// Sends the rollout stats to the leader when they are due. A report is
/// repeated until it is acknowledged.
void
gateway_rollout_tick(struct gateway *g, uint64_t now_us)
{
	const struct gateway_hub *leader =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->leader));
	struct wire_msg msg = { .kind = WIRE_ROLLOUT_STATS };
	const struct rollout_report *report;
	uint64_t stopped[ROLLOUT_MAX_VERSIONS];
	uint8_t *bytes;
	size_t n;

	if (now_us < g->next_stats_us || leader == NULL)
		return;
	g->next_stats_us = now_us + GATEWAY_STATS_US;
	if (g->stats_leader != g->leader)
		rollout_entry_resend_all(g->rollout_entry);
	g->stats_leader = g->leader;
	report = rollout_entry_report(g->rollout_entry);
	if (report == NULL)
		return;
	n = rollout_entry_stopped(
	    g->rollout_entry, stopped, ROLLOUT_MAX_VERSIONS);
	rollout_report_encode(report, stopped, n, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	(void)transport_send(g->links, leader->link, &msg);
	free(bytes);
}

/// The leader has acknowledged a report of rollout stats.
void
gateway_rollout_on_ack(struct gateway *g, const struct wire_bytes *b)
{
	struct rollout_message *m = g_new(struct rollout_message, 1);

	if (rollout_report_decode(b->data, b->len, m) == STATUS_OK)
		rollout_entry_acked(g->rollout_entry, m->report.number);
	g_free(m);
}
