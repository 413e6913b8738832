#include "hub/hub_internal.h"

#include <stdlib.h>

/// A process that joins dials the seeds, and the leader needn't be one of them.
/// Members that it has a link to tell it the others, so that it dials the
/// leader, too: the leader can't know an address that a slot doesn't imply
/// before it has that process's hello.

#define HUB_JOIN_US (500 * USEC_PER_MSEC)

static bool
is_voter(const struct replica_status *st, uint32_t slot)
{
	for (uint32_t i = 0; i < st->members.n_voters; i++) {
		if ((st->members.voters[i] & RAFT_SLOT_MASK) == slot)
			return true;
	}
	return false;
}

/// Tells processes that aren't voters which processes are members. A learner
/// may still be out of the leader's reach: other members forward its hellos.
void
hub_join_tick(struct hub *h, uint64_t now_us)
{
	struct wire_msg msg = { .kind = WIRE_CONTROL_STATUS };
	struct replica_status st;
	struct hubmsg_state s;
	GHashTableIter it;
	gpointer value;
	uint8_t *bytes;

	replica_status(h->group, &st);
	if (now_us < h->next_join_us || st.members.n_voters == 0)
		return;
	h->next_join_us = now_us + HUB_JOIN_US;
	hubmsg_state_init(&s);
	hub_fill_members(h, &s);
	// A process that has the slot of an earlier one mustn't take itself for
	// refused.
	for (guint i = 0; i < s.hosts->len; i++) {
		struct hosttable_entry *e =
		    &g_array_index(s.hosts, struct hosttable_entry, i);

		hosttable_get(h->hosts, e->slot, e->host);
	}
	hubmsg_state_encode(&s, &bytes, &msg.payload.len);
	hubmsg_state_clear(&s);
	msg.payload.data = bytes;
	g_hash_table_iter_init(&it, h->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hub_peer *p = value;

		if (!is_voter(&st, p->slot) &&
		    !transport_send(h->links, p->dialled, &msg))
			(void)transport_send(h->links, p->accepted, &msg);
	}
	free(bytes);
}

/// Dials the members that another process knows.
void
hub_join_on_state(struct hub *h, const struct hubmsg_state *s)
{
	hub_hosts_learn(h, s->hosts);
	for (guint i = 0; i < s->members->len; i++)
		(void)hub_peer(h, g_array_index(s->members, uint32_t, i));
}
