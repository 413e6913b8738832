#ifndef PLATFORM_API_SIGNALS_H
#define PLATFORM_API_SIGNALS_H

#include <stdbool.h>
#include <stdint.h>

/// Signals of a backend server in the headers of its responses: its limit of
/// requests per second, that it is leaving, how long to pause, and that it is
/// brittle.

/// A signal, as an index.
enum api_signal {
	API_SIGNAL_LIMIT,
	API_SIGNAL_LEAVING,
	API_SIGNAL_RETRY_AFTER,
	API_SIGNAL_BRITTLE,
	API_N_SIGNALS,
};

/// A malformed signal, or one that is given twice, counts as not given.
struct api_signals {
	bool given[API_N_SIGNALS];
	bool malformed[API_N_SIGNALS];
	double limit_per_s; ///< requests that it takes from all senders
	bool leaving;       ///< it takes no new requests
	uint64_t retry_after_us;
	uint32_t max_refusals; ///< in a second; it fails with more
};

bool api_signals_read(
    struct api_signals *s, const char *name, const char *value);
const char *api_signal_name(enum api_signal signal);

#endif
