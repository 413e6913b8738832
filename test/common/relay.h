#ifndef COMMON_RELAY_H
#define COMMON_RELAY_H

#include <stddef.h>
#include <stdint.h>

/// TCP relay in a child process: each link listens at one address and passes
/// bytes to another. A cut link holds bytes without closing anything, as a
/// silent partition does; once open again they are delivered late.

enum relay_mode {
	RELAY_OPEN,
	RELAY_CUT,     ///< Nothing passes.
	RELAY_TO_ONLY, ///< Bytes pass towards the target only.
	RELAY_BACK_ONLY,
	RELAY_SLOW,  ///< Bytes pass late.
	RELAY_RESET, ///< Open connections are reset, new ones as well.
	/// Open connections fall silent for good, new ones work.
	RELAY_FORGET,
};

struct relay_link {
	uint16_t listen_port;
	uint16_t to_port;
	const char *listen_host; ///< NULL: 127.0.0.1
	const char *to_host;
};

struct relay;

struct relay *relay_new(const struct relay_link *links, size_t n);
void relay_set(struct relay *r, size_t link, enum relay_mode mode);
void relay_free(struct relay *r);

#endif
