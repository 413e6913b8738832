#ifndef LOAD_RESULTS_H
#define LOAD_RESULTS_H

#include <jansson.h>
#include <stdint.h>

#include "base/verdict.h"
#include "load/hist.h"
#include "load/trace.h"

#define LOADGEN_MAX_SAMPLES 40
#define LOADGEN_ID_BYTES 64
#define LOADGEN_TEXT_BYTES 160

/// How a request ended for its caller.
enum loadgen_outcome {
	LOADGEN_COMPLETE,  ///< The whole answer came, and it was the right one.
	LOADGEN_WRONG,     ///< An answer to something else, or a changed one.
	LOADGEN_TRUNCATED, ///< The answer broke off without an end or an error.
	LOADGEN_REFUSED,   ///< 429 or 503.
	LOADGEN_FAILED,    ///< Another error that was told.
	LOADGEN_TIMEOUT,   ///< Nothing more came within the caller's time.
	LOADGEN_NO_ENTRY,  ///< No entry could be reached.
	LOADGEN_OUTCOMES,
};

/// One second of a run.
struct loadgen_second {
	uint32_t sent;
	uint32_t whole;
	uint32_t good;
	uint32_t refused;
	uint32_t bad;
	uint32_t tokens;
	uint64_t ttft_sum_us;
	uint64_t ttft_max_us;
};

struct loadgen_kind_results {
	uint64_t ends[LOADGEN_OUTCOMES];
	uint64_t good;
	struct loadgen_hist *first; ///< To the first token or answer.
	struct loadgen_hist *whole; ///< To the end of the answer.
};

/// A request that did not end whole, for the reader.
struct loadgen_sample {
	char id[LOADGEN_ID_BYTES];
	enum loadgen_kind kind;
	enum loadgen_outcome end;
	int http_status;
	char text[LOADGEN_TEXT_BYTES];
};

struct loadgen_results {
	struct loadgen_kind_results kinds[LOADGEN_KINDS];
	struct loadgen_hist *between;
	struct loadgen_hist *accepted; ///< To "accepted", for booked work.
	uint64_t verdicts[3];
	uint64_t no_verdict; ///< Failed without a verdict.
	uint64_t tokens;
	uint64_t redirected; ///< Sent to the next entry, not run before.
	uint64_t resent;     ///< Sent again under the same key.
	uint64_t resumed;    ///< Streams taken up at another entry.
	uint64_t max_in_flight;
	double seconds;
	uint32_t n_seconds;
	struct loadgen_second *per_second;
	uint32_t n_samples;
	struct loadgen_sample samples[LOADGEN_MAX_SAMPLES];
	json_t *servers; ///< What the stand-ins counted, or NULL.
};

const char *loadgen_outcome_name(enum loadgen_outcome end);
struct loadgen_results *loadgen_results_new(double duration_s);
void loadgen_results_free(struct loadgen_results *f);
struct loadgen_second *loadgen_results_second(
    struct loadgen_results *f, uint64_t at_us);
void loadgen_results_sample(
    struct loadgen_results *f, const struct loadgen_sample *sample);
json_t *loadgen_results_json(const struct loadgen_results *f);
json_t *loadgen_hist_json(const struct loadgen_hist *h);

#endif
