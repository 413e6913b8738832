#ifndef COMMON_RELAY_H
#define COMMON_RELAY_H

#include <stddef.h>
#include <stdint.h>

/// TCP relay in a child process: each link listens on one address and forwards
/// bytes to another. A cut link closes no connection, as in a network
/// partition; the bytes are delivered when it is open again.

/// Fault of a link.
enum relay_mode {
	RELAY_OPEN,
	RELAY_CUT,       ///< Nothing is forwarded.
	RELAY_TO_ONLY,   ///< Bytes are forwarded to the target only.
	RELAY_BACK_ONLY, ///< Bytes are forwarded from the target only.
	RELAY_SLOW,      ///< Bytes are forwarded after a delay.
	RELAY_RESET,     ///< Open connections and new ones are reset.
	/// Open connections forward nothing any more, new ones work.
	RELAY_FORGET,
};

/// Addresses of a link.
struct relay_link {
	uint16_t listen_port;
	uint16_t to_port;
	const char *listen_host; ///< NULL: 127.0.0.1
	const char *to_host;     ///< NULL: 127.0.0.1
};

struct relay;

struct relay *relay_new(const struct relay_link *links, size_t n);
void relay_set(struct relay *r, size_t link, enum relay_mode mode);
void relay_free(struct relay *r);

#endif
