#ifndef FLEET_FEEDMSG_H
#define FLEET_FEEDMSG_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// Messages that carry the list of servers: from the leader to the other
/// control processes, and from each control process to gateways.

/// A process asks a control process for its list, and so for the next changes.
struct feedmsg_ask {
	uint64_t sent_us;  ///< the sender's clock; echoed
	uint64_t revision; ///< that it has from this process; 0: none
};

/// The list of a control process. Revisions are its own: another process
/// numbers the same lists differently.
struct feedmsg_update {
	uint64_t echo_us;  ///< the asker's clock was at least this when sent
	uint64_t age_us;   ///< since the platform was asked for the list
	uint64_t revision; ///< 0: the process has no list
	uint64_t since;    ///< revision before `changes`; 0: whole list
	const uint8_t *changes; ///< by hubmsg_servers_encode(); empty: the
				///< asker has `revision`
	size_t len;
};

void feedmsg_ask_encode(
    const struct feedmsg_ask *a, uint8_t **bytes, size_t *len);
enum status feedmsg_ask_decode(
    const uint8_t *bytes, size_t len, struct feedmsg_ask *out);
void feedmsg_update_encode(
    const struct feedmsg_update *u, uint8_t **bytes, size_t *len);
enum status feedmsg_update_decode(
    const uint8_t *bytes, size_t len, struct feedmsg_update *out);

#endif
