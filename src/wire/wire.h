#ifndef WIRE_WIRE_H
#define WIRE_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// Messages between the system's own processes. On the wire a message is a
/// 4-byte length (big endian) and a msgpack array [kind, fields...].

/// A link is closed when the peer announces a longer frame.
#define WIRE_MAX_FRAME_BYTES (64U * 1024 * 1024)
#define WIRE_NAME_BYTES 64 ///< including the terminating zero

enum wire_kind {
	WIRE_HELLO = 1,      ///< first message on a link, in both directions
	WIRE_RAFT,           ///< control to control: Raft message of a group
	WIRE_SUBSCRIBE,      ///< entry to leader: request for the commands
			     ///< after a sequence
	WIRE_CONFIG,         ///< leader to entry: commands of the configuration
	WIRE_SNAPSHOT,       ///< leader to entry: the whole configuration
	WIRE_LEASE,          ///< control to entry: the leader and the sequence
			     ///< in force
	WIRE_ACK,            ///< entry to leader: sequence in force at the
			     ///< entry
	WIRE_PROPOSE,        ///< request to append a command to a group's log
	WIRE_QUERY,          ///< linearizable query of a group's state
	WIRE_OUTCOME,        ///< response to WIRE_PROPOSE or WIRE_QUERY
	WIRE_ROLLOUT_STATS,  ///< entry or gateway to leader: rollout stats of
			     ///< versions; back: their acknowledgement
	WIRE_SLO_COUNTERS,   ///< entry to leader: SLO counters
	WIRE_EXECUTE,        ///< leader to entry: finish this accepted request
	WIRE_GATEWAY_REPORT, ///< gateway to control: load, usage and the
			     ///< state in force at the gateway
	WIRE_CONTROL_STATUS, ///< control to gateway: the leader and the state
			     ///< in force
	WIRE_QUOTA_ASK,      ///< gateway to leader: a request needs a grant of
			     ///< its customer's quota
	WIRE_QUOTA_ANSWER,   ///< leader to gateway: the grant, or the wait
	WIRE_CRASH,          ///< gateway to leader: a server crashed
	WIRE_PARTS,          ///< leader to gateway: blocked and suspected parts
			     ///< of prompts
	WIRE_PARTS_ANSWER,   ///< gateway to leader: response to WIRE_PARTS
	WIRE_LIMITS,         ///< gateway to leader and back: limits that
			     ///< backend servers advertise
	WIRE_FEED_ASK,       ///< gateway or control to control: request for its
			     ///< list of servers and for the next changes
	WIRE_FEED,           ///< the response: the list, or its changes
	WIRE_KIND_COUNT,
};

enum wire_role {
	WIRE_ROLE_ENTRY,   ///< also a gateway
	WIRE_ROLE_CONTROL, ///< also a hub
};

/// Bytes of a message, not owned. In a decoded message they point into its
/// frame.
struct wire_bytes {
	const uint8_t *data;
	size_t len;
};

struct wire_hello {
	enum wire_role role;
	uint32_t id; ///< id of a control process, slot of a hub, or packed
		     ///< address (slotaddr.h) of a gateway that takes
		     ///< attempts of others, else 0
	uint64_t incarnation; ///< tells this run of the process from others
	char deployment[WIRE_NAME_BYTES];
	char node[WIRE_NAME_BYTES];
	char data_centre[WIRE_NAME_BYTES];
	/// Address of a control process whose `id` doesn't imply it, else
	/// empty and not sent: versions before it refuse a longer hello.
	char host[WIRE_NAME_BYTES];
	/// The address follows `deployment`, behind its terminating zero, where
	/// versions before it read over it.
	bool hides_host;
};

struct wire_raft {
	uint32_t group;
	struct wire_bytes bytes;
};

struct wire_config {
	uint64_t first_sequence; ///< sequence after the first command
	uint64_t last_sequence;  ///< sequence after the last command
	/// The commands as catalog_changes() writes them: for each one its
	/// sequence and its bytes, both as msgpack values.
	struct wire_bytes commands;
};

struct wire_snapshot {
	uint64_t sequence;
	struct wire_bytes bytes;
};

struct wire_lease {
	uint32_t leader; ///< 0: unknown
	uint64_t term;
	/// In force; an entry process with a lower one lags behind.
	uint64_t sequence;
	uint32_t valid_ms; ///< 0: grants no lease, only names the leader
	uint64_t echo_us;  ///< `sent_us` of the WIRE_ACK that it responds to
};

struct wire_ack {
	uint64_t sequence;
	uint64_t sent_us; ///< entry's monotonic clock, echoed in the lease
	bool in_service;  ///< whether the entry accepts new requests
};

struct wire_propose {
	uint64_t tag; ///< chosen by the sender, returned in wire_outcome
	uint32_t group;
	struct wire_bytes bytes;
};

struct wire_outcome {
	uint64_t tag; ///< of the WIRE_PROPOSE or WIRE_QUERY
	enum status status;
	uint32_t leader; ///< hint when `status` is STATUS_UNAVAILABLE
	struct wire_bytes bytes;
};

struct wire_msg {
	enum wire_kind kind;
	union {
		struct wire_hello hello;
		struct wire_raft raft;
		struct {
			uint64_t sequence;
		} subscribe;
		struct wire_config config;
		struct wire_snapshot snapshot;
		struct wire_lease lease;
		struct wire_ack ack;
		struct wire_propose propose; ///< also WIRE_QUERY
		struct wire_outcome outcome;
		/// Encoded body of WIRE_ROLLOUT_STATS, WIRE_SLO_COUNTERS,
		/// WIRE_GATEWAY_REPORT, WIRE_CONTROL_STATUS, WIRE_QUOTA_ASK,
		/// WIRE_QUOTA_ANSWER, WIRE_CRASH, WIRE_PARTS,
		/// WIRE_PARTS_ANSWER, WIRE_LIMITS, WIRE_FEED_ASK and WIRE_FEED.
		struct wire_bytes payload;
		struct wire_bytes execute; ///< of WIRE_EXECUTE
	};
};

void wire_encode(const struct wire_msg *msg, uint8_t **bytes, size_t *len);
const char *wire_kind_name(enum wire_kind kind);
enum status wire_decode(const uint8_t *bytes, size_t len, struct wire_msg *out);

#endif
