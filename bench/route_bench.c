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

/// One desk under one load.
struct scene {
	const char *name;
	enum desk desk;
	uint32_t n_runners;
	uint32_t n_slow;
	double rate_per_s;
};

static const struct scene scenes[] = {
	{ "vanilla", DESK_VANILLA, 20, 0, 16 },
	{ "vanilla_busy", DESK_VANILLA, 20, 0, 28 },
	{ "vanilla_slow", DESK_VANILLA, 20, 2, 16 },
	{ "carpet", DESK_CARPET, 10, 0, 3 },
	{ "carpet_busy", DESK_CARPET, 10, 0, 5 },
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

/// Mean and spread of one figure over the seeds.
struct figure {
	double sum;
	double low;
	double high;
	size_t n;
};

static void
add_figure(struct figure *f, double x)
{
	f->sum += x;
	f->low = f->n == 0 ? x : fmin(f->low, x);
	f->high = f->n == 0 ? x : fmax(f->high, x);
	f->n++;
}

static void
print_figure(const char *name, const struct figure *f)
{
	printf(" %s=%.3g[%.3g..%.3g]", name, f->sum / (double)f->n, f->low,
	    f->high);
}

static struct sim_config
config_of(const struct scene *scene, uint64_t seed)
{
	struct sim_config c = sim_defaults;

	c.n_runners = scene->n_runners;
	c.n_slow = scene->n_slow;
	c.seed = seed;
	c.ro = balancer_defaults;
	c.ad = admit_defaults;
	return c;
}

/// Share of the measured prompts that no cache can hold: blocks that were
/// never sent before.
static double
least_share(const struct trace *t)
{
	GHashTable *seen = g_hash_table_new(g_direct_hash, g_direct_equal);
	size_t all = 0;
	size_t new = 0;

	for (size_t i = 0; i < t->n; i++) {
		const struct trace_request *r = &t->requests[i];
		const bool counts =
		    r->at_us >= sim_defaults.warm_up_us && r->at_us < t->end_us;

		for (size_t k = 0; k < r->n_blocks; k++) {
			const bool added = g_hash_table_add(
			    seen, GSIZE_TO_POINTER(r->blocks[k]));

			all += counts;
			new += counts &&added;
		}
	}
	g_hash_table_destroy(seen);
	return (double)new / (double)all;
}

static void
compare_routings(const struct scene *scene, uint64_t seed)
{
	struct figure share[SIM_ROUTINGS] = { 0 };
	struct figure against[SIM_ROUTINGS] = { 0 };
	struct figure p50[SIM_ROUTINGS] = { 0 };
	struct figure p95[SIM_ROUTINGS] = { 0 };
	struct figure quick[SIM_ROUTINGS] = { 0 };
	struct figure between[SIM_ROUTINGS] = { 0 };
	struct figure least = { 0 };

	for (uint64_t i = 0; i < SEEDS; i++) {
		struct trace *t = trace_new(
		    scene->desk, seed + i, scene->rate_per_s, TRACE_US);
		double round_robin = 1;

		add_figure(&least, least_share(t));

		for (int r = 0; r < SIM_ROUTINGS; r++) {
			struct sim_config c = config_of(scene, seed + i);
			struct sim_result x;

			c.routing = r;
			sim_run(&c, t, &x);
			if (r == SIM_ROUND_ROBIN)
				round_robin = x.recomputed_tokens;
			add_figure(
			    &share[r], x.recomputed_tokens / x.prompt_tokens);
			add_figure(
			    &against[r], x.recomputed_tokens / round_robin);
			add_figure(&p50[r], x.first_p50_ms);
			add_figure(&p95[r], x.first_p95_ms);
			add_figure(&quick[r], x.quick_p95_ms);
			add_figure(&between[r], x.between_p95_ms);
		}
		trace_free(t);
	}
	printf("scene=%s", scene->name);
	print_figure("least_recomputed_share", &least);
	printf("\n");
	for (int r = 0; r < SIM_ROUTINGS; r++) {
		printf("scene=%s routing=%s", scene->name, routing_names[r]);
		print_figure("recomputed_share", &share[r]);
		print_figure("of_round_robin", &against[r]);
		print_figure("first_p50_ms", &p50[r]);
		print_figure("first_p95_ms", &p95[r]);
		print_figure("quick_p95_ms", &quick[r]);
		print_figure("between_p95_ms", &between[r]);
		printf("\n");
	}
}

/// Routing policies over the same traces, paired by seed.
int
bench_route_policy(uint64_t seed)
{
	for (size_t i = 0; i < sizeof(scenes) / sizeof(scenes[0]); i++) {
		compare_routings(&scenes[i], seed);
		(void)fflush(stdout);
	}
	printf("runs=%d seeds=%d\n",
	    (int)((size_t)SEEDS * SIM_ROUTINGS * sizeof(scenes) /
		sizeof(scenes[0])),
	    SEEDS);
	return 0;
}

#define ADMISSION_SEEDS 3
#define FIXED_LIMIT 80

static void
compare_admissions(const struct scene *scene, double factor, uint64_t seed)
{
	struct figure good[SIM_ADMISSIONS] = { 0 };
	struct figure offered[SIM_ADMISSIONS] = { 0 };
	struct figure refused[SIM_ADMISSIONS] = { 0 };
	struct figure p95[SIM_ADMISSIONS] = { 0 };
	struct figure worst[SIM_ADMISSIONS] = { 0 };

	for (uint64_t i = 0; i < ADMISSION_SEEDS; i++) {
		struct trace *t = trace_new(scene->desk, seed + i,
		    scene->rate_per_s * factor, TRACE_US);

		for (int a = 0; a < SIM_ADMISSIONS; a++) {
			struct sim_config c = config_of(scene, seed + i);
			struct sim_result x;
			double least = 1;

			c.admission = a;
			c.fixed_limit = FIXED_LIMIT;
			sim_run(&c, t, &x);
			for (int k = 0; k < TRACE_CUSTOMERS; k++)
				least = fmin(least, x.good_share[k]);
			add_figure(&good[a], x.good_tokens_per_s);
			add_figure(&offered[a], x.offered_tokens_per_s);
			add_figure(
			    &refused[a], (double)x.refused / (double)x.offered);
			add_figure(&p95[a], x.first_p95_ms);
			add_figure(&worst[a], least);
		}
		trace_free(t);
	}
	for (int a = 0; a < SIM_ADMISSIONS; a++) {
		printf("scene=%s load=%.1f admission=%s", scene->name, factor,
		    admission_names[a]);
		print_figure("good_tokens_per_s", &good[a]);
		print_figure("offered_tokens_per_s", &offered[a]);
		print_figure("refused_share", &refused[a]);
		print_figure("first_p95_ms", &p95[a]);
		print_figure("worst_customer_good", &worst[a]);
		printf("\n");
	}
}

/// Goodput past capacity: no limit, a fixed limit, and ours.
int
bench_admission(uint64_t seed)
{
	static const struct scene full[] = {
		{ "vanilla", DESK_VANILLA, 20, 0, 70 },
		{ "carpet", DESK_CARPET, 10, 0, 8 },
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

/// Processor time of a choice among 200 servers.
int
bench_route_choose(uint64_t seed)
{
	struct balancer *r = balancer_new(&balancer_defaults);
	struct rnd *rnd = rnd_new(seed);
	static uint64_t blocks[64][CHOOSE_BLOCKS];
	uint64_t begun_ns = 0;
	struct timespec a, b;
	uint64_t choose_ns = 0;

	fill_servers(r);
	for (size_t i = 0; i < 64; i++) {
		for (size_t k = 0; k < CHOOSE_BLOCKS; k++)
			blocks[i][k] = k < 12 ? k + 1 : rnd_u64(rnd);
	}
	for (uint64_t i = 0; i < CHOOSE_RUNS; i++) {
		struct balancer_request ask = { .pool = "desk",
			.blocks = blocks[i % 64],
			.n_blocks = i % 4 == 0 ? CHOOSE_BLOCKS : 20,
			.prompt_tokens = i % 4 == 0 ? 16000 : 320 };
		struct balancer_choice c;
		handle_t d;

		(void)clock_gettime(CLOCK_MONOTONIC, &a);
		(void)balancer_choose(r, i * 1000, rnd, &ask, &c);
		(void)clock_gettime(CLOCK_MONOTONIC, &b);
		choose_ns += (uint64_t)(b.tv_sec - a.tv_sec) * 1000000000ULL +
		    (uint64_t)b.tv_nsec - (uint64_t)a.tv_nsec;
		d = balancer_begin(r, i * 1000, &ask, &c);
		balancer_first_token(r, i * 1000 + 500, d);
		balancer_end(
		    r, i * 1000 + 900, d, BALANCER_DONE, 50, UINT32_MAX);
		(void)clock_gettime(CLOCK_MONOTONIC, &a);
		begun_ns += (uint64_t)(a.tv_sec - b.tv_sec) * 1000000000ULL +
		    (uint64_t)a.tv_nsec - (uint64_t)b.tv_nsec;
	}
	printf("servers=%d choices=%d choose_us=%.2f begin_to_end_us=%.2f\n",
	    CHOOSE_SERVERS, CHOOSE_RUNS, (double)choose_ns / 1000 / CHOOSE_RUNS,
	    (double)begun_ns / 1000 / CHOOSE_RUNS);
	balancer_free(r);
	rnd_free(rnd);
	return 0;
}
