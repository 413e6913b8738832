#ifndef WIRE_WIRE_H
#define WIRE_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// Messages between the system's own processes. On the wire a message is a
/// 4-byte length (big endian) and a msgpack array [kind, fields...].

#define WIRE_MAX_FRAME_BYTES (64U * 1024 * 1024)
#define WIRE_NAME_BYTES 64

enum wire_kind {
	WIRE_HELLO = 1,      ///< First on a connection, both ways.
	WIRE_RAFT,           ///< control to control: message of a log group
	WIRE_SUBSCRIBE,      ///< entry to leader: send me what comes after
	WIRE_CONFIG,         ///< leader to entry: commands of the configuration
	WIRE_SNAPSHOT,       ///< leader to entry: the whole configuration
	WIRE_LEASE,          ///< control to entry: who leads, what is in force
	WIRE_ACK,            ///< entry to leader: what is in force here
	WIRE_PROPOSE,        ///< append a command to a group
	WIRE_QUERY,          ///< ask a group's state, linearizable
	WIRE_OUTCOME,        ///< answer to WIRE_PROPOSE or WIRE_QUERY
	WIRE_ROLLOUT_STATS,  ///< entry to leader: evidence on versions; and
			     ///< back: taken
	WIRE_SLO_COUNTERS,   ///< entry to leader: service-level counters
	WIRE_EXECUTE,        ///< leader to entry: finish this accepted request
	WIRE_GATEWAY_REPORT, ///< gateway to control: load, usage, what is in
			     ///< force
	WIRE_CONTROL_STATUS, ///< control to gateway: who leads, what is in
			     ///< force
	WIRE_KIND_COUNT,
};

enum wire_role {
	WIRE_ROLE_ENTRY,
	WIRE_ROLE_CONTROL,
};

/// Bytes of a message; they live as long as the frame.
struct wire_bytes {
	const uint8_t *at;
	size_t len;
};

struct wire_hello {
	enum wire_role role;
	uint32_t id; ///< control: its id, else 0
	uint64_t incarnation;
	char deployment[WIRE_NAME_BYTES];
	char node[WIRE_NAME_BYTES];
	char data_centre[WIRE_NAME_BYTES];
};

struct wire_raft {
	uint32_t group;
	struct wire_bytes bytes;
};

struct wire_config {
	uint64_t first; ///< Sequence after the first command.
	uint64_t last;  ///< Sequence after the last command.
	struct wire_bytes
	    commands; ///< Concatenated, each with a 4-byte length.
};

struct wire_snapshot {
	uint64_t sequence;
	struct wire_bytes bytes;
};

struct wire_lease {
	uint32_t leader; ///< 0: unknown
	uint64_t term;
	uint64_t sequence; ///< In force; an entry below it lags.
	uint32_t valid_ms; ///< 0: no lease, only tells who leads.
	uint64_t echo_us;  ///< Time of the entry's WIRE_ACK that it answers.
};

struct wire_ack {
	uint64_t sequence;
	uint64_t sent_us; ///< Entry's monotonic clock, echoed in the lease.
	bool in_service;
};

struct wire_propose {
	uint64_t tag;
	uint32_t group;
	struct wire_bytes bytes;
};

struct wire_outcome {
	uint64_t tag;
	enum status status;
	uint32_t leader; ///< Hint when the answer is STATUS_UNAVAILABLE.
	struct wire_bytes bytes;
};

struct wire_msg {
	enum wire_kind kind;
	union {
		struct wire_hello hello;
		struct wire_raft log;
		struct {
			uint64_t sequence;
		} subscribe;
		struct wire_config config;
		struct wire_snapshot snapshot;
		struct wire_lease lease;
		struct wire_ack ack;
		struct wire_propose propose; ///< also WIRE_QUERY
		struct wire_outcome outcome;
		struct wire_bytes
		    evidence; ///< also WIRE_SLO_COUNTERS, WIRE_GATEWAY_REPORT,
			      ///< WIRE_CONTROL_STATUS
		struct wire_bytes run;
	};
};

void wire_encode(const struct wire_msg *msg, uint8_t **bytes, size_t *len);
enum status wire_decode(const uint8_t *bytes, size_t len, struct wire_msg *out);

#endif
