#ifndef BENCH_ROUTE_SIM_H
#define BENCH_ROUTE_SIM_H

#include "bench/route_fake.h"
#include "bench/route_trace.h"
#include "route/admit.h"
#include "route/balancer.h"

/// One run of a trace: some entries, each with its own decisions, before
/// fake runners, in simulated time.

enum sim_routing {
	SIM_ROUND_ROBIN,
	SIM_LEAST_LOADED, ///< By report and own requests, as our load.
	SIM_COST,         ///< balancer_choose().
	SIM_ROUTINGS,
};

enum sim_admission {
	SIM_ADMIT_ALL,
	SIM_FIXED_LIMIT, ///< Requests in flight, for each entry.
	SIM_ADAPTIVE,    ///< admit_offer().
	SIM_ADMISSIONS,
};

struct sim_config {
	enum sim_routing routing;
	enum sim_admission admission;
	uint32_t fixed_limit;
	uint32_t n_entries;
	uint32_t n_runners;
	uint32_t n_slow;     ///< Runners that become four times slower.
	double gap_share;    ///< Polls of cache events that are lost.
	uint64_t warm_up_us; ///< Requests before it aren't measured.
	uint64_t seed;
	struct balancer_params ro;
	struct admit_params ad;
	struct fake_params fake;
};

struct sim_result {
	size_t offered;
	size_t answered;
	size_t refused;
	size_t good; ///< First token within the target.
	double good_tokens_per_s;
	double offered_tokens_per_s;
	double prompt_tokens;
	double recomputed_tokens;
	double first_p50_ms;
	double first_p95_ms;
	double quick_p95_ms;   ///< Of priority 0.
	double between_p95_ms; ///< Mean of a request between tokens.
	double good_share[TRACE_CUSTOMERS];
	double choose_us; ///< Processor time of a choice.
};

extern const struct sim_config sim_defaults;

void sim_run(const struct sim_config *config, const struct trace *trace,
    struct sim_result *out);

#endif
