#include "fleet/waitq.h"

/// A leader is elected, and its gateways have their leases, in less.
#define HOLD_US 400000
/// Who has waited for longer than that for control isn't likely to be served
/// soon: new requests are refused at once.
#define HOPE_US 1500000
/// Part of a caller's time that waiting here may take; the rest is needed for
/// the answer, or for another try.
#define PART_OF_TIME 4

/// How long to hold a request.
///
/// @param out_since_us  since when nothing can be served here
/// @param left_us       until the caller gives up
/// @return microseconds, 0: it is to be refused at once
uint64_t
waitq_max_wait_us(uint64_t now_us, uint64_t out_since_us, uint64_t left_us)
{
	const uint64_t most = left_us / PART_OF_TIME;

	if (now_us >= out_since_us + HOPE_US)
		return 0;
	return most < HOLD_US ? most : HOLD_US;
}
