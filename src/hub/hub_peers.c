#include "hub/hub_internal.h"

#include <xxhash.h>

#include "fleet/slotaddr.h"

/// The gateways that each gateway may send attempts through (gateway_relay.c):
/// some of its own data centre, and some of the others. They are neighbours on
/// a ring of all gateways, so that the load of one is spread and each is chosen
/// by as many.

#define HUB_PEERS_AGE_US (500 * USEC_PER_MSEC)
#define HUB_PEERS_NEAR 4
#define HUB_PEERS_FAR 8

struct hub_peers {
	uint64_t made_us; ///< 0: never
	GArray *ring;     ///< struct peer
};

struct peer {
	uint64_t place;
	uint32_t address; ///< packed, see slotaddr.h
	char data_centre[FLEETCFG_NAME_BYTES];
};

static gint
by_place(gconstpointer a, gconstpointer b)
{
	const struct peer *x = a;
	const struct peer *y = b;

	if (x->place != y->place)
		return x->place < y->place ? -1 : 1;
	return x->address < y->address ? -1 : x->address > y->address;
}

static void
make_ring(const struct hub *h, uint64_t now_us)
{
	struct hub_peers *p = h->gateway_peers;
	GHashTableIter it;
	gpointer value;

	p->made_us = now_us;
	g_array_set_size(p->ring, 0);
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hub_gateway *g = value;
		struct peer e = { .address = g->relay_address };

		if (g->relay_address == 0 || !hub_gateway_is_alive(h, g))
			continue;
		e.place = XXH64(&e.address, sizeof(e.address), 0);
		(void)g_strlcpy(
		    e.data_centre, g->data_centre, sizeof(e.data_centre));
		g_array_append_val(p->ring, e);
	}
	g_array_sort(p->ring, by_place);
}

/// Finds a gateway's place on the ring.
///
/// @return the length of the ring if it has none
static guint
find(const GArray *ring, uint32_t address)
{
	guint i = 0;

	while (i < ring->len &&
	    g_array_index(ring, struct peer, i).address != address)
		i++;
	return i;
}

/// Whether a gateway can be told a peer: one of an older version takes the
/// address for a slot.
static bool
may_tell(const struct hub_gateway *g, const struct peer *e)
{
	return !slotaddr_is_slot(g->relay_address) ||
	    slotaddr_fits_slot(e->address);
}

/// Adds a gateway's peers to its state. One of a version that knows no peers
/// has none: it would refuse such a state.
void
hub_peers_fill(
    const struct hub *h, const struct hub_gateway *g, struct hubmsg_state *s)
{
	const uint64_t now = loop_now_us(h->loop);
	const GArray *ring = h->gateway_peers->ring;
	uint32_t n_far = 0;
	guint own;

	if (g->relay_address == 0)
		return;
	if (now >= h->gateway_peers->made_us + HUB_PEERS_AGE_US)
		make_ring(h, now);
	own = find(ring, g->relay_address);
	for (guint i = 1; i < ring->len; i++) {
		const struct peer *e =
		    &g_array_index(ring, struct peer, (own + i) % ring->len);
		const bool is_near =
		    g_strcmp0(e->data_centre, g->data_centre) == 0;

		if (!may_tell(g, e))
			continue;
		if (is_near && s->n_near_peers < HUB_PEERS_NEAR) {
			g_array_insert_val(
			    s->peers, s->n_near_peers, e->address);
			s->n_near_peers++;
		} else if (!is_near && n_far < HUB_PEERS_FAR) {
			g_array_append_val(s->peers, e->address);
			n_far++;
		}
		if (s->n_near_peers == HUB_PEERS_NEAR && n_far == HUB_PEERS_FAR)
			return;
	}
}

/// Makes the empty ring, to be released with hub_peers_stop().
void
hub_peers_start(struct hub *h)
{
	h->gateway_peers = g_new0(struct hub_peers, 1);
	h->gateway_peers->ring = g_array_new(FALSE, FALSE, sizeof(struct peer));
}

/// Releases the ring.
void
hub_peers_stop(struct hub *h)
{
	g_array_unref(h->gateway_peers->ring);
	g_free(h->gateway_peers);
}
