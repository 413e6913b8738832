#ifndef LOAD_FIGURES_H
#define LOAD_FIGURES_H

#include <jansson.h>
#include <stdint.h>

#include "base/verdict.h"
#include "load/hist.h"
#include "load/trace.h"

#define LD_SAMPLES 40
#define LD_ID_BYTES 64
#define LD_TEXT_BYTES 160

/// How a request ended for its caller.
enum ld_end {
	LD_WHOLE,    ///< The whole answer came, and it was the right one.
	LD_WRONG,    ///< An answer to something else, or a changed one.
	LD_CUT,      ///< The answer broke off without an end or an error.
	LD_REFUSED,  ///< 429 or 503.
	LD_FAILED,   ///< Another error that was told.
	LD_TIMEOUT,  ///< Nothing more came within the caller's time.
	LD_NO_ENTRY, ///< No entry could be reached.
	LD_ENDS,
};

/// One second of a run.
struct ld_second {
	uint32_t sent;
	uint32_t whole;
	uint32_t good;
	uint32_t refused;
	uint32_t bad;
	uint32_t tokens;
	uint64_t first_sum_us;
	uint64_t first_max_us;
};

struct ld_kind_figures {
	uint64_t ends[LD_ENDS];
	uint64_t good;
	struct ld_hist *first; ///< To the first token or answer.
	struct ld_hist *whole; ///< To the end of the answer.
};

/// A request that did not end whole, for the reader.
struct ld_sample {
	char id[LD_ID_BYTES];
	enum ld_kind kind;
	enum ld_end end;
	int http_status;
	char text[LD_TEXT_BYTES];
};

struct ld_figures {
	struct ld_kind_figures kinds[LD_KINDS];
	struct ld_hist *between;
	struct ld_hist *accepted; ///< To "accepted", for booked work.
	uint64_t verdicts[3];
	uint64_t no_verdict; ///< Failed without a verdict.
	uint64_t tokens;
	uint64_t redirected; ///< Sent to the next entry, not run before.
	uint64_t resent;     ///< Sent again under the same key.
	uint64_t resumed;    ///< Streams taken up at another entry.
	uint64_t most_open;
	double seconds;
	uint32_t n_seconds;
	struct ld_second *by_second;
	uint32_t n_samples;
	struct ld_sample samples[LD_SAMPLES];
	json_t *servers; ///< What the stand-ins counted, or NULL.
};

const char *ld_end_name(enum ld_end end);
struct ld_figures *ld_figures_new(double duration_s);
void ld_figures_free(struct ld_figures *f);
struct ld_second *ld_figures_second(struct ld_figures *f, uint64_t at_us);
void ld_figures_sample(struct ld_figures *f, const struct ld_sample *sample);
json_t *ld_figures_json(const struct ld_figures *f);
json_t *ld_hist_json(const struct ld_hist *h);

#endif
