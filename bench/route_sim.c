#include "bench/route_sim.h"

#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/timerq.h"

#define POLL_INTERVAL_US (200 * USEC_PER_MSEC)
/// Output length that admission assumes of every request.
#define ASSUMED_OUTPUT_TOKENS 100
/// Share of its time-to-first-token target that a request may be queued.
#define MAX_QUEUE_SHARE 0.4

/// One entry.
struct sim_entry {
	struct balancer *balancer;
	struct admit *admit;
	struct rnd *rnd;
	handle_t *servers;
	size_t *events;       ///< Number of cache events read, by runner.
	uint32_t next_server; ///< Of SIM_ROUND_ROBIN.
	uint32_t in_flight;
	uint64_t poll_us; ///< Time of the next poll.
};

/// State of one request of the trace.
struct sim_request {
	uint32_t entry;
	handle_t ticket;         ///< Of admission.
	handle_t dispatch;       ///< Of the balancer.
	uint64_t first_token_us; ///< 0: not yet.
	uint64_t end_us;         ///< 0: not yet.
	uint32_t cached;         ///< Prompt tokens.
	bool refused;
};

struct sim {
	const struct sim_config *config;
	const struct trace *trace;
	struct fake_runner **runners;
	struct sim_entry *entries;
	struct sim_request *requests;
	double choose_s; ///< Processor time of `choices` choices.
	size_t choices;
};

const struct sim_config sim_defaults = {
	.routing = SIM_COST,
	.n_entries = 6,
	.n_runners = 20,
	.lost_poll_share = 0.05,
	.warm_up_us = 60 * USEC_PER_SEC,
	.fake = {
		.max_batch = 32,
		.cache_blocks = 8000,
		.kv_tokens = 200000,
		.chunk_tokens = 256,
		.step_us = 8000,
		.prefill_us = 80,
		.decode_us = 100,
		.report_delay_us = 300 * USEC_PER_MSEC,
		.slowdown = 1,
	},
};

static struct balancer_request
to_balancer_request(const struct trace_request *t)
{
	return (struct balancer_request){
		.pool = "desk",
		.blocks = t->blocks,
		.n_blocks = t->n_blocks,
		.prompt_tokens = (uint32_t)t->n_blocks * FAKE_BLOCK_TOKENS,
		.priority = t->priority,
	};
}

static handle_t
least_loaded(const struct sim *s, struct sim_entry *e, uint64_t now_us)
{
	const uint64_t first = rnd_below(e->rnd, s->config->n_runners);
	handle_t best = HANDLE_NONE;
	double load = 0;

	for (uint32_t i = 0; i < s->config->n_runners; i++) {
		const handle_t h =
		    e->servers[(first + i) % s->config->n_runners];
		struct balancer_server_stats v;

		(void)balancer_server_stats(e->balancer, now_us, h, &v);
		if (best == HANDLE_NONE || v.load < load) {
			best = h;
			load = v.load;
		}
	}
	return best;
}

static struct balancer_choice
choose_server(struct sim *s, struct sim_entry *e, uint64_t now_us,
    const struct balancer_request *request)
{
	struct balancer_choice c = { .recompute_tokens =
					 request->prompt_tokens };
	clock_t begin;

	assert(s->config->n_runners > 0);
	switch (s->config->routing) {
	case SIM_ROUND_ROBIN:
		c.server = e->servers[e->next_server++ % s->config->n_runners];
		break;
	case SIM_LEAST_LOADED:
		c.server = least_loaded(s, e, now_us);
		break;
	case SIM_COST:
	case SIM_ROUTINGS:
		begin = clock();
		(void)balancer_choose(e->balancer, now_us, e->rnd, request, &c);
		s->choose_s += (double)(clock() - begin) / CLOCKS_PER_SEC;
		s->choices++;
		return c;
	}
	c.tag = balancer_get(e->balancer, c.server)->tag;
	return c;
}

static void
dispatch_request(struct sim *s, uint64_t now_us, size_t id)
{
	const struct trace_request *t = &s->trace->requests[id];
	struct sim_request *f = &s->requests[id];
	struct sim_entry *e = &s->entries[f->entry];
	const struct balancer_request request = to_balancer_request(t);
	const struct balancer_choice c = choose_server(s, e, now_us, &request);
	const struct fake_job job = {
		.id = id,
		.blocks = t->blocks,
		.n_blocks = t->n_blocks,
		.prompt_tokens = request.prompt_tokens,
		.output_tokens = t->output_tokens,
		.priority = t->priority,
	};

	e->in_flight++;
	f->dispatch = balancer_begin(e->balancer, now_us, &request, &c);
	fake_submit(s->runners[c.tag], now_us, &job);
}

static void
handle_decision(struct sim *s, uint64_t now_us, const struct admit_decision *d)
{
	struct sim_request *f = &s->requests[d->tag];

	switch (d->action) {
	case ADMIT_START:
		f->ticket = d->ticket;
		dispatch_request(s, now_us, d->tag);
		return;
	case ADMIT_REFUSE:
		f->refused = true;
		return;
	case ADMIT_QUEUED:
	case ADMIT_NOTHING:
		return;
	}
}

static void
drain_queue(struct sim *s, struct sim_entry *e, uint64_t now_us)
{
	struct admit_decision d;

	if (s->config->admission != SIM_ADAPTIVE)
		return;
	for (;;) {
		admit_next(e->admit, now_us, &d);
		if (d.action == ADMIT_NOTHING)
			return;
		handle_decision(s, now_us, &d);
	}
}

static void
offer_request(struct sim *s, struct sim_entry *e, uint64_t now_us, size_t id)
{
	const struct trace_request *t = &s->trace->requests[id];
	const struct balancer_request request = to_balancer_request(t);
	const struct balancer_choice c = choose_server(s, e, now_us, &request);
	char customer[16];
	const uint64_t max_wait_us =
	    (uint64_t)((double)t->target_us * MAX_QUEUE_SHARE);
	const uint64_t deadline_start_us =
	    now_us + t->target_us - MIN(c.first_token_us, now_us);
	const struct admit_request a = {
		.customer = customer,
		.priority = t->priority,
		.tokens = c.recompute_tokens + ASSUMED_OUTPUT_TOKENS,
		.output_tokens = ASSUMED_OUTPUT_TOKENS,
		.latest_start_us = MIN(now_us + max_wait_us, deadline_start_us),
		.first_token_us = t->target_us,
		.tag = id,
	};
	struct admit_decision d;

	(void)snprintf(customer, sizeof(customer), "c%u", t->customer);
	admit_offer(e->admit, now_us, &a, &d);
	handle_decision(s, now_us, &d);
	drain_queue(s, e, now_us);
}

static void
on_arrival(struct sim *s, size_t id)
{
	const uint64_t now_us = s->trace->requests[id].at_us;
	struct sim_request *f = &s->requests[id];
	struct sim_entry *e;

	assert(s->config->n_entries > 0);
	f->entry = (uint32_t)(id % s->config->n_entries);
	e = &s->entries[f->entry];
	switch (s->config->admission) {
	case SIM_ADAPTIVE:
		offer_request(s, e, now_us, id);
		return;
	case SIM_FIXED_LIMIT:
		if (e->in_flight < s->config->fixed_limit)
			dispatch_request(s, now_us, id);
		else
			f->refused = true;
		return;
	case SIM_ADMIT_ALL:
	case SIM_ADMISSIONS:
		dispatch_request(s, now_us, id);
		return;
	}
}

static void
on_runner_event(void *arg, enum fake_event_kind kind, size_t id,
    uint64_t now_us, uint32_t cached)
{
	struct sim *s = arg;
	const struct trace_request *t = &s->trace->requests[id];
	struct sim_request *f = &s->requests[id];
	struct sim_entry *e = &s->entries[f->entry];

	if (kind == FAKE_FIRST_TOKEN) {
		f->first_token_us = now_us;
		f->cached = cached;
		balancer_first_token(e->balancer, now_us, f->dispatch);
		admit_first_token(e->admit, now_us, f->ticket);
		return;
	}
	f->end_us = now_us;
	e->in_flight--;
	balancer_end(e->balancer, now_us, f->dispatch, BALANCER_DONE,
	    t->output_tokens, cached);
	admit_end(e->admit, now_us, f->ticket,
	    (uint32_t)t->n_blocks * FAKE_BLOCK_TOKENS - cached +
		ASSUMED_OUTPUT_TOKENS,
	    false);
	drain_queue(s, e, now_us);
}

static void
poll_runner(
    struct sim *s, struct sim_entry *e, uint64_t now_us, uint32_t runner)
{
	const struct fake_runner *f = s->runners[runner];
	const struct fake_cache_event *events;
	const size_t n = fake_events(f, now_us, e->events[runner], &events);
	const handle_t server = e->servers[runner];
	struct balancer_report report;

	fake_report(f, now_us, &report);
	balancer_record_report(e->balancer, now_us, server, &report);
	e->events[runner] += n;
	if (rnd_unit(e->rnd) < s->config->lost_poll_share) {
		balancer_events_lost(
		    e->balancer, now_us, server, n == 0 ? 1 : n);
		return;
	}
	balancer_events_current(e->balancer, now_us, server);
	for (size_t i = 0; i < n; i++) {
		if (events[i].evict)
			balancer_block_evicted(
			    e->balancer, now_us, server, events[i].block);
		else
			balancer_block_stored(
			    e->balancer, now_us, server, events[i].block);
	}
}

static void
poll_all(struct sim *s, struct sim_entry *e)
{
	const uint64_t now_us = e->poll_us;

	for (uint32_t i = 0; i < s->config->n_runners; i++)
		poll_runner(s, e, now_us, i);
	drain_queue(s, e, now_us);
	e->poll_us += POLL_INTERVAL_US;
}

static void
make_entry(struct sim *s, uint32_t number)
{
	struct sim_entry *e = &s->entries[number];
	const uint32_t n = s->config->n_runners;

	e->balancer = balancer_new(&s->config->balancer);
	e->admit = admit_new(&s->config->admit);
	e->rnd = rnd_new(s->config->seed * 64 + number);
	e->servers = g_new0(handle_t, n);
	e->events = g_new0(size_t, n);
	e->poll_us = POLL_INTERVAL_US * (number + 1) / s->config->n_entries;
	e->next_server = (uint32_t)rnd_below(e->rnd, n);
	for (uint32_t i = 0; i < n; i++) {
		struct balancer_server_conf server = { .kind = BALANCER_RUNNER,
			.tag = i };

		(void)snprintf(server.name, sizeof(server.name), "r%u", i);
		(void)snprintf(server.pool, sizeof(server.pool), "desk");
		(void)snprintf(server.data_centre, sizeof(server.data_centre),
		    "dc%u", i % 3);
		e->servers[i] = balancer_set_server(e->balancer, 0, &server);
		balancer_set_data_centre(e->balancer, server.data_centre,
		    i % 3 == number % 3 ? 0 : 500, false);
	}
}

static void
free_entry(struct sim_entry *e)
{
	balancer_free(e->balancer);
	admit_free(e->admit);
	rnd_free(e->rnd);
	g_free(e->servers);
	g_free(e->events);
}

static struct fake_runner *
make_runner(struct sim *s, uint32_t number)
{
	struct fake_params p = s->config->fake;

	if (number < s->config->n_slow)
		p.slowdown *= 4;
	return fake_new(&p, on_runner_event, s);
}

/// Processes the earliest event: an arrival, a poll or the end of a step.
///
/// @return false when there is none before `stop_us`
static bool
process_next_event(struct sim *s, size_t *next, uint64_t stop_us)
{
	uint64_t at_us = UINT64_MAX;
	struct fake_runner *runner = NULL;
	struct sim_entry *poll = NULL;

	if (*next < s->trace->n)
		at_us = s->trace->requests[*next].at_us;
	for (uint32_t i = 0; i < s->config->n_entries; i++) {
		if (s->entries[i].poll_us < at_us) {
			poll = &s->entries[i];
			at_us = poll->poll_us;
		}
	}
	for (uint32_t i = 0; i < s->config->n_runners; i++) {
		if (fake_next_us(s->runners[i]) < at_us) {
			runner = s->runners[i];
			at_us = fake_next_us(runner);
		}
	}
	if (at_us >= stop_us)
		return false;
	if (runner != NULL)
		fake_step(runner);
	else if (poll != NULL)
		poll_all(s, poll);
	else
		on_arrival(s, (*next)++);
	return true;
}

static int
compare_values(const void *a, const void *b)
{
	const double x = *(const double *)a;
	const double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double
quantile(GArray *values, double q)
{
	if (values->len == 0)
		return 0;
	qsort(values->data, values->len, sizeof(double), compare_values);
	return g_array_index(
	    values, double, (size_t)((double)(values->len - 1) * q));
}

static void
compute_results(const struct sim *s, struct sim_result *out)
{
	GArray *ttft = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *priority0_ttft = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *inter_token = g_array_new(FALSE, FALSE, sizeof(double));
	double offered_tokens[TRACE_CUSTOMERS] = { 0 };
	double within_target_tokens[TRACE_CUSTOMERS] = { 0 };
	const double span_s =
	    (double)(s->trace->end_us - s->config->warm_up_us) / USEC_PER_SEC;

	for (size_t i = 0; i < s->trace->n; i++) {
		const struct trace_request *t = &s->trace->requests[i];
		const struct sim_request *f = &s->requests[i];
		const double prompt = (double)t->n_blocks * FAKE_BLOCK_TOKENS;
		const double tokens = prompt + t->output_tokens;
		double ms, inter_token_ms;

		if (t->at_us < s->config->warm_up_us ||
		    t->at_us >= s->trace->end_us)
			continue;
		out->offered++;
		out->refused += f->refused;
		out->offered_tokens_per_s += tokens / span_s;
		offered_tokens[t->customer] += tokens;
		if (f->refused)
			continue;
		/* One without a first token counts as the end of the run. */
		ms = (double)((f->first_token_us == 0 ? s->trace->end_us * 2
						      : f->first_token_us) -
			 t->at_us) /
		    USEC_PER_MSEC;
		g_array_append_val(ttft, ms);
		if (t->priority == 0)
			g_array_append_val(priority0_ttft, ms);
		out->prompt_tokens += prompt;
		out->recomputed_tokens += prompt - f->cached;
		if (f->end_us == 0)
			continue;
		out->completed++;
		inter_token_ms = (double)(f->end_us - f->first_token_us) /
		    USEC_PER_MSEC / (t->output_tokens - 1);
		g_array_append_val(inter_token, inter_token_ms);
		if (f->first_token_us - t->at_us > t->target_us)
			continue;
		out->within_target++;
		within_target_tokens[t->customer] += tokens;
		out->goodput_tokens_per_s += tokens / span_s;
	}
	out->ttft_p50_ms = quantile(ttft, 0.5);
	out->ttft_p95_ms = quantile(ttft, 0.95);
	out->priority0_ttft_p95_ms = quantile(priority0_ttft, 0.95);
	out->inter_token_p95_ms = quantile(inter_token, 0.95);
	for (size_t i = 0; i < TRACE_CUSTOMERS; i++)
		out->within_target_share[i] = offered_tokens[i] > 0
		    ? within_target_tokens[i] / offered_tokens[i]
		    : 1;
	out->choose_us =
	    s->choices == 0 ? 0 : s->choose_s * 1e6 / (double)s->choices;
	(void)g_array_free(ttft, TRUE);
	(void)g_array_free(priority0_ttft, TRUE);
	(void)g_array_free(inter_token, TRUE);
}

/// Runs a trace. After its end, the requests in flight get as much time again
/// to finish.
void
sim_run(const struct sim_config *config, const struct trace *trace,
    struct sim_result *out)
{
	struct sim s = { .config = config, .trace = trace };
	size_t next = 0;

	s.runners = g_new0(struct fake_runner *, config->n_runners);
	s.entries = g_new0(struct sim_entry, config->n_entries);
	s.requests = g_new0(struct sim_request, trace->n);
	for (uint32_t i = 0; i < config->n_runners; i++)
		s.runners[i] = make_runner(&s, i);
	for (uint32_t i = 0; i < config->n_entries; i++)
		make_entry(&s, i);
	while (process_next_event(&s, &next, trace->end_us * 2))
		continue;
	*out = (struct sim_result){ 0 };
	compute_results(&s, out);
	for (uint32_t i = 0; i < config->n_runners; i++)
		fake_free(s.runners[i]);
	for (uint32_t i = 0; i < config->n_entries; i++)
		free_entry(&s.entries[i]);
	g_free(s.runners);
	g_free(s.entries);
	g_free(s.requests);
}
