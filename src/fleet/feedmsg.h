#ifndef FLEET_FEEDMSG_H
#define FLEET_FEEDMSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// Messages that carry what all gateways need alike: the configuration and the
/// list of servers. Each control process sends them to the gateways that chose
/// it, and the leader its list to the other control processes.

#define FEEDMSG_NO_LIST UINT64_MAX

/// A process asks a control process for what is new, and so for the next
/// changes.
struct feedmsg_ask {
	uint64_t sent_us;  ///< the sender's clock; echoed
	uint64_t revision; ///< of the list that it has from this process; 0:
			   ///< none
	uint64_t version;  ///< of its configuration; 0: none
	/// Age of its list, FEEDMSG_NO_LIST if it has none. A list that isn't
	/// newer is only sent to a process that follows its changes.
	uint64_t list_age_us;
	/// It can read the compact form of servers (fleet/servermsg.h).
	/// Processes of an older version can't, and don't say so.
	bool reads_compact;
};

/// The list and the configuration of a control process. Revisions are its own:
/// another process numbers the same lists differently.
struct feedmsg_update {
	uint64_t echo_us;  ///< the asker's clock was at least this when sent
	uint64_t age_us;   ///< since the platform was asked for the list
	uint64_t revision; ///< 0: the process has no list
	uint64_t since;    ///< revision before `changes`; 0: whole list
	const uint8_t *changes; ///< servers, in a form that the asker can
				///< read; empty: it has `revision`
	size_t len;
	uint64_t version; ///< of the newest configuration that it has applied
	const uint8_t *manifest; ///< of `version`; empty: the asker has it, or
				 ///< it is on its way, or is no gateway
	size_t manifest_len;
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
