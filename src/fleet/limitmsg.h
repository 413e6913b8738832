#ifndef FLEET_LIMITMSG_H
#define FLEET_LIMITMSG_H

#include <glib.h>

#include "fleet/fleetcfg.h"

/// Message, in both directions, about the limits that backend servers
/// advertise, how long servers are cold, what pace they state, and which are
/// brittle. A gateway tells the leader of each change in the responses of a
/// server, and a new leader of all limits that it knows; a new leader's
/// response has all that it knows. The leader passes changes on to all other
/// gateways, and gives each of them its number for the turns (route/turns.h).

struct limitmsg_limit {
	char server[FLEETCFG_NAME_BYTES];
	uint64_t milli_per_s; ///< thousandths of a request; see `limited`
	bool limited;         ///< false: the limit has ended
};

/// A server that is cold.
struct limitmsg_cold {
	char server[FLEETCFG_NAME_BYTES];
	uint32_t left_ms; ///< when the message was sent
};

/// The pace that a server stated in a response.
struct limitmsg_speed {
	char server[FLEETCFG_NAME_BYTES];
	uint32_t pace_percent;
};

/// A server that is brittle (route/brittle.h), or isn't any more.
struct limitmsg_brittle {
	char server[FLEETCFG_NAME_BYTES];
	uint32_t max_refusals;
	bool is_brittle;
};

struct limitmsg {
	bool whole;       ///< all limits that the sender knows
	uint32_t number;  ///< of the gateway that gets it, from 0
	uint32_t n;       ///< numbered gateways; 0: `number` isn't given
	GArray *limits;   ///< struct limitmsg_limit
	GArray *colds;    ///< struct limitmsg_cold; older senders give none
	GArray *speeds;   ///< struct limitmsg_speed, to the leader only
	GArray *brittles; ///< struct limitmsg_brittle; older senders give none
};

void limitmsg_init(struct limitmsg *m);
void limitmsg_clear(struct limitmsg *m);
void limitmsg_add(struct limitmsg *m, const char *server, double per_s);
void limitmsg_add_cold(
    struct limitmsg *m, const char *server, uint32_t left_ms);
void limitmsg_add_speed(
    struct limitmsg *m, const char *server, uint32_t pace_percent);
void limitmsg_add_brittle(struct limitmsg *m, const char *server,
    bool is_brittle, uint32_t max_refusals);
double limitmsg_per_s(const struct limitmsg_limit *limit);
void limitmsg_encode(const struct limitmsg *m, uint8_t **bytes, size_t *len);
enum status limitmsg_decode(
    const uint8_t *bytes, size_t len, struct limitmsg *out);

#endif
