#include "entry/entry_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ENTRY_MAX_QUEUE_BYTES (64UL * 1024 * 1024)
#define ENTRY_ASK_TIMEOUT_US (4 * USEC_PER_SEC)
#define ENTRY_ASK_AGAIN_US (50 * USEC_PER_MSEC)
#define ENTRY_ACKS_PER_LEASE 3

/// A command or question under way. While it was certainly not appended it
/// is tried again at whoever leads then, until its time is over.
struct entry_pending {
	uint64_t tag;
	enum wire_kind kind;
	uint32_t group;
	uint8_t *bytes;
	size_t len;
	handle_t link;
	uint64_t until_us;
	uint64_t again_us; ///< 0: sent, waits for the answer
	uint32_t next;     ///< control process to try when none is known
	entry_cb done;
	void *arg;
};

static handle_t
link_of(const struct entry *e, uint32_t id)
{
	for (uint32_t i = 0; i < e->settings.n_control; i++) {
		if (e->settings.control[i].id == id)
			return e->control[i];
	}
	return HANDLE_NONE;
}

static void
end_asked(struct entry *e, struct entry_pending *a, enum status status,
    const uint8_t *bytes, size_t len)
{
	const entry_cb done = a->done;
	void *const arg = a->arg;

	(void)g_hash_table_steal(e->asked, &a->tag);
	done(arg, status, bytes, len);
	g_free(a->bytes);
	g_free(a);
}

/// Sends a question to the leader of its group as far as known, else to one
/// control process after another.
static void
send_asked(struct entry *e, struct entry_pending *a)
{
	const struct wire_msg msg = {
		.kind = a->kind,
		.propose = {
			.tag = a->tag,
			.group = a->group,
			.bytes = { a->bytes, a->len },
		},
	};

	a->link = link_of(e, e->group_leader[a->group]);
	if (a->link == HANDLE_NONE || !transport_is_up(e->links, a->link))
		a->link = e->control[a->next++ % e->settings.n_control];
	a->again_us = 0;
	if (!transport_send(e->links, a->link, &msg))
		a->again_us = loop_now_us(e->loop) + ENTRY_ASK_AGAIN_US;
}

static void
ask(struct entry *e, enum wire_kind kind, uint32_t group, const uint8_t *bytes,
    size_t len, entry_cb done, void *arg)
{
	struct entry_pending *a = g_new0(struct entry_pending, 1);

	g_assert(group < ENTRY_GROUPS);
	a->tag = ++e->next_tag;
	a->kind = kind;
	a->group = group;
	a->bytes = g_memdup2(bytes, len);
	a->len = len;
	a->until_us = loop_now_us(e->loop) + ENTRY_ASK_TIMEOUT_US;
	a->done = done;
	a->arg = arg;
	(void)g_hash_table_insert(e->asked, &a->tag, a);
	send_asked(e, a);
}

/// Appends a command to a group at its leader.
void
entry_propose(struct entry *e, uint32_t group, const uint8_t *bytes, size_t len,
    entry_cb done, void *arg)
{
	ask(e, WIRE_PROPOSE, group, bytes, len, done, arg);
}

/// Asks a group's leader; the answer holds all that was committed before.
void
entry_query(
    struct entry *e, uint32_t group, const char *text, entry_cb done, void *arg)
{
	ask(e, WIRE_QUERY, group, (const uint8_t *)text, strlen(text), done,
	    arg);
}

/// Encodes and appends a journal command to the group that its id names.
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
take_outcome(struct entry *e, const struct wire_outcome *o)
{
	struct entry_pending *a = g_hash_table_lookup(e->asked, &o->tag);

	if (a == NULL)
		return;
	if (o->status == STATUS_UNAVAILABLE) {
		e->group_leader[a->group] = o->leader;
		a->again_us = loop_now_us(e->loop) + ENTRY_ASK_AGAIN_US;
		return;
	}
	end_asked(e, a, o->status, o->bytes.at, o->bytes.len);
}

/// A question that went over a link that broke: a command may have been
/// appended; what only reads is asked again.
static void
asked_drop_link(struct entry *e, handle_t link)
{
	GList *all = g_hash_table_get_values(e->asked);

	for (const GList *l = all; l != NULL; l = l->next) {
		struct entry_pending *a = l->data;

		if (a->link != link || a->again_us != 0)
			continue;
		if (a->kind == WIRE_QUERY)
			a->again_us = loop_now_us(e->loop) + ENTRY_ASK_AGAIN_US;
		else
			end_asked(e, a, STATUS_TIMEOUT, NULL, 0);
	}
	g_list_free(all);
}

static void
asked_tick(struct entry *e, uint64_t now_us)
{
	GList *all = g_hash_table_get_values(e->asked);

	for (const GList *l = all; l != NULL; l = l->next) {
		struct entry_pending *a = l->data;

		if (now_us >= a->until_us)
			end_asked(e, a,
			    a->again_us != 0 ? STATUS_UNAVAILABLE
					     : STATUS_TIMEOUT,
			    NULL, 0);
		else if (a->again_us != 0 && now_us >= a->again_us)
			send_asked(e, a);
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

static void
take_lease(struct entry *e, handle_t link, const struct wire_lease *l)
{
	if (l->term < e->leader_term || l->leader == 0)
		return;
	if (l->term > e->leader_term || l->leader != e->leader) {
		logger_event(LOGGER_INFO, "control.leader",
		    "leader=%u term=%" PRIu64, l->leader, l->term);
		e->leader = l->leader;
		e->leader_term = l->term;
		e->group_leader[0] = l->leader;
		e->subscribed = false;
		rollout_entry_resend_all(e->versions);
	}
	if (!e->subscribed && transport_is_up(e->links, link_of(e, l->leader)))
		subscribe(e, link_of(e, l->leader));
	if (l->valid_ms == 0 || link != link_of(e, l->leader))
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
	(void)transport_send(e->links, link_of(e, e->leader), &msg);
}

/// The state never goes below what was followed before: an older snapshot
/// is not taken.
static void
take_snapshot(struct entry *e, const struct wire_snapshot *s)
{
	struct catalog *config;

	if (s->sequence <= catalog_sequence(e->config))
		return;
	if (catalog_restore(s->bytes.at, s->bytes.len, &config) != STATUS_OK) {
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
take_config(struct entry *e, const struct wire_config *c)
{
	const uint64_t before = catalog_sequence(e->config);

	if (catalog_apply_changes(e->config, c->commands.at, c->commands.len) !=
	    STATUS_OK) {
		e->subscribed = false;
		return;
	}
	if (catalog_sequence(e->config) == before)
		return;
	entry_config_apply(e);
	send_ack(e);
}

static void
on_up(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct entry *e = arg;

	(void)hello;
	if (link == link_of(e, e->leader))
		e->subscribed = false;
}

static void
on_message(void *arg, handle_t link, const struct wire_hello *hello,
    const struct wire_msg *msg)
{
	struct entry *e = arg;

	(void)hello;
	switch (msg->kind) {
	case WIRE_LEASE:
		take_lease(e, link, &msg->lease);
		break;
	case WIRE_CONFIG:
		take_config(e, &msg->config);
		break;
	case WIRE_SNAPSHOT:
		take_snapshot(e, &msg->snapshot);
		break;
	case WIRE_OUTCOME:
		take_outcome(e, &msg->outcome);
		break;
	case WIRE_ROLLOUT_STATS:
		entry_stats_acked(e, &msg->evidence);
		break;
	case WIRE_EXECUTE:
		req_journal_resume(e, &msg->run);
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
	case WIRE_KIND_COUNT:
		break;
	}
}

static void
on_down(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct entry *e = arg;

	(void)hello;
	asked_drop_link(e, link);
	if (link == link_of(e, e->leader))
		e->subscribed = false;
}

/// Opens the links to all control processes.
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
			.up = on_up,
			.message = on_message,
			.down = on_down,
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

/// Confirms the configuration, which also asks for the lease, and looks
/// after questions under way.
void
entry_control_tick(struct entry *e, uint64_t now_us)
{
	const uint64_t lease_us = e->settings.config_lease_ms * USEC_PER_MSEC;

	asked_tick(e, now_us);
	if (now_us < e->next_ack_us)
		return;
	e->next_ack_us = now_us + lease_us / ENTRY_ACKS_PER_LEASE;
	if (!e->subscribed && e->leader != 0)
		subscribe(e, link_of(e, e->leader));
	if (e->subscribed)
		send_ack(e);
}
