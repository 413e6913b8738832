#ifndef FLEET_WAITQ_H
#define FLEET_WAITQ_H

#include <stdint.h>

/// Whether a request that can't be served at the moment waits for a while at
/// its gateway: a core without I/O. It answers the load behind a loss of all
/// of control or of all power, when gateways are back a moment before there is
/// a leader: callers try again once only, and often too early.

/// Most requests held at a time, and bytes of their bodies.
#define WAITQ_MAX_REQUESTS 512U
#define WAITQ_MAX_BYTES (4U << 20)

uint64_t waitq_max_wait_us(
    uint64_t now_us, uint64_t out_since_us, uint64_t left_us);

#endif
