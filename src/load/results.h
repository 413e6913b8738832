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

/// Outcome of a request for its caller.
enum loadgen_outcome {
	LOADGEN_COMPLETE,  ///< The complete, expected response.
	LOADGEN_WRONG,     ///< Another request's response, or changed text.
	LOADGEN_TRUNCATED, ///< The response broke off without an end or error.
	LOADGEN_REFUSED,   ///< 429 or 503.
	LOADGEN_FAILED,    ///< Any other error that was reported.
	LOADGEN_TIMEOUT,   ///< Not complete within the caller's timeout.
	LOADGEN_NO_ENTRY,  ///< No entry could be reached.
	LOADGEN_OUTCOMES,
};

/// Counts of one second of a run.
struct loadgen_second {
	uint32_t sent;
	uint32_t completed;
	uint32_t within_target; ///< Completed within the latency targets.
	uint32_t refused;
	uint32_t failed;      ///< Any other outcome.
	uint32_t tokens;      ///< Received.
	uint64_t ttft_sum_us; ///< Over `completed`.
	uint64_t ttft_max_us;
};

/// Results of one kind of request. Times count from when a request was due.
struct loadgen_kind_results {
	uint64_t outcomes[LOADGEN_OUTCOMES];
	uint64_t within_target; ///< Completed within the latency targets.
	/// To the first token, or to the end of an unstreamed response.
	struct loadgen_hist *ttft;
	struct loadgen_hist *total_time; ///< To the end of the response.
};

/// A request that was not completed, listed for the reader of the results.
struct loadgen_sample {
	char id[LOADGEN_ID_BYTES];
	enum loadgen_kind kind;
	enum loadgen_outcome outcome;
	int http_status;
	char text[LOADGEN_TEXT_BYTES];
};

/// Results of a run.
struct loadgen_results {
	struct loadgen_kind_results kinds[LOADGEN_KINDS];
	struct loadgen_hist *inter_token;
	struct loadgen_hist *accept_time; ///< To 202, for accepted work.
	uint64_t verdicts[3];             ///< Not completed, by enum verdict.
	uint64_t no_verdict;              ///< Not completed, without a verdict.
	uint64_t tokens;
	uint64_t redirected; ///< To the next entry: one was unreachable.
	uint64_t resent;     ///< Sent again by the caller.
	uint64_t resumed;    ///< Streams resumed with a resume token.
	uint64_t max_in_flight;
	double seconds;     ///< From the start to the end of the last request.
	uint32_t n_seconds; ///< Length of per_second.
	struct loadgen_second *per_second;
	uint32_t n_samples;
	struct loadgen_sample samples[LOADGEN_MAX_SAMPLES];
	json_t *servers; ///< Counts of the stand-ins, or NULL; owned.
};

const char *loadgen_outcome_name(enum loadgen_outcome outcome);
struct loadgen_results *loadgen_results_new(double duration_s);
void loadgen_results_free(struct loadgen_results *f);
struct loadgen_second *loadgen_results_second(
    struct loadgen_results *f, uint64_t at_us);
void loadgen_results_sample(
    struct loadgen_results *f, const struct loadgen_sample *sample);
json_t *loadgen_results_json(const struct loadgen_results *f);
json_t *loadgen_hist_json(const struct loadgen_hist *h);

#endif
