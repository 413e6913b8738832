#include "entry/entry_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ENTRY_MAX_QUEUE_BYTES (64UL * 1024 * 1024)
#define ENTRY_PENDING_TIMEOUT_US (4 * USEC_PER_SEC)
#define ENTRY_PENDING_RETRY_US (50 * USEC_PER_MSEC)
#define ENTRY_ACKS_PER_LEASE 3

/// A command or query in flight. As long as it was certainly not appended, it
/// is retried, at the process that leads by then, until its deadline.
struct entry_pending {
	uint64_t tag;
	enum wire_kind kind;
	uint32_t group;
	uint8_t *bytes;
	size_t len;
	handle_t link;
	uint64_t deadline_us;
	uint64_t retry_at_us;  ///< 0: sent, waits for the response
	uint32_t next_control; ///< control process to try without a leader hint
	entry_cb done;
	void *arg;
};

static handle_t
control_link(const struct entry *e, uint32_t id)
{
	for (uint32_t i = 0; i < e->settings.n_control; i++) {
		if (e->settings.control[i].id == id)
			return e->control[i];
	}
	return HANDLE_NONE;
}

static void
finish_pending(struct entry *e, struct entry_pending *p, enum status status,
    const uint8_t *bytes, size_t len)
{
	const entry_cb done = p->done;
	void *const arg = p->arg;

	(void)g_hash_table_steal(e->pending, &p->tag);
	done(arg, status, bytes, len);
	g_free(p->bytes);
	g_free(p);
}

/// Sends a command or query to the supposed leader of its group. Without a
/// connected one, each attempt goes to the next control process in turn.
static void
send_pending(struct entry *e, struct entry_pending *p)
{
	const struct wire_msg msg = {
		.kind = p->kind,
		.propose = {
			.tag = p->tag,
			.group = p->group,
			.bytes = { p->bytes, p->len },
		},
	};

	p->link = control_link(e, e->leader_hint[p->group]);
	if (p->link == HANDLE_NONE || !transport_is_up(e->links, p->link))
		p->link = e->control[p->next_control++ % e->settings.n_control];
	p->retry_at_us = 0;
	if (!transport_send(e->links, p->link, &msg))
		p->retry_at_us = loop_now_us(e->loop) + ENTRY_PENDING_RETRY_US;
}

static void
start_pending(struct entry *e, enum wire_kind kind, uint32_t group,
    const uint8_t *bytes, size_t len, entry_cb done, void *arg)
{
	struct entry_pending *p = g_new0(struct entry_pending, 1);

	g_assert(group < ENTRY_GROUPS);
	p->tag = ++e->next_tag;
	p->kind = kind;
	p->group = group;
	p->bytes = g_memdup2(bytes, len);
	p->len = len;
	p->deadline_us = loop_now_us(e->loop) + ENTRY_PENDING_TIMEOUT_US;
	p->done = done;
	p->arg = arg;
	(void)g_hash_table_insert(e->pending, &p->tag, p);
	send_pending(e, p);
}

/// Appends a command to a group at its leader.
///
/// @param bytes  copied
void
entry_propose(struct entry *e, uint32_t group, const uint8_t *bytes, size_t len,
    entry_cb done, void *arg)
{
	start_pending(e, WIRE_PROPOSE, group, bytes, len, done, arg);
}

/// Queries a group's leader. The response reflects everything that was
/// committed before.
///
/// @param text  a path for the configuration, a request id for a journal
void
entry_query(
    struct entry *e, uint32_t group, const char *text, entry_cb done, void *arg)
{
	start_pending(e, WIRE_QUERY, group, (const uint8_t *)text, strlen(text),
	    done, arg);
}

/// Encodes a journal command and appends it to the group of its request id.
void
entry_propose_journal(struct entry *e, const struct journal_command *command,
    entry_cb done, void *arg)
{
	uint8_t *bytes;
	size_t len;

	journal_encode(command, &bytes, &len);
	entry_propose(
	    e, journal_group_of_id(command->id), bytes, len, done, arg);
	free(bytes);
}

static void
handle_outcome(struct entry *e, const struct wire_outcome *o)
{
	struct entry_pending *p = g_hash_table_lookup(e->pending, &o->tag);

	if (p == NULL)
		return;
	if (o->status == STATUS_UNAVAILABLE) {
		e->leader_hint[p->group] = o->leader;
		p->retry_at_us = loop_now_us(e->loop) + ENTRY_PENDING_RETRY_US;
		return;
	}
	finish_pending(e, p, o->status, o->bytes.data, o->bytes.len);
}

/// Handles what was sent over a link that is down: a command may have been
/// appended, so its outcome is unknown; a query only reads and is retried.
static void
pending_drop_link(struct entry *e, handle_t link)
{
	GList *all = g_hash_table_get_values(e->pending);

	for (const GList *l = all; l != NULL; l = l->next) {
		struct entry_pending *p = l->data;

		if (p->link != link || p->retry_at_us != 0)
			continue;
		if (p->kind == WIRE_QUERY)
			p->retry_at_us =
			    loop_now_us(e->loop) + ENTRY_PENDING_RETRY_US;
		else
			finish_pending(e, p, STATUS_TIMEOUT, NULL, 0);
	}
	g_list_free(all);
}

/// Completes what is past its deadline and retries what is due.
static void
pending_tick(struct entry *e, uint64_t now_us)
{
	GList *all = g_hash_table_get_values(e->pending);

	for (const GList *l = all; l != NULL; l = l->next) {
		struct entry_pending *p = l->data;

		if (now_us >= p->deadline_us)
			finish_pending(e, p,
			    p->retry_at_us != 0 ? STATUS_UNAVAILABLE
						: STATUS_TIMEOUT,
			    NULL, 0);
		else if (p->retry_at_us != 0 && now_us >= p->retry_at_us)
			send_pending(e, p);
	}
	g_list_free(all);
}

static void
subscribe(struct entry *e, handle_t link)
{
	const struct wire_msg msg = {
		.kind = WIRE_SUBSCRIBE,
		.subscribe = { .sequence = catalog_sequence(e->config) },
	};

	if (transport_send(e->links, link, &msg)) {
		e->subscribed = true;
		e->next_ack_us = 0;
	}
}

/// Handles a message about the leader: follows a new leader, and extends this
/// entry's lease if its configuration is as new as the leader's was.
static void
handle_lease(struct entry *e, handle_t link, const struct wire_lease *l)
{
	if (l->term < e->leader_term || l->leader == 0)
		return;
	if (l->term > e->leader_term || l->leader != e->leader) {
		logger_event(LOGGER_INFO, "control.leader",
		    "leader=%u term=%" PRIu64, l->leader, l->term);
		e->leader = l->leader;
		e->leader_term = l->term;
		e->leader_hint[0] = l->leader;
		e->subscribed = false;
		rollout_entry_resend_all(e->versions);
	}
	if (!e->subscribed &&
	    transport_is_up(e->links, control_link(e, l->leader)))
		subscribe(e, control_link(e, l->leader));
	if (l->valid_ms == 0 || link != control_link(e, l->leader))
		return;
	if (catalog_sequence(e->config) < l->sequence)
		return;
	e->caught_up = true;
	e->lease_until_us =
	    MAX(e->lease_until_us, l->echo_us + l->valid_ms * USEC_PER_MSEC);
}

static void
send_ack(struct entry *e)
{
	const char *why;
	struct wire_msg msg = {
		.kind = WIRE_ACK,
		.ack = {
			.sequence = catalog_sequence(e->config),
			.sent_us = loop_now_us(e->loop),
		},
	};

	msg.ack.in_service = entry_in_service(e, &why);
	(void)transport_send(e->links, control_link(e, e->leader), &msg);
}

/// Applies a snapshot of the configuration. An older one is ignored, so that
/// the configuration never goes back.
static void
handle_snapshot(struct entry *e, const struct wire_snapshot *s)
{
	struct catalog *config;

	if (s->sequence <= catalog_sequence(e->config))
		return;
	if (catalog_restore(s->bytes.data, s->bytes.len, &config) !=
	    STATUS_OK) {
		logger_event(LOGGER_ERROR, "config.refused", "reason=\"%s\"",
		    status_last());
		return;
	}
	catalog_free(e->config);
	e->config = config;
	entry_config_apply(e);
	send_ack(e);
}

static void
handle_config(struct entry *e, const struct wire_config *c)
{
	const uint64_t before = catalog_sequence(e->config);

	if (catalog_apply_changes(
		e->config, c->commands.data, c->commands.len) != STATUS_OK) {
		e->subscribed = false;
		return;
	}
	if (catalog_sequence(e->config) == before)
		return;
	entry_config_apply(e);
	send_ack(e);
}

static void
on_link_up(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct entry *e = arg;

	(void)hello;
	if (link == control_link(e, e->leader))
		e->subscribed = false;
}

static void
on_link_message(void *arg, handle_t link, const struct wire_hello *hello,
    const struct wire_msg *msg)
{
	struct entry *e = arg;

	(void)hello;
	switch (msg->kind) {
	case WIRE_LEASE:
		handle_lease(e, link, &msg->lease);
		break;
	case WIRE_CONFIG:
		handle_config(e, &msg->config);
		break;
	case WIRE_SNAPSHOT:
		handle_snapshot(e, &msg->snapshot);
		break;
	case WIRE_OUTCOME:
		handle_outcome(e, &msg->outcome);
		break;
	case WIRE_ROLLOUT_STATS:
		entry_stats_acked(e, &msg->payload);
		break;
	case WIRE_EXECUTE:
		req_journal_resume(e, &msg->execute);
		break;
	case WIRE_HELLO:
	case WIRE_RAFT:
	case WIRE_SUBSCRIBE:
	case WIRE_ACK:
	case WIRE_PROPOSE:
	case WIRE_QUERY:
	case WIRE_SLO_COUNTERS:
	case WIRE_GATEWAY_REPORT:
	case WIRE_CONTROL_STATUS:
	case WIRE_QUOTA_ASK:
	case WIRE_QUOTA_ANSWER:
	case WIRE_CRASH:
	case WIRE_PARTS:
	case WIRE_PARTS_ANSWER:
	case WIRE_LIMITS:
	case WIRE_FEED_ASK:
	case WIRE_FEED:
	case WIRE_KIND_COUNT:
		break;
	}
}

static void
on_link_down(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct entry *e = arg;

	(void)hello;
	pending_drop_link(e, link);
	if (link == control_link(e, e->leader))
		e->subscribed = false;
}

/// Opens the links to all control processes.
///
/// @return STATUS_OK, or STATUS_INVALID for an address that can't be used
enum status
entry_control_start(struct entry *e)
{
	const struct settings *s = &e->settings;
	struct transport_config config = {
		.base = loop_event_base(e->loop),
		.timers = loop_timers(e->loop),
		.self = {
			.role = WIRE_ROLE_ENTRY,
			.incarnation = loop_incarnation(e->loop),
		},
		.tls = e->keys != NULL ? tlsctx_peer(e->keys) : NULL,
		.max_queue_bytes = ENTRY_MAX_QUEUE_BYTES,
		.callbacks = {
			.up = on_link_up,
			.message = on_link_message,
			.down = on_link_down,
			.arg = e,
		},
	};

	(void)g_strlcpy(config.self.deployment, s->deployment, WIRE_NAME_BYTES);
	(void)g_strlcpy(config.self.node, s->node, WIRE_NAME_BYTES);
	(void)g_strlcpy(
	    config.self.data_centre, s->data_centre, WIRE_NAME_BYTES);
	e->links = transport_new(&config);
	for (uint32_t i = 0; i < s->n_control; i++) {
		e->control[i] = transport_dial(
		    e->links, s->control[i].peer.host, s->control[i].peer.port);
		if (e->control[i] == HANDLE_NONE)
			return STATUS_INVALID;
	}
	return STATUS_OK;
}

/// Acknowledges the configuration at intervals, which also renews the lease,
/// and retries or completes commands and queries in flight.
void
entry_control_tick(struct entry *e, uint64_t now_us)
{
	const uint64_t lease_us = e->settings.config_lease_ms * USEC_PER_MSEC;

	pending_tick(e, now_us);
	if (now_us < e->next_ack_us)
		return;
	e->next_ack_us = now_us + lease_us / ENTRY_ACKS_PER_LEASE;
	if (!e->subscribed && e->leader != 0)
		subscribe(e, control_link(e, e->leader));
	if (e->subscribed)
		send_ack(e);
}
