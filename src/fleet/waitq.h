#ifndef FLEET_WAITQ_H
#define FLEET_WAITQ_H

#include <stdint.h>

/// Decides whether a request that can't be served now waits in the wait queue
/// of its gateway, without I/O. The queue covers the requests that arrive after
/// all control processes or all power were lost, when gateways are back shortly
/// before a leader is elected: callers retry only once and often too early.

/// Limits of the wait queue: requests, and bytes of their bodies together.
#define WAITQ_MAX_REQUESTS 512U
#define WAITQ_MAX_BYTES (4U << 20)

uint64_t waitq_max_wait_us(
    uint64_t now_us, uint64_t outage_since_us, uint64_t remaining_us);

#endif
