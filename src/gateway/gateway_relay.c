#include "gateway/gateway_internal.h"

#include <string.h>

#include "fleet/slotaddr.h"
#include "platform/api_names.h"

/// Attempts at servers that are out of this gateway's reach are sent through
/// another gateway, a peer (gateway_relayed.c). Control names the peers.

/// A peer that refused, or can't be connected to, isn't asked for so long while
/// there are others.
#define GATEWAY_RELAY_AVOID_US USEC_PER_SEC
/// Peers that are asked for one attempt at most.
#define GATEWAY_RELAY_MAX_ASKED 4

/// A gateway that attempts can be sent through.
struct peer {
	uint32_t address; ///< packed, see slotaddr.h
	bool is_near;     ///< in this gateway's data centre
};

/// Makes the empty list of peers.
void
gateway_relay_start(struct gateway *g)
{
	g->peers = g_array_new(FALSE, TRUE, sizeof(struct peer));
	g->avoided =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/// Releases the list of peers.
void
gateway_relay_stop(struct gateway *g)
{
	g_array_unref(g->peers);
	g_hash_table_destroy(g->avoided);
}

/// Until when a peer isn't asked for servers of a service.
static uint64_t
avoided_until_us(
    const struct gateway *g, const struct peer *p, const char *service)
{
	char *key = g_strdup_printf("%u %s", p->address, service);
	const uint64_t *until_us = g_hash_table_lookup(g->avoided, key);

	g_free(key);
	return until_us == NULL ? 0 : *until_us;
}

/// The attempt's peer isn't asked for servers of its service for some time.
void
gateway_relay_avoid(const struct gateway_request *q)
{
	const uint64_t until_us =
	    loop_now_us(q->gateway->loop) + GATEWAY_RELAY_AVOID_US;

	(void)g_hash_table_replace(q->gateway->avoided,
	    g_strdup_printf("%u %s", q->via, q->service->name),
	    g_memdup2(&until_us, sizeof(until_us)));
}

static gboolean
has_passed(gpointer key, gpointer value, gpointer now_us)
{
	(void)key;
	return *(const uint64_t *)value <= *(const uint64_t *)now_us;
}

/// Takes the peers from control's state. A new leader knows none at first, and
/// one of an older version never does: those known so far are kept then.
void
gateway_relay_update(struct gateway *g, const struct hubmsg_state *s)
{
	uint64_t now = loop_now_us(g->loop);

	(void)g_hash_table_foreach_remove(g->avoided, has_passed, &now);
	if (s->peers->len == 0)
		return;
	g_array_set_size(g->peers, 0);
	for (guint i = 0; i < s->peers->len; i++) {
		const struct peer p = {
			.address = g_array_index(s->peers, uint32_t, i),
			.is_near = i < s->n_near_peers,
		};

		g_array_append_val(g->peers, p);
	}
}

/// Chooses one of the peers that aren't avoided at random, one of the same data
/// centre if there is any.
///
/// @return NULL if there is none
static const struct peer *
choose_open(const struct gateway *g, const char *service, uint64_t now_us)
{
	const struct peer *chosen = NULL;
	uint32_t n = 0;

	for (guint i = 0; i < g->peers->len; i++) {
		const struct peer *p = &g_array_index(g->peers, struct peer, i);

		// Those of the same data centre come first.
		if (chosen != NULL && chosen->is_near && !p->is_near)
			break;
		if (now_us >= avoided_until_us(g, p, service) &&
		    rnd_below(loop_random(g->loop), ++n) == 0)
			chosen = p;
	}
	return chosen;
}

/// Chooses a peer; the one that is avoided for the shortest time if all are.
///
/// @return NULL if no peer is known
static const struct peer *
choose_peer(const struct gateway *g, const char *service, uint64_t now_us)
{
	const struct peer *chosen = choose_open(g, service, now_us);
	uint64_t soonest_us = UINT64_MAX;

	if (chosen != NULL)
		return chosen;
	for (guint i = 0; i < g->peers->len; i++) {
		const struct peer *p = &g_array_index(g->peers, struct peer, i);
		const uint64_t until_us = avoided_until_us(g, p, service);

		if (until_us < soonest_us)
			chosen = p;
		soonest_us = MIN(soonest_us, until_us);
	}
	return chosen;
}

/// Decides whether the attempt that is sent now goes through a peer, and sets
/// `q->via`.
///
/// @param host  receives its address; room for INSTANCE_HOST_BYTES
bool
gateway_relay_choose(
    struct gateway_request *q, const struct gateway_server *s, char *host)
{
	const struct gateway *g = q->gateway;
	const struct peer *p = gateway_reach_is_lost(g, s)
	    ? choose_peer(g, s->instance.service, loop_now_us(g->loop))
	    : NULL;

	q->via = p == NULL ? 0 : p->address;
	if (p == NULL)
		return false;
	slotaddr_unpack(
	    g->settings.host, p->address, host, INSTANCE_HOST_BYTES);
	q->n_relays++;
	g->n_relays->value++;
	logger_event(LOGGER_INFO, "relay.asked",
	    "request=%s attempt=%u server=%s via=%s", q->call.id, q->n_sent,
	    s->instance.id, host);
	return true;
}

/// Sends a request for a server's health through a peer if the server is out of
/// reach.
///
/// @param host  receives the peer's address; room for INSTANCE_HOST_BYTES
void
gateway_relay_check(struct gateway *g, const struct gateway_server *s,
    struct httpc_request *call, char *host)
{
	const struct peer *p = gateway_reach_is_lost(g, s)
	    ? choose_open(g, s->instance.service, loop_now_us(g->loop))
	    : NULL;

	if (p == NULL)
		return;
	slotaddr_unpack(
	    g->settings.host, p->address, host, INSTANCE_HOST_BYTES);
	call->host = host;
	call->port = gateway_relay_port(g);
	call->headers[0] =
	    (struct httpc_header){ API_HDR_RELAY, API_RELAY_PLAIN };
	call->headers[1] =
	    (struct httpc_header){ API_HDR_EXPECT_INSTANCE, s->instance.id };
}

/// Port on which gateways take each other's attempts.
uint16_t
gateway_relay_port(const struct gateway *g)
{
	return (uint16_t)(g->settings.peer_port + 1);
}

/// Why the peer refused the attempt in flight; NULL: it didn't.
const char *
gateway_relay_refusal(const struct gateway_request *q)
{
	return q->via == 0 ? NULL
			   : httpc_response_header(q->gateway->http,
				 q->call_handle, API_HDR_RELAY_REFUSED);
}

/// Whether the server's response ended with its connection to the peer.
bool
gateway_relay_is_unframed(const struct gateway_request *q)
{
	return q->via != 0 &&
	    httpc_response_header(q->gateway->http, q->call_handle,
		API_HDR_RELAY_UNFRAMED) != NULL;
}

/// The peer can't pass on attempts: the same attempt is sent through another
/// one, or fails.
static void
ask_another(struct gateway_request *q, const char *why)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);

	gateway_relay_avoid(q);
	if (q->n_relays >= GATEWAY_RELAY_MAX_ASKED ||
	    choose_open(g, q->service->name, now) == NULL ||
	    (!q->head_sent && now >= q->deadline_us)) {
		gateway_attempt_failed(
		    q, BALANCER_FAILED, VERDICT_NOT_RUN, why);
		return;
	}
	gateway_service_load(g, q->service->name)->running--;
	q->call_handle = HANDLE_NONE;
	q->awaits_relay = true;
	timerq_arm(q->timer, now);
}

/// Handles the end of an attempt that the peer didn't send to the server.
///
/// @return false if it isn't such an end
bool
gateway_relay_on_end(
    struct gateway_request *q, const struct httpc_result *result)
{
	const char *refusal = gateway_relay_refusal(q);
	char why[sizeof(API_RELAY_CLOSED) + sizeof(API_RELAY_LOST)];
	char via[INSTANCE_HOST_BYTES];

	if (q->via == 0)
		return false;
	if (result->status != STATUS_OK)
		refusal = NULL;
	if (refusal == NULL && result->verdict != VERDICT_NOT_RUN)
		return false;
	(void)g_strlcpy(why, refusal != NULL ? refusal : "", sizeof(why));
	slotaddr_unpack(q->gateway->settings.host, q->via, via, sizeof(via));
	logger_event(LOGGER_INFO, "relay.refused",
	    "request=%s attempt=%u server=%s via=%s reason=\"%s\"", q->call.id,
	    q->n_sent, q->server, via, refusal != NULL ? why : "no connection");
	q->gateway->n_relays_refused->value++;
	if (strcmp(why, API_RELAY_CLOSED) == 0)
		gateway_attempt_failed(q, BALANCER_REFUSED, VERDICT_NOT_RUN,
		    "the server takes nothing, says another gateway");
	else if (strcmp(why, API_RELAY_LOST) == 0)
		gateway_attempt_failed(q, BALANCER_FAILED, VERDICT_NOT_RUN,
		    "no connection, from another gateway either");
	else
		ask_another(q, "no gateway reaches the server");
	return true;
}
