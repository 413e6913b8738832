#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/slotaddr.h"
#include "platform/api_manifest.h"

#define GATEWAY_REPORT_US (400 * USEC_PER_MSEC)
#define GATEWAY_REPORT_MIN_US (100 * USEC_PER_MSEC)
/// The link to a control process that has not answered a report for this long
/// is closed, and is dialled again.
#define GATEWAY_UNANSWERED_US (1500 * USEC_PER_MSEC)
#define GATEWAY_MAX_QUEUE_BYTES (1UL << 20)
/// Without a state from the leader for this long, reports go to all control
/// processes.
#define GATEWAY_LEADER_SILENT_US (700 * USEC_PER_MSEC)
/// A round trip that took longer doesn't give control's time with the needed
/// precision.
#define GATEWAY_CLOCK_RTT_US (60 * USEC_PER_MSEC)
/// Length of the lease as a share of the time in which a revoked API key must
/// stop working at all gateways, and an evacuated data centre's servers get
/// nothing more.
#define GATEWAY_LEASE_FACTOR 0.8
/// Windows that usage is reported for, beyond those that may still be reported
/// to the cloud.
#define GATEWAY_USAGE_EXTRA_WINDOWS 2
/// A list that is older is replaced by the one of a state.
#define GATEWAY_STATE_LIST_US USEC_PER_SEC
/// The clock is corrected when it differs from control's time by this.
#define GATEWAY_CLOCK_TOLERANCE_US (50 * (int64_t)USEC_PER_MSEC)

/// A control process by its slot; the first call dials it. NULL for slot 0.
static struct gateway_hub *
find_or_dial_hub(struct gateway *g, uint32_t slot)
{
	struct gateway_hub *h =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(slot));
	char host[INSTANCE_HOST_BYTES];

	if (h != NULL || slot == 0)
		return h;
	h = g_new0(struct gateway_hub, 1);
	h->slot = slot;
	hosttable_get(g->hosts, slot, host);
	h->link = transport_dial(g->links, host, g->settings.peer_port);
	(void)g_hash_table_insert(g->hubs, GUINT_TO_POINTER(slot), h);
	logger_event(LOGGER_INFO, "control.known", "host=%s", host);
	return h;
}

static void
dial_seeds(struct gateway *g)
{
	const struct bootstrap_settings *s = &g->settings;

	hosttable_assume_seeds(g->hosts, s->seeds, s->n_seeds);
	for (uint32_t i = 0; i < s->n_seeds; i++)
		(void)find_or_dial_hub(
		    g, hosttable_slot(g->hosts, s->seeds[i].host));
}

/// Takes the addresses of control processes that their slots don't imply. One
/// that was dialled at another address is dialled again.
static void
set_hosts(struct gateway *g, const GArray *hosts)
{
	for (guint i = 0; i < hosts->len; i++) {
		const struct hosttable_entry *e =
		    &g_array_index(hosts, struct hosttable_entry, i);
		struct gateway_hub *h =
		    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(e->slot));
		handle_t old;

		if (!hosttable_set(g->hosts, e->slot, e->host) || h == NULL)
			continue;
		old = h->link;
		h->link =
		    transport_dial(g->links, e->host, g->settings.peer_port);
		transport_remove(g->links, old);
	}
}

static char *
usage_key(uint64_t window, const char *customer)
{
	return g_strdup_printf("%" PRIu64 " %s", window, customer);
}

/// Counts a request, once, in its customer's usage: a backend server has begun
/// to run it.
void
gateway_count_usage(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const uint64_t window = gateway_wall_clock_us(g) /
	    (uint64_t)(g->settings.bounds.usage_window_s * USEC_PER_SEC);
	struct hubmsg_usage *u;
	char *key;

	if (q->usage_counted || q->customer == NULL)
		return;
	q->usage_counted = true;
	key = usage_key(window, q->customer->name);
	u = g_hash_table_lookup(g->usage, key);
	if (u == NULL) {
		u = g_new0(struct hubmsg_usage, 1);
		u->window = window;
		(void)g_strlcpy(
		    u->customer, q->customer->name, sizeof(u->customer));
		(void)g_hash_table_insert(g->usage, g_strdup(key), u);
	}
	u->n++;
	g_free(key);
}

/// Appends the usage of recent windows, and drops that of older ones.
static void
report_usage(struct gateway *g, struct hubmsg_report *r)
{
	const struct bootstrap_bounds *b = &g->settings.bounds;
	const uint64_t window = gateway_wall_clock_us(g) /
	    (uint64_t)(b->usage_window_s * USEC_PER_SEC);
	const uint64_t n_windows = GATEWAY_USAGE_EXTRA_WINDOWS +
	    (uint64_t)(b->usage_late_s / b->usage_window_s);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->usage);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hubmsg_usage *u = value;

		if (u->window + n_windows < window)
			g_hash_table_iter_remove(&it);
		else
			g_array_append_val(r->usage, *u);
	}
}

static void
report_quotas(struct gateway *g, struct hubmsg_report *r)
{
	for (size_t i = 0;
	     g->config != NULL && i < fleetcfg_n_customers(g->config); i++) {
		const struct fleetcfg_customer *c =
		    fleetcfg_customer(g->config, i);
		const struct quota_view *v =
		    g_hash_table_lookup(g->quotas, c->name);
		struct hubmsg_quota q = { .spent = 0 };

		if (v == NULL)
			continue;
		(void)g_strlcpy(q.customer, c->name, sizeof(q.customer));
		q.spent = v->spent;
		q.acked_spent = v->acked_spent;
		q.level = (int64_t)v->level;
		g_array_append_val(r->quotas, q);
	}
}

/// Appends the services' loads, and starts their counts again.
static void
report_loads(struct gateway *g, struct hubmsg_report *r)
{
	GHashTableIter it;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&it, g->loads);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		struct gateway_service_load *l = value;
		struct hubmsg_load out = {
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

/// Reports to the leader, or to all control processes while the leader is
/// unknown or silent.
static void
send_report(struct gateway *g, uint64_t now_us)
{
	struct wire_msg msg = { .kind = WIRE_GATEWAY_REPORT };
	struct gateway_hub *leader =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->leader));
	struct hubmsg_report r;
	GHashTableIter it;
	gpointer value;
	uint8_t *bytes;
	bool to_all;

	to_all = leader == NULL || !transport_is_up(g->links, leader->link) ||
	    now_us > g->leader_contact_us + GATEWAY_LEADER_SILENT_US;
	hubmsg_report_init(&r);
	r.sent_us = now_us;
	r.version = gateway_config_version(g);
	r.time_us = loop_wall_us();
	r.stopping = g->stopping;
	r.list_revision = HUBMSG_SUBSCRIBED;
	r.evac_revision = gateway_evac_revision(g);
	report_usage(g, &r);
	report_quotas(g, &r);
	report_loads(g, &r);
	hubmsg_report_encode(&r, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	g_hash_table_iter_init(&it, g->hubs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gateway_hub *h = value;

		if (!to_all && h != leader)
			continue;
		if (transport_send(g->links, h->link, &msg) &&
		    h->unanswered_since_us == 0)
			h->unanswered_since_us = now_us;
	}
	free(bytes);
	hubmsg_report_clear(&r);
}

/// Version of the configuration in force; 0: none.
uint64_t
gateway_config_version(const struct gateway *g)
{
	return g->config == NULL ? 0 : fleetcfg_version(g->config);
}

/// Puts control's configuration in force if it is newer.
///
/// @param manifest  empty: control sent none
void
gateway_apply_config(
    struct gateway *g, uint64_t version, const uint8_t *manifest, size_t len)
{
	struct fleetcfg *config;

	if (len == 0 || version <= gateway_config_version(g))
		return;
	if (api_manifest_read((const char *)manifest, len, &config) !=
	    STATUS_OK) {
		logger_event(LOGGER_ERROR, "config.unreadable",
		    "version=%" PRIu64 " reason=\"%s\"", version,
		    status_last());
		return;
	}
	fleetcfg_unref(g->config);
	g->config = config;
	gateway_accept_set_limits(g);
	gateway_accept_check_keys(g);
	gateway_cold_on_config(g);
	logger_event(LOGGER_INFO, "config.in_force",
	    "version=%" PRIu64 " routes=%zu services=%zu customers=%zu keys=%s",
	    version, fleetcfg_n_routes(config), fleetcfg_n_services(config),
	    fleetcfg_n_customers(config),
	    fleetcfg_has_keys(config) ? "required" : "unused");
}

static void
apply_quotas(struct gateway *g, const struct hubmsg_state *s, uint64_t now_us)
{
	for (guint i = 0; i < s->quotas->len; i++) {
		const struct hubmsg_quota *q =
		    &g_array_index(s->quotas, struct hubmsg_quota, i);
		struct quota_view *v =
		    g_hash_table_lookup(g->quotas, q->customer);

		if (v == NULL) {
			v = g_new0(struct quota_view, 1);
			(void)g_hash_table_insert(
			    g->quotas, g_strdup(q->customer), v);
		}
		quota_view_update(v, now_us, (double)q->level, (double)q->spent,
		    q->acked_spent);
	}
}

/// Sets the clock to control's time if it is wrong. The state is taken to have
/// been on its way for half of the round trip.
static void
correct_clock(struct gateway *g, const struct hubmsg_state *s, uint64_t now_us)
{
	const uint64_t one_way_us = (now_us - s->echo_us) / 2;
	const int64_t offset_us =
	    (int64_t)(s->time_us + one_way_us) - (int64_t)now_us;
	const int64_t error_us = offset_us - g->clock_offset_us;

	if (s->time_us == 0 || now_us - s->echo_us > GATEWAY_CLOCK_RTT_US)
		return;
	if (error_us < GATEWAY_CLOCK_TOLERANCE_US &&
	    error_us > -GATEWAY_CLOCK_TOLERANCE_US)
		return;
	logger_event(LOGGER_WARN, "clock.corrected", "by_ms=%" PRId64,
	    error_us / (int64_t)USEC_PER_MSEC);
	g->clock_offset_us = offset_us;
	gateway_limits_apply_position(g);
}

/// A process that leads again has dropped the limits that it was told before.
static void
forget_sent_limits(struct gateway *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->hubs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gateway_hub *h = value;

		h->sent_limits = h->sent_limits && !h->acks_limits;
	}
}

/// Applies the list in a state, which control of an older version sends. Such a
/// process answers no asks, so the list in force gets old.
static void
apply_list(struct gateway *g, const struct hubmsg_state *s, uint64_t now_us)
{
	const struct feedmsg_update u = {
		.echo_us = s->echo_us,
		.revision = s->list_revision,
		.since = s->changes_since,
		.changes = s->changes,
		.len = s->changes_len,
	};

	if (now_us > g->list_fresh_us + GATEWAY_STATE_LIST_US)
		gateway_servers_update(g, 0, &u);
}

/// Length of the lease. What is in force without contact with control may be
/// that old.
static uint64_t
lease_us(const struct gateway *g)
{
	const struct bootstrap_bounds *b = &g->settings.bounds;

	return (uint64_t)(GATEWAY_LEASE_FACTOR *
	    MIN(b->revoke_ms, b->evacuate_ms) * USEC_PER_MSEC);
}

/// Applies a state from the control process with slot `sender_slot`. Only the
/// leader's renews the lease.
static void
apply_state(
    struct gateway *g, uint32_t sender_slot, const struct hubmsg_state *s)
{
	const uint64_t now = loop_now_us(g->loop);
	struct gateway_hub *h = find_or_dial_hub(g, sender_slot);
	uint64_t until_us;

	set_hosts(g, s->hosts);
	for (guint i = 0; i < s->members->len; i++)
		(void)find_or_dial_hub(
		    g, g_array_index(s->members, uint32_t, i));
	if (h != NULL) {
		h->last_contact_us = now;
		h->unanswered_since_us = 0;
	}
	if (!s->is_leader) {
		gateway_apply_config(
		    g, s->version, s->manifest, s->manifest_len);
		// The process that was the leader no longer is.
		if (sender_slot == g->leader)
			g->leader = 0;
		return;
	}
	if (s->echo_us > now)
		return;
	g->leader_contact_us = now;
	if (g->leader != sender_slot) {
		logger_event(
		    LOGGER_INFO, "control.leader", "slot=%u", sender_slot);
		g->leader = sender_slot;
		gateway_crashes_on_leader(g);
		gateway_quota_on_leader(g);
		forget_sent_limits(g);
	}
	if (h != NULL && !h->told_parts) {
		h->told_parts = true;
		gateway_parts_tell_revision(g, h->link);
	}
	if (h != NULL && !h->sent_limits) {
		h->sent_limits = true;
		gateway_limits_on_leader(g, h->link);
	}
	gateway_relay_update(g, s);
	if (!gateway_evac_update(g, s))
		return;
	g->n_gateways = s->n_gateways;
	balancer_set_entries(g->balancer, s->n_gateways);
	gateway_apply_config(g, s->version, s->manifest, s->manifest_len);
	feedsource_want(&g->feed, s->version, gateway_config_version(g), now);
	// The lease needs control's configuration: an older one may have
	// revoked API keys.
	if (gateway_config_version(g) < s->version)
		return;
	apply_quotas(g, s, now);
	apply_list(g, s, now);
	gateway_rollout_update(g, s->rollouts);
	correct_clock(g, s, now);
	until_us = s->echo_us + lease_us(g);
	if (g->lease_until_us < now)
		logger_event(LOGGER_INFO, "lease.gained",
		    "version=%" PRIu64 " until_ms=%" PRIu64, s->version,
		    (until_us - now) / USEC_PER_MSEC);
	g->lease_until_us = MAX(g->lease_until_us, until_us);
	gateway_waitq_step(g, now);
}

static void
on_message(void *arg, handle_t link, const struct wire_hello *hello,
    const struct wire_msg *msg)
{
	struct gateway *g = arg;
	struct hubmsg_state s;

	if (msg->kind == WIRE_PARTS)
		gateway_parts_on_state(g, link, &msg->payload);
	if (msg->kind == WIRE_ROLLOUT_STATS)
		gateway_rollout_on_ack(g, &msg->payload);
	if (msg->kind == WIRE_QUOTA_ANSWER)
		gateway_quota_on_answer(g, &msg->payload);
	if (msg->kind == WIRE_FEED)
		gateway_feed_on_update(g, hello, &msg->payload);
	if (msg->kind == WIRE_LIMITS)
		gateway_limits_on_message(g, hello->id, &msg->payload);
	if (msg->kind != WIRE_CONTROL_STATUS)
		return;
	hubmsg_state_init(&s);
	if (hubmsg_state_decode(msg->payload.data, msg->payload.len, &s) ==
	    STATUS_OK)
		apply_state(g, hello->id, &s);
	else
		logger_event(
		    LOGGER_WARN, "control.unreadable", "peer=%s", hello->node);
	hubmsg_state_clear(&s);
}

static void
on_link_up(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct gateway *g = arg;
	struct gateway_hub *h =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(hello->id));

	(void)link;
	logger_event(LOGGER_INFO, "link.up", "peer=%s", hello->node);
	if (h != NULL && h->incarnation != hello->incarnation) {
		h->incarnation = hello->incarnation;
		(void)g_strlcpy(
		    h->data_centre, hello->data_centre, sizeof(h->data_centre));
		h->feed_closes = 0;
		h->feed_avoid_until_us = 0;
		h->told_parts = false;
		h->sent_limits = false;
		h->acks_limits = false;
	}
	// Changes that were sent meanwhile are lost. An older control process,
	// which doesn't respond, closed the link when it was told of limits.
	if (h != NULL && h->acks_limits)
		h->sent_limits = false;
	g->next_report_us = 0;
}

static void
on_link_down(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct gateway *g = arg;
	struct gateway_hub *h =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(hello->id));

	(void)link;
	logger_event(LOGGER_INFO, "link.down", "peer=%s", hello->node);
	if (h == NULL)
		return;
	h->unanswered_since_us = 0;
	gateway_feed_on_link_down(g, h);
}

/// Dials the control processes that are seeds.
///
/// @return STATUS_OK
enum status
gateway_links_start(struct gateway *g)
{
	struct transport_config config = {
		.base = loop_event_base(g->loop),
		.timers = loop_timers(g->loop),
		.self = {
			.role = WIRE_ROLE_ENTRY,
			.incarnation = loop_incarnation(g->loop),
			.deployment = "fleet",
		},
		.max_queue_bytes = GATEWAY_MAX_QUEUE_BYTES,
		.callbacks = {
			.up = on_link_up,
			.message = on_message,
			.down = on_link_down,
			.arg = g,
		},
	};

	(void)g_strlcpy(config.self.node, g->settings.node, WIRE_NAME_BYTES);
	(void)g_strlcpy(
	    config.self.data_centre, g->settings.data_centre, WIRE_NAME_BYTES);
	if (g->relay != NULL)
		config.self.id = slotaddr_pack(g->settings.host);
	g->links = transport_new(&config);
	dial_seeds(g);
	return STATUS_OK;
}

static void
close_silent_links(struct gateway *g, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->hubs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gateway_hub *h = value;

		if (h->unanswered_since_us == 0 ||
		    now_us < h->unanswered_since_us + GATEWAY_UNANSWERED_US)
			continue;
		h->unanswered_since_us = 0;
		transport_close(g->links, h->link);
	}
}

/// Brings the next report forward to GATEWAY_REPORT_MIN_US after the last one.
void
gateway_schedule_report(struct gateway *g)
{
	g->next_report_us =
	    MIN(g->next_report_us, g->reported_us + GATEWAY_REPORT_MIN_US);
}

/// Sends the report that is due, and closes the links to silent control
/// processes.
void
gateway_links_tick(struct gateway *g, uint64_t now_us)
{
	close_silent_links(g, now_us);
	if (now_us < g->next_report_us)
		return;
	g->next_report_us = now_us + GATEWAY_REPORT_US;
	g->reported_us = now_us;
	dial_seeds(g);
	send_report(g, now_us);
}
