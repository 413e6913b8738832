#ifndef FLEET_REACH_H
#define FLEET_REACH_H

#include <stdbool.h>
#include <stdint.h>

/// Whether a gateway's own way to the backend servers of a service works. A
/// core without I/O. A server that no connection can be made to is out of
/// reach. When several in a row are, the gateway itself is taken to be cut off:
/// then all the service's servers are out of reach but those that were reached
/// since, and those that are new.

/// Servers in a row that can't be connected to before the gateway is cut off.
#define REACH_CUT_SERVERS 3
/// Servers in a row that are reached again before it isn't any more.
#define REACH_BACK_SERVERS 2

/// The way to all servers of a service.
struct reach {
	uint32_t n_failed;  ///< servers in a row
	uint32_t n_reached; ///< servers out of reach that were reached, in a
			    ///< row, while cut off
	uint64_t failing_since_us; ///< first of those in a row
	bool is_cut;
};

/// The way to one server.
struct reach_server {
	uint64_t known_us;   ///< when it was first listed
	uint64_t lost_us;    ///< when connecting failed first; 0: it didn't
	uint64_t reached_us; ///< when a new connection to it worked last
	uint64_t checked_us; ///< when the last check of it began
	bool is_suspect;     ///< it was silent, and hasn't been checked since
};

bool reach_failed(struct reach *r, struct reach_server *s, uint64_t now_us);
bool reach_succeeded(struct reach *r, struct reach_server *s, uint64_t now_us);
bool reach_is_lost(const struct reach *r, const struct reach_server *s);
bool reach_needs_check(
    const struct reach *r, const struct reach_server *s, uint64_t now_us);

#endif
