#include "hub/hub_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define HUB_MAX_QUEUE_BYTES (16UL << 20)
/// Gateways that are sent a changed state in one run of the timer.
#define HUB_PUSH_SLICE 8
/// The links with a peer that is sent messages of the replicated log, and sends
/// none, are closed after this time; a pause begins it anew. It doubles each
/// time: a peer whose disk is full is silent for as long as that lasts.
#define HUB_SILENT_US (2 * USEC_PER_SEC)
#define HUB_SILENT_MAX_US (32 * USEC_PER_SEC)
#define HUB_PAUSE_US (1 * USEC_PER_SEC)
/// The entry of a dead gateway is kept for this long, so that the usage that it
/// counted can still be finalized.
#define HUB_GATEWAY_RETENTION_US (60 * USEC_PER_SEC)

/// Finds a control process by its slot; the first call dials it.
///
/// @return owned by `h`; NULL for slot 0 and for this process itself
struct hub_peer *
hub_peer(struct hub *h, uint32_t slot)
{
	struct hub_peer *p;
	char host[INSTANCE_HOST_BYTES];

	if (slot == 0 || slot == h->slot)
		return NULL;
	p = g_hash_table_lookup(h->peers, GUINT_TO_POINTER(slot));
	if (p != NULL)
		return p;
	p = g_new0(struct hub_peer, 1);
	p->slot = slot;
	p->patience_us = HUB_SILENT_US;
	(void)g_hash_table_insert(h->peers, GUINT_TO_POINTER(slot), p);
	hosttable_get(h->hosts, slot, host);
	p->dialled = transport_dial(h->links, host, h->settings.peer_port);
	logger_event(LOGGER_INFO, "peer.known", "host=%s", host);
	return p;
}

/// Closes the links with a peer that has sent nothing for a while, though it
/// replies to each message of the replicated log. TCP can't tell: what lies
/// between may acknowledge what it drops. Both ends dial again.
static void
close_silent(struct hub *h, struct hub_peer *p)
{
	const handle_t dialled = p->dialled;
	const handle_t accepted = p->accepted;

	logger_event(LOGGER_WARN, "peer.silent", "slot=%" PRIu32 " ms=%" PRIu64,
	    p->slot, p->patience_us / USEC_PER_MSEC);
	p->unanswered_us = 0;
	p->patience_us = MIN(2 * p->patience_us, HUB_SILENT_MAX_US);
	// It isn't the ask that made the peer close the link.
	p->asked = false;
	transport_close(h->links, dialled);
	transport_close(h->links, accepted);
}

/// Sends a message of the replicated log; it is lost if the peer can't be
/// reached.
void
hub_peer_send_raft(struct hub *h, uint32_t slot, const struct wire_msg *msg)
{
	const uint64_t now_us = loop_now_us(h->loop);
	struct hub_peer *p = hub_peer(h, slot);

	if (p == NULL)
		return;
	if (!transport_send(h->links, p->dialled, msg) &&
	    (p->accepted == HANDLE_NONE ||
		!transport_send(h->links, p->accepted, msg)))
		return;
	if (p->unanswered_us == 0 || now_us - p->sent_us > HUB_PAUSE_US)
		p->unanswered_us = now_us;
	p->sent_us = now_us;
	if (now_us - p->unanswered_us >= p->patience_us)
		close_silent(h, p);
}

static void
on_raft(
    struct hub *h, const struct wire_hello *hello, const struct wire_raft *raft)
{
	struct hub_peer *p = hub_peer(h, hello->id);

	if (p != NULL) {
		p->unanswered_us = 0;
		p->patience_us = HUB_SILENT_US;
		hub_join_on_raft(h, p, &raft->bytes);
	}
	replica_receive(h->group, hello->id, raft->bytes.data, raft->bytes.len);
}

/// The entry of the gateway process that sent `hello`; the first call adds it.
static struct hub_gateway *
find_or_add_gateway(struct hub *h, const struct wire_hello *hello)
{
	struct hub_gateway *g = g_hash_table_lookup(h->gateways, hello->node);

	if (g != NULL && g->incarnation == hello->incarnation)
		return g;
	// The usage that the previous incarnation counted stays, under another
	// name, until it is finalized.
	if (g != NULL) {
		char *old =
		    g_strdup_printf("%s@%" PRIu64, g->name, g->incarnation);

		(void)g_hash_table_steal(h->gateways, g->name);
		(void)g_strlcpy(g->name, old, sizeof(g->name));
		g->last_report_us = MIN(g->last_report_us,
		    loop_now_us(h->loop) - HUB_GATEWAY_LOST_US);
		(void)g_hash_table_replace(h->gateways, g->name, g);
		g_free(old);
	}
	g = g_new0(struct hub_gateway, 1);
	(void)g_strlcpy(g->name, hello->node, sizeof(g->name));
	(void)g_strlcpy(
	    g->data_centre, hello->data_centre, sizeof(g->data_centre));
	g->incarnation = hello->incarnation;
	g->relay_address = hello->id;
	g->usage = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_usage));
	g->quotas = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_quota));
	(void)g_hash_table_insert(h->gateways, g->name, g);
	logger_event(LOGGER_INFO, "gateway.known", "gateway=%s zone=%s",
	    g->name, g->data_centre);
	return g;
}

/// Fills in the leader, the members and the addresses that are recorded.
void
hub_fill_members(const struct hub *h, struct hubmsg_state *s)
{
	const GArray *hosts = hubstate_hosts(h->state);
	struct replica_status st;

	replica_status(h->group, &st);
	s->leader = st.leader & RAFT_SLOT_MASK;
	g_array_append_vals(s->hosts, hosts->data, hosts->len);
	for (uint32_t i = 0; i < st.members.n_voters; i++) {
		const uint32_t slot = st.members.voters[i] & RAFT_SLOT_MASK;

		g_array_append_val(s->members, slot);
	}
	for (uint32_t i = 0; i < st.members.n_learners; i++) {
		const uint32_t slot = st.members.learners[i] & RAFT_SLOT_MASK;

		g_array_append_val(s->members, slot);
	}
}

/// Fills in the configuration if a gateway has an older one, unless the last
/// one that was sent is still on its way. What this process has applied is
/// committed, so it may be used whoever leads. Subscribers have it from the
/// feed.
static void
fill_config(const struct hub *h, struct hub_gateway *g, struct hubmsg_state *s)
{
	const bool in_flight =
	    g->sent_link == g->link && g->sent_version > g->version;

	s->version = hubstate_version(h->state);
	if (g->version >= s->version || in_flight ||
	    g->list_revision == HUBMSG_SUBSCRIBED)
		return;
	s->manifest = hubstate_manifest(h->state, &s->manifest_len);
	g->sent_link = g->link;
	g->sent_version = s->version;
}

/// Sends a gateway the state in force. A process that isn't the leader sends
/// only the leader's slot, the members and its configuration, which may be
/// older than the one in force.
static void
send_state(struct hub *h, struct hub_gateway *g)
{
	struct wire_msg msg = { .kind = WIRE_CONTROL_STATUS };
	struct hubmsg_state s;
	uint8_t *bytes;

	g->push_due = false;
	hubmsg_state_init(&s);
	s.echo_us = g->echo_us;
	s.is_leader = hub_is_leader(h);
	if (s.is_leader)
		hub_crashes_send_blocked(h, g);
	hub_fill_members(h, &s);
	fill_config(h, g, &s);
	if (s.is_leader) {
		s.evacuations = *hubstate_evacuations(h->state);
		s.time_us = hub_wall_clock_us(h);
		s.n_gateways = hub_fleet_live(h);
		hub_servers_fill(h, g->list_revision, &s);
		hub_quota_fill(h, g, s.quotas);
		hub_rollout_fill(h, s.rollouts);
		hub_peers_fill(h, g, &s);
	}
	hubmsg_state_encode(&s, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	(void)transport_send(h->links, g->link, &msg);
	free(bytes);
	hubmsg_state_clear(&s);
}

/// The state has changed: it is sent to all live gateways, and to one that
/// reports meanwhile in the reply.
void
hub_push_begin(struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_gateway *g = value;

		g->push_due = hub_gateway_is_alive(h, g);
	}
	timerq_arm_in(h->push_slice, 0);
}

/// Sends the state to some of the gateways that wait for it, and goes on with
/// the others when the loop has run other events.
void
hub_push_slice(void *arg, uint64_t now_us)
{
	struct hub *h = arg;
	GHashTableIter it;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_gateway *g = value;

		if (!g->push_due)
			continue;
		if (n++ == HUB_PUSH_SLICE) {
			timerq_arm(h->push_slice, now_us + HUB_SLICE_PAUSE_US);
			return;
		}
		send_state(h, g);
	}
}

static void
swap_arrays(GArray **a, GArray **b)
{
	GArray *tmp = *a;

	*a = *b;
	*b = tmp;
}

static void
on_report(struct hub *h, handle_t link, const struct wire_hello *hello,
    const struct wire_bytes *bytes)
{
	struct hub_gateway *g;
	struct hubmsg_report r;

	hubmsg_report_init(&r);
	if (hubmsg_report_decode(bytes->data, bytes->len, &r) != STATUS_OK) {
		logger_event(LOGGER_WARN, "gateway.unreadable", "gateway=%s",
		    hello->node);
		hubmsg_report_clear(&r);
		return;
	}
	g = find_or_add_gateway(h, hello);
	g->link = link;
	g->last_report_us = loop_now_us(h->loop);
	g->echo_us = r.sent_us;
	g->version = r.version;
	g->list_revision = r.list_revision;
	g->stopping = r.stopping;
	g->evac_revision = r.evac_revision;
	g->clock_offset_us = (int64_t)r.time_us - (int64_t)g->last_report_us;
	hub_quota_on_report(h, g, r.quotas);
	swap_arrays(&g->usage, &r.usage);
	swap_arrays(&g->quotas, &r.quotas);
	hub_scale_on_loads(h, r.loads);
	hubmsg_report_clear(&r);
	send_state(h, g);
}

/// A link to a gateway or to another control process is up.
static void
on_link_up(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct hub *h = arg;
	struct hub_peer *p;

	logger_event(LOGGER_INFO, "link.up", "peer=%s", hello->node);
	if (hello->role != WIRE_ROLE_CONTROL)
		return;
	if (!hub_hosts_on_hello(h, hello)) {
		hub_slot_refuse(h, link, hello->id);
		return;
	}
	p = hub_peer(h, hello->id);
	if (p == NULL)
		return;
	(void)g_strlcpy(
	    p->data_centre, hello->data_centre, sizeof(p->data_centre));
	if (link != p->dialled)
		p->accepted = link;
	if (p->incarnation == hello->incarnation)
		return;
	p->incarnation = hello->incarnation;
	p->asked = false;
	p->closes = 0;
}

static void
on_parts_answer(struct hub *h, const struct wire_hello *hello,
    const struct wire_bytes *bytes)
{
	struct hub_gateway *g = g_hash_table_lookup(h->gateways, hello->node);

	if (g != NULL && g->incarnation == hello->incarnation)
		hub_crashes_on_answer(h, g, bytes);
}

static void
on_limits(struct hub *h, const struct wire_hello *hello,
    const struct wire_bytes *bytes)
{
	struct hub_gateway *g = g_hash_table_lookup(h->gateways, hello->node);

	if (g != NULL && g->incarnation == hello->incarnation)
		hub_limits_on_message(h, g, bytes);
}

/// Another control process tells the members, maybe as it refuses this one.
static void
on_state(struct hub *h, const struct wire_hello *hello,
    const struct wire_bytes *bytes)
{
	struct hubmsg_state s;

	hubmsg_state_init(&s);
	if (hubmsg_state_decode(bytes->data, bytes->len, &s) == STATUS_OK) {
		hub_slot_on_state(h, hello, &s);
		hub_join_on_state(h, &s);
	}
	hubmsg_state_clear(&s);
}

static void
on_message(void *arg, handle_t link, const struct wire_hello *hello,
    const struct wire_msg *msg)
{
	struct hub *h = arg;

	if (hub_slot_is_refused(h, link) && msg->kind != WIRE_CONTROL_STATUS)
		return;
	switch (msg->kind) {
	case WIRE_CONTROL_STATUS:
		if (hello->role == WIRE_ROLE_CONTROL)
			on_state(h, hello, &msg->payload);
		break;
	case WIRE_RAFT:
		if (hello->role == WIRE_ROLE_CONTROL && h->group != NULL)
			on_raft(h, hello, &msg->raft);
		break;
	case WIRE_GATEWAY_REPORT:
		if (hello->role == WIRE_ROLE_ENTRY && h->group != NULL)
			on_report(h, link, hello, &msg->payload);
		break;
	case WIRE_QUOTA_ASK:
		if (hello->role == WIRE_ROLE_ENTRY && h->group != NULL)
			hub_grants_on_ask(h, link, &msg->payload);
		break;
	case WIRE_ROLLOUT_STATS:
		if (hello->role == WIRE_ROLE_ENTRY && h->group != NULL)
			hub_rollout_on_stats(h, link, &msg->payload);
		break;
	case WIRE_CRASH:
		if (hello->role == WIRE_ROLE_ENTRY && h->group != NULL)
			hub_crashes_on_report(h, &msg->payload);
		break;
	case WIRE_PARTS_ANSWER:
		if (hello->role == WIRE_ROLE_ENTRY && h->group != NULL)
			on_parts_answer(h, hello, &msg->payload);
		break;
	case WIRE_LIMITS:
		if (hello->role == WIRE_ROLE_ENTRY && h->group != NULL)
			on_limits(h, hello, &msg->payload);
		break;
	case WIRE_FEED_ASK:
		hub_feed_on_ask(h, link, hello, &msg->payload);
		break;
	case WIRE_FEED:
		if (hello->role == WIRE_ROLE_CONTROL)
			hub_feed_on_update(h, hello, &msg->payload);
		break;
	default:
		logger_event(LOGGER_WARN, "link.unexpected", "peer=%s kind=%d",
		    hello->node, (int)msg->kind);
		break;
	}
}

/// A link to a gateway or to another control process is down.
static void
on_link_down(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct hub *h = arg;
	struct hub_peer *p;

	logger_event(LOGGER_INFO, "link.down", "peer=%s", hello->node);
	hub_feed_on_link_down(h, link, hello);
	hub_grants_on_link_down(h, link);
	if (hello->role != WIRE_ROLE_CONTROL)
		return;
	p = hub_peer(h, hello->id);
	if (p != NULL && p->accepted == link)
		p->accepted = HANDLE_NONE;
}

static void
dial_seeds(struct hub *h)
{
	const struct bootstrap_settings *s = &h->settings;

	hosttable_assume_seeds(h->hosts, s->seeds, s->n_seeds);
	for (uint32_t i = 0; i < s->n_seeds; i++)
		(void)hub_peer(h, hosttable_slot(h->hosts, s->seeds[i].host));
}

static struct wire_hello
own_hello(const struct hub *h)
{
	const struct bootstrap_settings *s = &h->settings;
	struct wire_hello hello = {
		.role = WIRE_ROLE_CONTROL,
		.id = h->slot,
		.incarnation = loop_incarnation(h->loop),
		.deployment = "fleet",
	};

	(void)g_strlcpy(hello.node, s->node, WIRE_NAME_BYTES);
	(void)g_strlcpy(hello.data_centre, s->data_centre, WIRE_NAME_BYTES);
	if (!hosttable_is_implied(h->hosts, h->slot, s->host))
		(void)g_strlcpy(hello.host, s->host, WIRE_NAME_BYTES);
	return hello;
}

/// Tells all peers the slot that this process has now.
void
hub_links_set_self(struct hub *h)
{
	const struct wire_hello hello = own_hello(h);

	transport_set_self(h->links, &hello);
}

/// Opens the links to the other processes of the deployment: dials the seeds
/// and listens for peers and gateways.
///
/// @return STATUS_OK, or the error of transport_listen()
enum status
hub_links_start(struct hub *h)
{
	const struct bootstrap_settings *s = &h->settings;
	struct transport_config config = {
		.base = loop_event_base(h->loop),
		.timers = loop_timers(h->loop),
		.self = own_hello(h),
		.max_queue_bytes = HUB_MAX_QUEUE_BYTES,
		.callbacks = {
			.up = on_link_up,
			.message = on_message,
			.down = on_link_down,
			.arg = h,
		},
	};

	h->links = transport_new(&config);
	dial_seeds(h);
	if (s->peer_listen.port != 0)
		return transport_listen(
		    h->links, s->peer_listen.host, s->peer_listen.port);
	return transport_listen(h->links, s->host, s->peer_port);
}

/// Dials new seeds, also those whose assumed slots turned out to be others',
/// and removes gateways that have sent no report for HUB_GATEWAY_RETENTION_US.
void
hub_links_tick(struct hub *h, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	dial_seeds(h);
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hub_gateway *g = value;

		if (now_us < g->last_report_us + HUB_GATEWAY_RETENTION_US)
			continue;
		logger_event(
		    LOGGER_INFO, "gateway.forgotten", "gateway=%s", g->name);
		g_hash_table_iter_remove(&it);
	}
}
