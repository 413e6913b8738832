#ifndef WIRE_WR_H
#define WIRE_WR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/st.h"

/// Messages between the system's own processes. On the wire a message is a
/// 4-byte length (big endian) and a msgpack array [kind, fields...].

#define WR_MAX_FRAME_BYTES (64U * 1024 * 1024)
#define WR_NAME_BYTES 64

enum wr_kind {
	WR_HELLO = 1, ///< First on a connection, both ways.
	WR_LOG,       ///< control to control: message of a log group
	WR_SUBSCRIBE, ///< entry to leader: send me what comes after
	WR_CONFIG,    ///< leader to entry: commands of the configuration
	WR_SNAPSHOT,  ///< leader to entry: the whole configuration
	WR_LEASE,     ///< control to entry: who leads, what is in force
	WR_ACK,       ///< entry to leader: what is in force here
	WR_PROPOSE,   ///< append a command to a group
	WR_QUERY,     ///< ask a group's state, linearizable
	WR_OUTCOME,   ///< answer to WR_PROPOSE or WR_QUERY
	WR_EVIDENCE, ///< entry to leader: evidence on versions; and back: taken
	WR_LEVELS,   ///< entry to leader: service-level counters
	WR_RUN,      ///< leader to entry: finish this accepted request
	WR_REPORT,   ///< gateway to control: load, usage, what is in force
	WR_STATE,    ///< control to gateway: who leads, what is in force
	WR_KINDS,
};

enum wr_role {
	WR_ROLE_ENTRY,
	WR_ROLE_CONTROL,
};

/// Bytes of a message; they live as long as the frame.
struct wr_bytes {
	const uint8_t *at;
	size_t len;
};

struct wr_hello {
	enum wr_role role;
	uint32_t id; ///< control: its id, else 0
	uint64_t incarnation;
	char deployment[WR_NAME_BYTES];
	char node[WR_NAME_BYTES];
	char data_centre[WR_NAME_BYTES];
};

struct wr_log {
	uint32_t group;
	struct wr_bytes bytes;
};

struct wr_config {
	uint64_t first;           ///< Sequence after the first command.
	uint64_t last;            ///< Sequence after the last command.
	struct wr_bytes commands; ///< Concatenated, each with a 4-byte length.
};

struct wr_snapshot {
	uint64_t sequence;
	struct wr_bytes bytes;
};

struct wr_lease {
	uint32_t leader; ///< 0: unknown
	uint64_t term;
	uint64_t sequence; ///< In force; an entry below it lags.
	uint32_t valid_ms; ///< 0: no lease, only tells who leads.
	uint64_t echo_us;  ///< Time of the entry's WR_ACK that it answers.
};

struct wr_ack {
	uint64_t sequence;
	uint64_t sent_us; ///< Entry's monotonic clock, echoed in the lease.
	bool in_service;
};

struct wr_propose {
	uint64_t tag;
	uint32_t group;
	struct wr_bytes bytes;
};

struct wr_outcome {
	uint64_t tag;
	enum st status;
	uint32_t leader; ///< Hint when the answer is ST_UNAVAILABLE.
	struct wr_bytes bytes;
};

struct wr_msg {
	enum wr_kind kind;
	union {
		struct wr_hello hello;
		struct wr_log log;
		struct {
			uint64_t sequence;
		} subscribe;
		struct wr_config config;
		struct wr_snapshot snapshot;
		struct wr_lease lease;
		struct wr_ack ack;
		struct wr_propose propose; ///< also WR_QUERY
		struct wr_outcome outcome;
		struct wr_bytes
		    evidence; ///< also WR_LEVELS, WR_REPORT, WR_STATE
		struct wr_bytes run;
	};
};

void wr_encode(const struct wr_msg *msg, uint8_t **bytes, size_t *len);
enum st wr_decode(const uint8_t *bytes, size_t len, struct wr_msg *out);

#endif
