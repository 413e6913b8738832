#include "control/control_internal.h"

#include <stdlib.h>
#include <string.h>

/// Most bytes of changes in one message.
#define CONTROL_CHANGES_BYTES (256UL * 1024)
/// Changes whose propagation is measured at a time.
#define CONTROL_MAX_CHANGES 4096

/// Sends an entry the id of the leader. If this process leads and replies to an
/// acknowledgement of a subscribed entry, the message also extends the entry's
/// lease to take work. The entry counts the lease from when it sent the
/// acknowledgement; in_force() counts from its arrival here, which is later.
///
/// @param echo_us  time on the entry's clock when it sent the acknowledgement;
///                 0: not a reply
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

/// Sends all connected entries the id of the leader.
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

/// Registers an entry that connected and sends it the id of the leader.
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

/// Removes an entry whose link is down.
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
	msg.snapshot.bytes.data = bytes;
	msg.snapshot.bytes.len = len;
	if (transport_send(c->links, e->link, &msg))
		e->sent_sequence = msg.snapshot.sequence;
	free(bytes);
}

/// Pushes to one entry the next changes that it lacks, or a snapshot when the
/// changes aren't kept any more.
///
/// @return whether there may be more to push
static bool
push_step(struct control *c, struct control_entry *e)
{
	struct wire_msg msg = { .kind = WIRE_CONFIG };
	uint8_t *bytes;
	size_t len;
	uint64_t to;
	bool sent;

	if (!e->subscribed || e->sent_sequence >= catalog_sequence(c->config))
		return false;
	if (catalog_changes(c->config, e->sent_sequence, CONTROL_CHANGES_BYTES,
		&bytes, &len, &to) != STATUS_OK) {
		push_snapshot(c, e);
		return false;
	}
	msg.config.first_sequence = e->sent_sequence + 1;
	msg.config.last_sequence = to;
	msg.config.commands.data = bytes;
	msg.config.commands.len = len;
	sent = transport_send(c->links, e->link, &msg);
	free(bytes);
	if (sent)
		e->sent_sequence = to;
	return sent;
}

/// Pushes to every subscribed entry the changes that it lacks (leader only).
/// The state that is pushed has only committed changes.
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

/// Starts measuring how long the change that was just applied takes until all
/// entries have acknowledged it (leader only).
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

/// Sequence that every entry has acknowledged. An entry whose lease has expired
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

		if (e->acked_sequence < least &&
		    now < e->acked_at_us + lease_us)
			least = e->acked_sequence;
	}
	return least;
}

/// Records the propagation latency of the changes that all entries have
/// acknowledged.
static void
observe_propagation(struct control *c)
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

/// Handles a subscription or an acknowledgement of an entry.
void
control_sync_message(
    struct control *c, handle_t link, const struct wire_msg *msg)
{
	struct control_entry *e = g_hash_table_lookup(c->entries, &link);
	bool advanced;

	if (e == NULL)
		return;
	switch (msg->kind) {
	case WIRE_SUBSCRIBE:
		e->subscribed = true;
		e->sent_sequence = msg->subscribe.sequence;
		control_sync_push(c);
		break;
	case WIRE_ACK:
		advanced = msg->ack.sequence > e->acked_sequence;
		e->acked_sequence = msg->ack.sequence;
		e->acked_at_us = loop_now_us(c->loop);
		e->in_service = msg->ack.in_service;
		send_lease(c, e, msg->ack.sent_us);
		if (advanced)
			observe_propagation(c);
		break;
	default:
		break;
	}
}

/// Entry of this name and incarnation if it is connected here, else NULL. It
/// is valid until its link is down.
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

/// One of the connected entries, or NULL if there is none.
///
/// @param pick  any number; equal numbers give the same entry while the set of
///              entries doesn't change
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
