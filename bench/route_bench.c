#include "bench/route_bench.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/timerq.h"
#include "bench/route_sim.h"

#define SEEDS 10
#define TRACE_US (180 * USEC_PER_SEC)

/// One workload at one rate.
struct scenario {
	const char *name;
	enum workload workload;
	uint32_t n_runners;
	uint32_t n_slow;
	double rate_per_s; ///< Of arrivals; one may be a conversation.
};

static const struct scenario scenarios[] = {
	{ "vanilla", WORKLOAD_VANILLA, 20, 0, 16 },
	{ "vanilla_busy", WORKLOAD_VANILLA, 20, 0, 28 },
	{ "vanilla_slow", WORKLOAD_VANILLA, 20, 2, 16 },
	{ "carpet", WORKLOAD_CARPET, 10, 0, 3 },
	{ "carpet_busy", WORKLOAD_CARPET, 10, 0, 5 },
};

static const char *const routing_names[SIM_ROUTINGS] = {
	[SIM_ROUND_ROBIN] = "round_robin",
	[SIM_LEAST_LOADED] = "least_loaded",
	[SIM_COST] = "ours",
};

static const char *const admission_names[SIM_ADMISSIONS] = {
	[SIM_ADMIT_ALL] = "none",
	[SIM_FIXED_LIMIT] = "fixed",
	[SIM_ADAPTIVE] = "ours",
};

/// Mean and range of one result over the seeds.
struct summary {
	double sum;
	double low;
	double high;
	size_t n;
};

static void
summary_add(struct summary *f, double x)
{
	f->sum += x;
	f->low = f->n == 0 ? x : fmin(f->low, x);
	f->high = f->n == 0 ? x : fmax(f->high, x);
	f->n++;
}

static void
print_summary(const char *name, const struct summary *f)
{
	printf(" %s=%.3g[%.3g..%.3g]", name, f->sum / (double)f->n, f->low,
	    f->high);
}

static struct sim_config
make_config(const struct scenario *scenario, uint64_t seed)
{
	struct sim_config c = sim_defaults;

	c.n_runners = scenario->n_runners;
	c.n_slow = scenario->n_slow;
	c.seed = seed;
	c.balancer = balancer_defaults;
	c.admit = admit_defaults;
	return c;
}

/// Returns the share of the measured prompt blocks that no cache can hold, as
/// they were never sent before. No routing recomputes less.
static double
uncacheable_share(const struct trace *t)
{
	GHashTable *seen = g_hash_table_new(g_direct_hash, g_direct_equal);
	size_t all_blocks = 0;
	size_t new_blocks = 0;

	for (size_t i = 0; i < t->n; i++) {
		const struct trace_request *r = &t->requests[i];
		const bool measured =
		    r->at_us >= sim_defaults.warm_up_us && r->at_us < t->end_us;

		for (size_t k = 0; k < r->n_blocks; k++) {
			const bool is_new = g_hash_table_add(
			    seen, GSIZE_TO_POINTER(r->blocks[k]));

			all_blocks += measured;
			new_blocks += measured && is_new;
		}
	}
	g_hash_table_destroy(seen);
	return (double)new_blocks / (double)all_blocks;
}

static void
compare_routings(const struct scenario *scenario, uint64_t seed)
{
	struct summary share[SIM_ROUTINGS] = { 0 };
	struct summary vs_round_robin[SIM_ROUTINGS] = { 0 };
	struct summary p50[SIM_ROUTINGS] = { 0 };
	struct summary p95[SIM_ROUTINGS] = { 0 };
	struct summary priority0_p95[SIM_ROUTINGS] = { 0 };
	struct summary inter_token[SIM_ROUTINGS] = { 0 };
	struct summary uncacheable = { 0 };

	for (uint64_t i = 0; i < SEEDS; i++) {
		struct trace *t = trace_new(scenario->workload, seed + i,
		    scenario->rate_per_s, TRACE_US);
		double round_robin = 1;

		summary_add(&uncacheable, uncacheable_share(t));

		for (int r = 0; r < SIM_ROUTINGS; r++) {
			struct sim_config c = make_config(scenario, seed + i);
			struct sim_result x;

			c.routing = r;
			sim_run(&c, t, &x);
			if (r == SIM_ROUND_ROBIN)
				round_robin = x.recomputed_tokens;
			summary_add(
			    &share[r], x.recomputed_tokens / x.prompt_tokens);
			summary_add(&vs_round_robin[r],
			    x.recomputed_tokens / round_robin);
			summary_add(&p50[r], x.ttft_p50_ms);
			summary_add(&p95[r], x.ttft_p95_ms);
			summary_add(&priority0_p95[r], x.priority0_ttft_p95_ms);
			summary_add(&inter_token[r], x.inter_token_p95_ms);
		}
		trace_free(t);
	}
	printf("scene=%s", scenario->name);
	print_summary("least_recomputed_share", &uncacheable);
	printf("\n");
	for (int r = 0; r < SIM_ROUTINGS; r++) {
		printf("scene=%s routing=%s", scenario->name, routing_names[r]);
		print_summary("recomputed_share", &share[r]);
		print_summary("of_round_robin", &vs_round_robin[r]);
		print_summary("first_p50_ms", &p50[r]);
		print_summary("first_p95_ms", &p95[r]);
		print_summary("quick_p95_ms", &priority0_p95[r]);
		print_summary("between_p95_ms", &inter_token[r]);
		printf("\n");
	}
}

/// Compares routing policies over the same traces, paired by seed.
int
bench_route_policy(uint64_t seed)
{
	for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		compare_routings(&scenarios[i], seed);
		(void)fflush(stdout);
	}
	printf("runs=%d seeds=%d\n",
	    (int)((size_t)SEEDS * SIM_ROUTINGS * sizeof(scenarios) /
		sizeof(scenarios[0])),
	    SEEDS);
	return 0;
}

#define ADMISSION_SEEDS 3
#define FIXED_LIMIT 80

static void
compare_admissions(
    const struct scenario *scenario, double factor, uint64_t seed)
{
	struct summary goodput[SIM_ADMISSIONS] = { 0 };
	struct summary offered[SIM_ADMISSIONS] = { 0 };
	struct summary refused[SIM_ADMISSIONS] = { 0 };
	struct summary p95[SIM_ADMISSIONS] = { 0 };
	struct summary worst_customer[SIM_ADMISSIONS] = { 0 };

	for (uint64_t i = 0; i < ADMISSION_SEEDS; i++) {
		struct trace *t = trace_new(scenario->workload, seed + i,
		    scenario->rate_per_s * factor, TRACE_US);

		for (int a = 0; a < SIM_ADMISSIONS; a++) {
			struct sim_config c = make_config(scenario, seed + i);
			struct sim_result x;
			double worst_share = 1;

			c.admission = a;
			c.fixed_limit = FIXED_LIMIT;
			sim_run(&c, t, &x);
			for (int k = 0; k < TRACE_CUSTOMERS; k++)
				worst_share =
				    fmin(worst_share, x.within_target_share[k]);
			summary_add(&goodput[a], x.goodput_tokens_per_s);
			summary_add(&offered[a], x.offered_tokens_per_s);
			summary_add(
			    &refused[a], (double)x.refused / (double)x.offered);
			summary_add(&p95[a], x.ttft_p95_ms);
			summary_add(&worst_customer[a], worst_share);
		}
		trace_free(t);
	}
	for (int a = 0; a < SIM_ADMISSIONS; a++) {
		printf("scene=%s load=%.1f admission=%s", scenario->name,
		    factor, admission_names[a]);
		print_summary("good_tokens_per_s", &goodput[a]);
		print_summary("offered_tokens_per_s", &offered[a]);
		print_summary("refused_share", &refused[a]);
		print_summary("first_p95_ms", &p95[a]);
		print_summary("worst_customer_good", &worst_customer[a]);
		printf("\n");
	}
}

/// Goodput at one to three times capacity: without a limit, with a fixed limit,
/// and with adaptive admission.
int
bench_admission(uint64_t seed)
{
	static const struct scenario full[] = {
		{ "vanilla", WORKLOAD_VANILLA, 20, 0, 70 },
		{ "carpet", WORKLOAD_CARPET, 10, 0, 8 },
	};

	for (size_t i = 0; i < 2; i++) {
		for (int f = 1; f <= 3; f++) {
			compare_admissions(&full[i], f, seed);
			(void)fflush(stdout);
		}
	}
	printf("seeds=%d\n", ADMISSION_SEEDS);
	return 0;
}

#define CHOOSE_SERVERS 200
#define CHOOSE_RUNS 20000
#define CHOOSE_BLOCKS 1000

static void
fill_servers(struct balancer *r)
{
	for (uint32_t i = 0; i < CHOOSE_SERVERS; i++) {
		struct balancer_server_conf s = { .kind = BALANCER_RUNNER,
			.tag = i };

		(void)snprintf(s.name, sizeof(s.name), "r%u", i);
		(void)snprintf(s.pool, sizeof(s.pool), "desk");
		(void)snprintf(
		    s.data_centre, sizeof(s.data_centre), "dc%u", i % 13);
		(void)balancer_set_server(r, 0, &s);
	}
}

/// Processor time of a choice among 200 servers, and of recording its request.
int
bench_route_choose(uint64_t seed)
{
	struct balancer *r = balancer_new(&balancer_defaults);
	struct rnd *rnd = rnd_new(seed);
	static uint64_t blocks[64][CHOOSE_BLOCKS];
	uint64_t begin_to_end_ns = 0;
	struct timespec a, b;
	uint64_t choose_ns = 0;

	fill_servers(r);
	for (size_t i = 0; i < 64; i++) {
		for (size_t k = 0; k < CHOOSE_BLOCKS; k++)
			blocks[i][k] = k < 12 ? k + 1 : rnd_u64(rnd);
	}
	for (uint64_t i = 0; i < CHOOSE_RUNS; i++) {
		struct balancer_request request = { .pool = "desk",
			.blocks = blocks[i % 64],
			.n_blocks = i % 4 == 0 ? CHOOSE_BLOCKS : 20,
			.prompt_tokens = i % 4 == 0 ? 16000 : 320 };
		struct balancer_choice c;
		handle_t d;

		(void)clock_gettime(CLOCK_MONOTONIC, &a);
		(void)balancer_choose(r, i * 1000, rnd, &request, &c);
		(void)clock_gettime(CLOCK_MONOTONIC, &b);
		choose_ns += (uint64_t)(b.tv_sec - a.tv_sec) * 1000000000ULL +
		    (uint64_t)b.tv_nsec - (uint64_t)a.tv_nsec;
		d = balancer_begin(r, i * 1000, &request, &c);
		balancer_first_token(r, i * 1000 + 500, d);
		balancer_end(
		    r, i * 1000 + 900, d, BALANCER_DONE, 50, UINT32_MAX);
		(void)clock_gettime(CLOCK_MONOTONIC, &a);
		begin_to_end_ns +=
		    (uint64_t)(a.tv_sec - b.tv_sec) * 1000000000ULL +
		    (uint64_t)a.tv_nsec - (uint64_t)b.tv_nsec;
	}
	printf("servers=%d choices=%d choose_us=%.2f begin_to_end_us=%.2f\n",
	    CHOOSE_SERVERS, CHOOSE_RUNS, (double)choose_ns / 1000 / CHOOSE_RUNS,
	    (double)begin_to_end_ns / 1000 / CHOOSE_RUNS);
	balancer_free(r);
	rnd_free(rnd);
	return 0;
}
