#include "control/control_internal.h"

#include <stdlib.h>
#include <string.h>

#define CONTROL_CHANGES_BYTES (256UL * 1024)

/// Tells an entry who leads; from the leader with a lease it also extends
/// the entry's right to take work, counted from when the entry asked.
static void
send_lease(struct control *c, const struct control_entry *e, uint64_t echo_us)
{
	const bool leads = control_is_leader(c, CONTROL_CONFIG_GROUP);
	struct replica_status status;
	struct wire_msg msg = { .kind = WIRE_LEASE };

	replica_status(c->groups[CONTROL_CONFIG_GROUP].replica, &status);
	msg.lease.leader = status.leader & RAFT_SLOT_MASK;
	msg.lease.term = status.term;
	msg.lease.sequence = catalog_sequence(c->config);
	msg.lease.echo_us = echo_us;
	if (leads && e->subscribed && echo_us != 0)
		msg.lease.valid_ms = c->settings.config_lease_ms;
	(void)transport_send(c->links, e->link, &msg);
}

/// Tells all entries who leads.
void
control_sync_leases(struct control *c)
{
	GHashTableIter it;
	gpointer value;

	if (c->entries == NULL)
		return;
	g_hash_table_iter_init(&it, c->entries);
	while (g_hash_table_iter_next(&it, NULL, &value))
		send_lease(c, value, 0);
}

/// An entry connected.
void
control_sync_hello(
    struct control *c, handle_t link, const struct wire_hello *hello)
{
	struct control_entry *e = g_new0(struct control_entry, 1);

	e->link = link;
	e->incarnation = hello->incarnation;
	(void)g_strlcpy(e->name, hello->node, sizeof(e->name));
	(void)g_strlcpy(
	    e->data_centre, hello->data_centre, sizeof(e->data_centre));
	(void)g_hash_table_insert(c->entries, &e->link, e);
	send_lease(c, e, 0);
}

/// An entry's link is down.
void
control_sync_disconnect(struct control *c, handle_t link)
{
	(void)g_hash_table_remove(c->entries, &link);
}

static void
push_snapshot(struct control *c, struct control_entry *e)
{
	struct wire_msg msg = { .kind = WIRE_SNAPSHOT };
	uint8_t *bytes;
	size_t len;

	catalog_snapshot(c->config, &bytes, &len);
	msg.snapshot.sequence = catalog_sequence(c->config);
	msg.snapshot.bytes.at = bytes;
	msg.snapshot.bytes.len = len;
	if (transport_send(c->links, e->link, &msg))
		e->sent = msg.snapshot.sequence;
	free(bytes);
}

/// Pushes to one entry what it lacks.
///
/// @return false when there is nothing to push, or it failed
static bool
push_step(struct control *c, struct control_entry *e)
{
	struct wire_msg msg = { .kind = WIRE_CONFIG };
	uint8_t *bytes;
	size_t len;
	uint64_t to;
	bool sent;

	if (!e->subscribed || e->sent >= catalog_sequence(c->config))
		return false;
	if (catalog_changes(c->config, e->sent, CONTROL_CHANGES_BYTES, &bytes,
		&len, &to) != STATUS_OK) {
		push_snapshot(c, e);
		return false;
	}
	msg.config.first = e->sent + 1;
	msg.config.last = to;
	msg.config.commands.at = bytes;
	msg.config.commands.len = len;
	sent = transport_send(c->links, e->link, &msg);
	free(bytes);
	if (sent)
		e->sent = to;
	return sent;
}

/// Pushes to every subscribed entry what it lacks; only committed changes
/// are in the state that is pushed.
void
control_sync_push(struct control *c)
{
	GList *entries;

	if (!control_is_leader(c, CONTROL_CONFIG_GROUP))
		return;
	entries = g_hash_table_get_values(c->entries);
	for (const GList *l = entries; l != NULL; l = l->next) {
		while (push_step(c, l->data))
			continue;
	}
	g_list_free(entries);
}

#define CONTROL_MAX_CHANGES 4096

/// A change was applied: from now on it is on its way to the entries.
void
control_sync_track_change(struct control *c)
{
	struct control_change *change;

	if (!control_is_leader(c, CONTROL_CONFIG_GROUP))
		return;
	change = g_new(struct control_change, 1);
	change->sequence = catalog_sequence(c->config);
	change->applied_us = loop_now_us(c->loop);
	g_queue_push_tail(&c->changes, change);
	if (c->changes.length > CONTROL_MAX_CHANGES)
		g_free(g_queue_pop_head(&c->changes));
}

/// Sequence that every entry has confirmed. An entry whose lease has run out
/// takes no work and doesn't count.
static uint64_t
in_force(const struct control *c)
{
	const uint64_t now = loop_now_us(c->loop);
	const uint64_t lease_us = c->settings.config_lease_ms * USEC_PER_MSEC;
	uint64_t least = catalog_sequence(c->config);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct control_entry *e = value;

		if (e->acked < least && now < e->acked_at_us + lease_us)
			least = e->acked;
	}
	return least;
}

static void
observe_in_force(struct control *c)
{
	const uint64_t now = loop_now_us(c->loop);
	const struct control_change *first = g_queue_peek_head(&c->changes);
	uint64_t reached;

	if (first == NULL)
		return;
	reached = in_force(c);
	while (first != NULL && first->sequence <= reached) {
		metrics_observe(
		    c->propagation_latency, now - first->applied_us);
		g_free(g_queue_pop_head(&c->changes));
		first = g_queue_peek_head(&c->changes);
	}
}

/// A message of an entry.
void
control_sync_message(
    struct control *c, handle_t link, const struct wire_msg *msg)
{
	struct control_entry *e = g_hash_table_lookup(c->entries, &link);
	bool confirmed;

	if (e == NULL)
		return;
	switch (msg->kind) {
	case WIRE_SUBSCRIBE:
		e->subscribed = true;
		e->sent = msg->subscribe.sequence;
		control_sync_push(c);
		break;
	case WIRE_ACK:
		confirmed = msg->ack.sequence > e->acked;
		e->acked = msg->ack.sequence;
		e->acked_at_us = loop_now_us(c->loop);
		e->in_service = msg->ack.in_service;
		send_lease(c, e, msg->ack.sent_us);
		if (confirmed)
			observe_in_force(c);
		break;
	default:
		break;
	}
}

/// Entry of this name and start, if it is connected here.
const struct control_entry *
control_entry_find(
    const struct control *c, const char *name, uint64_t incarnation)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct control_entry *e = value;

		if (e->incarnation == incarnation && strcmp(e->name, name) == 0)
			return e;
	}
	return NULL;
}

/// One of the connected entries.
///
/// @param pick  any number; equal numbers give the same one while the set
///              of entries stays
const struct control_entry *
control_entry_pick(const struct control *c, uint64_t pick)
{
	const guint n = g_hash_table_size(c->entries);
	const struct control_entry *found = NULL;
	GHashTableIter it;
	gpointer value;

	if (n == 0)
		return NULL;
	pick %= n;
	g_hash_table_iter_init(&it, c->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		found = value;
		if (pick-- == 0)
			break;
	}
	return found;
}
