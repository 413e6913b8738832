#ifndef BENCH_ROUTE_SIM_H
#define BENCH_ROUTE_SIM_H

#include "bench/route_fake.h"
#include "bench/route_trace.h"
#include "route/admit.h"
#include "route/balancer.h"

/// Simulates a trace: entries, each with its own balancer and admission, send
/// requests to fake runners in simulated time.

enum sim_routing {
	SIM_ROUND_ROBIN,
	SIM_LEAST_LOADED, ///< By the balancer's load: report and own requests.
	SIM_COST,         ///< balancer_choose().
	SIM_ROUTINGS,
};

enum sim_admission {
	SIM_ADMIT_ALL,
	SIM_FIXED_LIMIT, ///< Of the requests in flight of each entry.
	SIM_ADAPTIVE,    ///< admit_offer().
	SIM_ADMISSIONS,
};

struct sim_config {
	enum sim_routing routing;
	enum sim_admission admission;
	uint32_t fixed_limit;
	uint32_t n_entries;
	uint32_t n_runners;
	uint32_t n_slow;        ///< Runners that are four times slower.
	double lost_poll_share; ///< Share of polls whose cache events are lost.
	uint64_t warm_up_us;    ///< Requests before it aren't measured.
	uint64_t seed;
	struct balancer_params balancer;
	struct admit_params admit;
	struct fake_params fake;
};

/// Results of a run, over the requests that arrive after the warm-up.
struct sim_result {
	size_t offered;
	size_t completed;
	size_t refused;
	size_t within_target; ///< First token within its target.
	double goodput_tokens_per_s;
	double offered_tokens_per_s;
	double prompt_tokens;
	double recomputed_tokens;
	double ttft_p50_ms;
	double ttft_p95_ms;
	double priority0_ttft_p95_ms; ///< Of priority 0.
	double inter_token_p95_ms;    ///< Of each request's mean.
	/// Tokens of requests within target over tokens offered; 1: no tokens.
	double within_target_share[TRACE_CUSTOMERS];
	double choose_us; ///< Processor time of balancer_choose().
};

extern const struct sim_config sim_defaults;

void sim_run(const struct sim_config *config, const struct trace *trace,
    struct sim_result *out);

#endif
