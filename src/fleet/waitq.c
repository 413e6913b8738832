#include "fleet/waitq.h"

/// Longest wait. Electing a leader and granting leases to the gateways takes
/// less.
#define MAX_WAIT_US 400000
/// Once an outage has lasted this long it isn't likely to end soon: new
/// requests are refused at once.
#define MAX_OUTAGE_US 1500000
/// A request waits for at most one part in MAX_WAIT_DIVISOR of the caller's
/// remaining time; the rest is for the response, or for another try.
#define MAX_WAIT_DIVISOR 4

/// How long a request may stay in the wait queue.
///
/// @param outage_since_us  since when this gateway can't serve requests
/// @param remaining_us     time until the caller gives up
/// @return microseconds; 0: refuse the request at once
uint64_t
waitq_max_wait_us(
    uint64_t now_us, uint64_t outage_since_us, uint64_t remaining_us)
{
	const uint64_t share_us = remaining_us / MAX_WAIT_DIVISOR;

	if (now_us >= outage_since_us + MAX_OUTAGE_US)
		return 0;
	return share_us < MAX_WAIT_US ? share_us : MAX_WAIT_US;
}
