#include "gateway/gw_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/ps.h"
#include "platform/pf_manifest.h"

#define GW_REPORT_US (400 * USEC_PER_MSEC)
#define GW_REPORT_LEAST_US (100 * USEC_PER_MSEC)
/// A control process that answers nothing for so long is dialled anew.
#define GW_SILENT_US (1500 * USEC_PER_MSEC)
#define GW_MAX_QUEUE_BYTES (1UL << 20)
/// Without the leader's word for so long, all of control is asked.
#define GW_LEADER_SILENT_US (700 * USEC_PER_MSEC)
/// An answer that took longer says too little of control's time.
#define GW_CLOCK_RTT_US (60 * USEC_PER_MSEC)
/// Keys are held for valid for this share of the time in which a revoked one
/// must be dead everywhere.
#define GW_LEASE_SHARE 0.8
/// Windows of usage are told for so long beyond the time in which they are due.
#define GW_USAGE_SPARE 2
/// A difference to control's time that is taken for a wrong clock.
#define GW_CLOCK_US (50 * (int64_t)USEC_PER_MSEC)

static struct gw_hub *
hub_of(struct gw *g, uint32_t slot)
{
	struct gw_hub *h = g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(slot));
	char host[SV_HOST_BYTES];

	if (h != NULL || slot == 0)
		return h;
	h = g_new0(struct gw_hub, 1);
	h->slot = slot;
	ps_host(g->settings.host, slot, host, sizeof(host));
	h->link = transport_dial(g->links, host, g->settings.peer_port);
	(void)g_hash_table_insert(g->hubs, GUINT_TO_POINTER(slot), h);
	logger_event(LOGGER_INFO, "control.known", "host=%s", host);
	return h;
}

static void
dial_seeds(struct gw *g)
{
	for (uint32_t i = 0; i < g->settings.n_seeds; i++)
		(void)hub_of(g, ps_slot(g->settings.seeds[i].host));
}

static char *
usage_key(uint64_t window, const char *customer)
{
	return g_strdup_printf("%" PRIu64 " %s", window, customer);
}

/// Counts a request that a backend server began to run.
void
gw_count_usage(struct gw_request *q)
{
	struct gw *g = q->gw;
	const uint64_t window = gw_true_us(g) /
	    (uint64_t)(g->settings.bounds.usage_window_s * USEC_PER_SEC);
	struct lm_usage *u;
	char *key;

	if (q->counted || q->customer == NULL)
		return;
	q->counted = true;
	key = usage_key(window, q->customer->name);
	u = g_hash_table_lookup(g->usage, key);
	if (u == NULL) {
		u = g_new0(struct lm_usage, 1);
		u->window = window;
		(void)g_strlcpy(
		    u->customer, q->customer->name, sizeof(u->customer));
		(void)g_hash_table_insert(g->usage, g_strdup(key), u);
	}
	u->n++;
	g_free(key);
}

static void
report_usage(struct gw *g, struct lm_report *r)
{
	const struct bootstrap_bounds *b = &g->settings.bounds;
	const uint64_t window =
	    gw_true_us(g) / (uint64_t)(b->usage_window_s * USEC_PER_SEC);
	const uint64_t told =
	    GW_USAGE_SPARE + (uint64_t)(b->usage_late_s / b->usage_window_s);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->usage);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct lm_usage *u = value;

		if (u->window + told < window)
			g_hash_table_iter_remove(&it);
		else
			g_array_append_val(r->usage, *u);
	}
}

static void
report_quotas(struct gw *g, struct lm_report *r, uint64_t now_us)
{
	for (size_t i = 0; g->config != NULL && i < fc_n_customers(g->config);
	     i++) {
		const struct fc_customer *c = fc_customer(g->config, i);
		const struct qt_limit limit = fc_quota(c, &g->settings.bounds);
		const struct qt_view *v =
		    g_hash_table_lookup(g->quotas, c->name);
		struct lm_quota q = { .spent = 0 };

		if (v == NULL)
			continue;
		(void)g_strlcpy(q.customer, c->name, sizeof(q.customer));
		q.spent = v->spent;
		q.counted = v->counted;
		q.level = (int64_t)qt_level(v, &limit, now_us, g->n_gateways);
		g_array_append_val(r->quotas, q);
	}
}

static void
report_loads(struct gw *g, struct lm_report *r)
{
	GHashTableIter it;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&it, g->loads);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		struct gw_load *l = value;
		struct lm_load out = {
			.running = l->running,
			.refused = l->refused,
			.arrived = l->arrived,
			.tokens = l->tokens,
			.tokens_per_s = (uint64_t)(l->tokens_per_ms * 1000),
			.work_us = l->work_us,
		};

		(void)g_strlcpy(out.service, name, sizeof(out.service));
		l->refused = 0;
		l->arrived = 0;
		l->tokens = 0;
		l->work_us = 0;
		g_array_append_val(r->loads, out);
	}
}

/// Reports to the leader, or to all while it isn't known or silent.
static void
send_report(struct gw *g, uint64_t now_us)
{
	struct wire_msg msg = { .kind = WIRE_GATEWAY_REPORT };
	struct gw_hub *leader =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->leader));
	struct lm_report r;
	GHashTableIter it;
	gpointer value;
	uint8_t *bytes;
	bool all;

	all = leader == NULL || !transport_is_up(g->links, leader->link) ||
	    now_us > g->led_us + GW_LEADER_SILENT_US;
	lm_report_init(&r);
	r.sent_us = now_us;
	r.version = g->config != NULL ? fc_version(g->config) : 0;
	r.time_us = loop_wall_us();
	r.stopping = g->stopping;
	r.list = g->list;
	report_usage(g, &r);
	report_quotas(g, &r, now_us);
	report_loads(g, &r);
	lm_report_encode(&r, &bytes, &msg.evidence.len);
	msg.evidence.at = bytes;
	g_hash_table_iter_init(&it, g->hubs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_hub *h = value;

		if (!all && h != leader)
			continue;
		if (transport_send(g->links, h->link, &msg) && h->asked_us == 0)
			h->asked_us = now_us;
	}
	free(bytes);
	lm_report_clear(&r);
}

static void
take_config(struct gw *g, const struct lm_state *s)
{
	struct fc *config;

	if (s->manifest_len == 0 ||
	    (g->config != NULL && s->version <= fc_version(g->config)))
		return;
	if (pf_manifest_read((const char *)s->manifest, s->manifest_len,
		&config) != STATUS_OK) {
		logger_event(LOGGER_ERROR, "config.unreadable",
		    "version=%" PRIu64 " reason=\"%s\"", s->version,
		    status_last());
		return;
	}
	fc_unref(g->config);
	g->config = config;
	logger_event(LOGGER_INFO, "config.in_force",
	    "version=%" PRIu64 " routes=%zu services=%zu customers=%zu",
	    s->version, fc_n_routes(config), fc_n_services(config),
	    fc_n_customers(config));
}

static void
take_quotas(struct gw *g, const struct lm_state *s, uint64_t now_us)
{
	for (guint i = 0; i < s->quotas->len; i++) {
		const struct lm_quota *q =
		    &g_array_index(s->quotas, struct lm_quota, i);
		struct qt_view *v = g_hash_table_lookup(g->quotas, q->customer);

		if (v == NULL) {
			v = g_new0(struct qt_view, 1);
			(void)g_hash_table_insert(
			    g->quotas, g_strdup(q->customer), v);
		}
		qt_told(v, now_us, (double)q->level, q->counted);
	}
}

static void
take_time(struct gw *g, const struct lm_state *s, uint64_t now_us)
{
	const uint64_t half = (now_us - s->echo_us) / 2;
	const int64_t clock = (int64_t)(s->time_us + half) - (int64_t)now_us;
	const int64_t off = clock - g->clock_us;

	if (s->time_us == 0 || now_us - s->echo_us > GW_CLOCK_RTT_US)
		return;
	if (off < GW_CLOCK_US && off > -GW_CLOCK_US)
		return;
	logger_event(LOGGER_WARN, "clock.corrected", "by_ms=%" PRId64,
	    off / (int64_t)USEC_PER_MSEC);
	g->clock_us = clock;
}

static void
take_state(struct gw *g, uint32_t from, const struct lm_state *s)
{
	const uint64_t now = loop_now_us(g->loop);
	const uint64_t revoke =
	    (uint64_t)(g->settings.bounds.revoke_ms * USEC_PER_MSEC);
	struct gw_hub *h = hub_of(g, from);
	uint64_t until;

	for (guint i = 0; i < s->members->len; i++)
		(void)hub_of(g, g_array_index(s->members, uint32_t, i));
	if (h != NULL) {
		h->heard_us = now;
		h->asked_us = 0;
	}
	if (!s->leads) {
		// Who led until now is no longer sure of it.
		if (from == g->leader)
			g->leader = 0;
		return;
	}
	if (s->echo_us > now)
		return;
	g->led_us = now;
	if (g->leader != from)
		logger_event(LOGGER_INFO, "control.leader", "slot=%u", from);
	g->leader = from;
	g->n_gateways = s->n_gateways;
	balancer_set_entries(g->router, s->n_gateways);
	take_config(g, s);
	// An older configuration than control's is no ground for a lease.
	if (g->config == NULL || fc_version(g->config) < s->version)
		return;
	take_quotas(g, s, now);
	gw_list_told(g, s);
	gw_moves_take(g, s->moves);
	take_time(g, s, now);
	until = s->echo_us + (uint64_t)(GW_LEASE_SHARE * (double)revoke);
	if (g->lease_until_us < now)
		logger_event(LOGGER_INFO, "lease.gained",
		    "version=%" PRIu64 " until_ms=%" PRIu64, s->version,
		    (until - now) / USEC_PER_MSEC);
	g->lease_until_us = MAX(g->lease_until_us, until);
	gw_hold_step(g, now);
}

static void
on_message(void *arg, handle_t link, const struct wire_hello *hello,
    const struct wire_msg *msg)
{
	struct gw *g = arg;
	struct lm_state s;

	(void)link;
	if (msg->kind == WIRE_ROLLOUT_STATS)
		gw_moves_confirmed(g, &msg->evidence);
	if (msg->kind != WIRE_CONTROL_STATUS)
		return;
	lm_state_init(&s);
	if (lm_state_decode(msg->evidence.at, msg->evidence.len, &s) ==
	    STATUS_OK)
		take_state(g, hello->id, &s);
	else
		logger_event(
		    LOGGER_WARN, "control.unreadable", "peer=%s", hello->node);
	lm_state_clear(&s);
}

static void
on_up(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct gw *g = arg;

	(void)link;
	logger_event(LOGGER_INFO, "link.up", "peer=%s", hello->node);
	g->next_report_us = 0;
}

static void
on_down(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct gw *g = arg;
	struct gw_hub *h =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(hello->id));

	(void)link;
	logger_event(LOGGER_INFO, "link.down", "peer=%s", hello->node);
	if (h != NULL)
		h->asked_us = 0;
}

/// Starts to look for control.
enum status
gw_link_start(struct gw *g)
{
	struct transport_config config = {
		.base = loop_event_base(g->loop),
		.timers = loop_timers(g->loop),
		.self = {
			.role = WIRE_ROLE_ENTRY,
			.incarnation = loop_incarnation(g->loop),
			.deployment = "fleet",
		},
		.max_queue_bytes = GW_MAX_QUEUE_BYTES,
		.callbacks = {
			.up = on_up,
			.message = on_message,
			.down = on_down,
			.arg = g,
		},
	};

	(void)g_strlcpy(config.self.node, g->settings.node, WIRE_NAME_BYTES);
	(void)g_strlcpy(
	    config.self.data_centre, g->settings.data_centre, WIRE_NAME_BYTES);
	g->links = transport_new(&config);
	dial_seeds(g);
	return STATUS_OK;
}

static void
close_silent(struct gw *g, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->hubs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gw_hub *h = value;

		if (h->asked_us == 0 || now_us < h->asked_us + GW_SILENT_US)
			continue;
		h->asked_us = 0;
		transport_close(g->links, h->link);
	}
}

/// Reports earlier than usual.
void
gw_report_soon(struct gw *g)
{
	g->next_report_us =
	    MIN(g->next_report_us, g->reported_us + GW_REPORT_LEAST_US);
}

/// Reports to control, and leaves what is silent.
void
gw_link_tick(struct gw *g, uint64_t now_us)
{
	close_silent(g, now_us);
	if (now_us < g->next_report_us)
		return;
	g->next_report_us = now_us + GW_REPORT_US;
	g->reported_us = now_us;
	dial_seeds(g);
	send_report(g, now_us);
}
