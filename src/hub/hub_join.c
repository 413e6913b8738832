#include "hub/hub_internal.h"

#include <stdlib.h>

#include "replog/replica_hello.h"

/// A process that joins dials the seeds, and the leader needn't be one of them.
/// While it knows no leader, members that get its hellos tell it the leader's
/// address, so that it dials the leader, too. The leader can't know an address
/// that a slot doesn't imply before it has that process's hello.

/// Hellos of the replicated log come more often than this.
#define HUB_JOIN_US (400 * USEC_PER_MSEC)

static bool
is_voter(const struct replica_status *st, uint32_t slot)
{
	for (uint32_t i = 0; i < st->members.n_voters; i++) {
		if ((st->members.voters[i] & RAFT_SLOT_MASK) == slot)
			return true;
	}
	return false;
}

/// Makes the message with the leader, the members and their addresses.
///
/// @param bytes  receives the payload of `msg`, to be released with free()
static void
make_state(const struct hub *h, struct wire_msg *msg, uint8_t **bytes)
{
	struct hubmsg_state s;

	hubmsg_state_init(&s);
	hub_fill_members(h, &s);
	// A process that has the slot of an earlier one mustn't take itself for
	// refused.
	for (guint i = 0; i < s.hosts->len; i++) {
		struct hosttable_entry *e =
		    &g_array_index(s.hosts, struct hosttable_entry, i);

		hosttable_get(h->hosts, e->slot, e->host);
	}
	hubmsg_state_encode(&s, bytes, &msg->payload.len);
	msg->payload.data = *bytes;
	hubmsg_state_clear(&s);
}

/// Tells a process that knows no leader where the members are, if it isn't a
/// voter. A learner may still be out of the leader's reach: other members have
/// forwarded its hellos.
///
/// @param raft  message of the replicated log from it
void
hub_join_on_raft(
    struct hub *h, struct hub_peer *p, const struct wire_bytes *raft)
{
	const uint64_t now = loop_now_us(h->loop);
	struct wire_msg msg = { .kind = WIRE_CONTROL_STATUS };
	struct replica_status st;
	uint8_t *bytes;

	if (raft->len == 0 || raft->data[0] != REPLICA_HELLO_MARK ||
	    now < p->next_state_us)
		return;
	replica_status(h->group, &st);
	if (st.members.n_voters == 0 || is_voter(&st, p->slot))
		return;
	p->next_state_us = now + HUB_JOIN_US;
	make_state(h, &msg, &bytes);
	if (!transport_send(h->links, p->dialled, &msg))
		(void)transport_send(h->links, p->accepted, &msg);
	free(bytes);
}

/// Dials the leader that another process knows, or all members if it knows
/// none.
void
hub_join_on_state(struct hub *h, const struct hubmsg_state *s)
{
	hub_hosts_learn(h, s->hosts);
	(void)hub_peer(h, s->leader);
	for (guint i = 0; s->leader == 0 && i < s->members->len; i++)
		(void)hub_peer(h, g_array_index(s->members, uint32_t, i));
}
