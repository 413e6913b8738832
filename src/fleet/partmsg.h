#ifndef FLEET_PARTMSG_H
#define FLEET_PARTMSG_H

#include <glib.h>

#include "base/status.h"
#include "fleet/crashlog.h"

/// Messages between gateways and the leader about parts of prompts that crash
/// servers. Their arrays are made by partmsg_*_init() and released by
/// partmsg_*_clear().

/// Gateway to leader: a server crashed with this gateway's requests in flight.
struct partmsg_crash {
	char server[FLEETCFG_NAME_BYTES];
	char service[FLEETCFG_NAME_BYTES];
	uint64_t age_us;   ///< time since it crashed
	GArray *in_flight; ///< struct crashlog_in_flight
};

/// A part of a prompt with a time: until it is no longer blocked, or since it
/// was last answered.
struct partmsg_timed {
	struct crashlog_part part;
	uint64_t time_us;
};

/// Leader to gateway: the blocked parts, and the suspected ones that it wants
/// to hear about.
struct partmsg_state {
	uint64_t blocked_revision; ///< grows with each change of `blocked`
	GArray *blocked;   ///< struct partmsg_timed; `time_us` is what is left
	uint64_t question; ///< number of the question about `suspects`; 0: none
	GArray *suspects;  ///< struct crashlog_part
};

/// Gateway to leader: response to a struct partmsg_state.
struct partmsg_answer {
	uint64_t blocked_revision; ///< in force at the gateway
	uint64_t question;
	/// The suspects that were answered here: struct partmsg_timed;
	/// `time_us` is the time since the last complete answer.
	GArray *answered;
	/// Services of the suspects: struct partmsg_timed without a part;
	/// `time_us` is the time since the last complete answer to any prompt.
	GArray *services;
};

void partmsg_crash_init(struct partmsg_crash *c);
void partmsg_crash_clear(struct partmsg_crash *c);
void partmsg_crash_encode(
    const struct partmsg_crash *c, uint8_t **bytes, size_t *len);
enum status partmsg_crash_decode(
    const uint8_t *bytes, size_t len, struct partmsg_crash *out);

void partmsg_state_init(struct partmsg_state *s);
void partmsg_state_clear(struct partmsg_state *s);
void partmsg_state_encode(
    const struct partmsg_state *s, uint8_t **bytes, size_t *len);
enum status partmsg_state_decode(
    const uint8_t *bytes, size_t len, struct partmsg_state *out);

void partmsg_answer_init(struct partmsg_answer *a);
void partmsg_answer_clear(struct partmsg_answer *a);
void partmsg_answer_encode(
    const struct partmsg_answer *a, uint8_t **bytes, size_t *len);
enum status partmsg_answer_decode(
    const uint8_t *bytes, size_t len, struct partmsg_answer *out);

#endif
