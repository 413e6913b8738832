#include "bench/route_sim.h"

#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/timerq.h"

#define POLL_US (200 * USEC_PER_MSEC)
#define OUTPUT_GUESS 100
#define START_SHARE 0.4 ///< Of a target, that may be spent in the queue.

struct sim_entry {
	struct balancer *ro;
	struct admit *ad;
	struct rnd *rnd;
	handle_t *servers;
	size_t *events; ///< Next cache event, for each runner.
	uint32_t turn;
	uint32_t in_flight;
	uint64_t poll_us;
};

struct flight {
	uint32_t entry;
	handle_t ticket;
	handle_t dispatch;
	uint64_t first_us;
	uint64_t end_us;
	uint32_t cached;
	bool refused;
};

struct sim {
	const struct sim_config *config;
	const struct trace *trace;
	struct fake **runners;
	struct sim_entry *entries;
	struct flight *flights;
	double choose_s;
	size_t choices;
};

const struct sim_config sim_defaults = {
	.routing = SIM_COST,
	.n_entries = 6,
	.n_runners = 20,
	.gap_share = 0.05,
	.warm_up_us = 60 * USEC_PER_SEC,
	.fake = {
		.max_batch = 32,
		.cache_blocks = 8000,
		.kv_tokens = 200000,
		.chunk_tokens = 256,
		.step_us = 8000,
		.prefill_us = 80,
		.decode_us = 100,
		.lag_us = 300 * USEC_PER_MSEC,
		.slow = 1,
	},
};

static struct balancer_request
ask_of(const struct trace_request *t)
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

		(void)balancer_server_stats(e->ro, now_us, h, &v);
		if (best == HANDLE_NONE || v.load < load) {
			best = h;
			load = v.load;
		}
	}
	return best;
}

static struct balancer_choice
choose(struct sim *s, struct sim_entry *e, uint64_t now_us,
    const struct balancer_request *ask)
{
	struct balancer_choice c = { .recompute_tokens = ask->prompt_tokens };
	clock_t begin;

	assert(s->config->n_runners > 0);
	switch (s->config->routing) {
	case SIM_ROUND_ROBIN:
		c.server = e->servers[e->turn++ % s->config->n_runners];
		break;
	case SIM_LEAST_LOADED:
		c.server = least_loaded(s, e, now_us);
		break;
	case SIM_COST:
	case SIM_ROUTINGS:
		begin = clock();
		(void)balancer_choose(e->ro, now_us, e->rnd, ask, &c);
		s->choose_s += (double)(clock() - begin) / CLOCKS_PER_SEC;
		s->choices++;
		return c;
	}
	c.tag = balancer_get(e->ro, c.server)->tag;
	return c;
}

static void
send(struct sim *s, uint64_t now_us, size_t id)
{
	const struct trace_request *t = &s->trace->requests[id];
	struct flight *f = &s->flights[id];
	struct sim_entry *e = &s->entries[f->entry];
	const struct balancer_request ask = ask_of(t);
	const struct balancer_choice c = choose(s, e, now_us, &ask);
	const struct fake_job job = {
		.id = id,
		.blocks = t->blocks,
		.n_blocks = t->n_blocks,
		.prompt_tokens = ask.prompt_tokens,
		.output_tokens = t->output_tokens,
		.priority = t->priority,
	};

	e->in_flight++;
	f->dispatch = balancer_begin(e->ro, now_us, &ask, &c);
	fake_submit(s->runners[c.tag], now_us, &job);
}

static void
handle(struct sim *s, uint64_t now_us, const struct admit_decision *d)
{
	struct flight *f = &s->flights[d->tag];

	switch (d->action) {
	case ADMIT_START:
		f->ticket = d->ticket;
		send(s, now_us, d->tag);
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
		admit_next(e->ad, now_us, &d);
		if (d.action == ADMIT_NOTHING)
			return;
		handle(s, now_us, &d);
	}
}

static void
offer(struct sim *s, struct sim_entry *e, uint64_t now_us, size_t id)
{
	const struct trace_request *t = &s->trace->requests[id];
	const struct balancer_request ask = ask_of(t);
	const struct balancer_choice c = choose(s, e, now_us, &ask);
	char customer[16];
	const uint64_t most_us = (uint64_t)((double)t->target_us * START_SHARE);
	const uint64_t slack_us =
	    now_us + t->target_us - MIN(c.first_token_us, now_us);
	const struct admit_request a = {
		.customer = customer,
		.priority = t->priority,
		.tokens = c.recompute_tokens + OUTPUT_GUESS,
		.output_tokens = OUTPUT_GUESS,
		.latest_start_us = MIN(now_us + most_us, slack_us),
		.first_token_us = t->target_us,
		.tag = id,
	};
	struct admit_decision d;

	(void)snprintf(customer, sizeof(customer), "c%u", t->customer);
	admit_offer(e->ad, now_us, &a, &d);
	handle(s, now_us, &d);
	drain_queue(s, e, now_us);
}

static void
arrive(struct sim *s, size_t id)
{
	const uint64_t now_us = s->trace->requests[id].at_us;
	struct flight *f = &s->flights[id];
	struct sim_entry *e;

	assert(s->config->n_entries > 0);
	f->entry = (uint32_t)(id % s->config->n_entries);
	e = &s->entries[f->entry];
	switch (s->config->admission) {
	case SIM_ADAPTIVE:
		offer(s, e, now_us, id);
		return;
	case SIM_FIXED_LIMIT:
		if (e->in_flight < s->config->fixed_limit)
			send(s, now_us, id);
		else
			f->refused = true;
		return;
	case SIM_ADMIT_ALL:
	case SIM_ADMISSIONS:
		send(s, now_us, id);
		return;
	}
}

static void
on_runner(void *arg, enum fake_event_kind kind, size_t id, uint64_t now_us,
    uint32_t cached)
{
	struct sim *s = arg;
	const struct trace_request *t = &s->trace->requests[id];
	struct flight *f = &s->flights[id];
	struct sim_entry *e = &s->entries[f->entry];

	if (kind == FAKE_FIRST) {
		f->first_us = now_us;
		f->cached = cached;
		balancer_first_token(e->ro, now_us, f->dispatch);
		admit_first_token(e->ad, now_us, f->ticket);
		return;
	}
	f->end_us = now_us;
	e->in_flight--;
	balancer_end(e->ro, now_us, f->dispatch, BALANCER_DONE,
	    t->output_tokens, cached);
	admit_end(e->ad, now_us, f->ticket,
	    (uint32_t)t->n_blocks * FAKE_BLOCK_TOKENS - cached + OUTPUT_GUESS,
	    false);
	drain_queue(s, e, now_us);
}

static void
poll_runner(
    struct sim *s, struct sim_entry *e, uint64_t now_us, uint32_t runner)
{
	const struct fake *f = s->runners[runner];
	const struct fake_cache_event *events;
	const size_t n = fake_events(f, now_us, e->events[runner], &events);
	const handle_t server = e->servers[runner];
	struct balancer_report report;

	fake_report(f, now_us, &report);
	balancer_record_report(e->ro, now_us, server, &report);
	e->events[runner] += n;
	if (rnd_unit(e->rnd) < s->config->gap_share) {
		balancer_events_lost(e->ro, now_us, server, n == 0 ? 1 : n);
		return;
	}
	balancer_events_current(e->ro, now_us, server);
	for (size_t i = 0; i < n; i++) {
		if (events[i].evict)
			balancer_block_evicted(
			    e->ro, now_us, server, events[i].block);
		else
			balancer_block_stored(
			    e->ro, now_us, server, events[i].block);
	}
}

static void
poll_all(struct sim *s, struct sim_entry *e)
{
	const uint64_t now_us = e->poll_us;

	for (uint32_t i = 0; i < s->config->n_runners; i++)
		poll_runner(s, e, now_us, i);
	drain_queue(s, e, now_us);
	e->poll_us += POLL_US;
}

static void
make_entry(struct sim *s, uint32_t number)
{
	struct sim_entry *e = &s->entries[number];
	const uint32_t n = s->config->n_runners;

	e->ro = balancer_new(&s->config->ro);
	e->ad = admit_new(&s->config->ad);
	e->rnd = rnd_new(s->config->seed * 64 + number);
	e->servers = g_new0(handle_t, n);
	e->events = g_new0(size_t, n);
	e->poll_us = POLL_US * (number + 1) / s->config->n_entries;
	e->turn = (uint32_t)rnd_below(e->rnd, n);
	for (uint32_t i = 0; i < n; i++) {
		struct balancer_server_conf server = { .kind = BALANCER_RUNNER,
			.tag = i };

		(void)snprintf(server.name, sizeof(server.name), "r%u", i);
		(void)snprintf(server.pool, sizeof(server.pool), "desk");
		(void)snprintf(server.data_centre, sizeof(server.data_centre),
		    "dc%u", i % 3);
		e->servers[i] = balancer_set_server(e->ro, 0, &server);
		balancer_set_data_centre(e->ro, server.data_centre,
		    i % 3 == number % 3 ? 0 : 500, false);
	}
}

static void
free_entry(struct sim_entry *e)
{
	balancer_free(e->ro);
	admit_free(e->ad);
	rnd_free(e->rnd);
	g_free(e->servers);
	g_free(e->events);
}

static struct fake *
make_runner(struct sim *s, uint32_t number)
{
	struct fake_params p = s->config->fake;

	if (number < s->config->n_slow)
		p.slow *= 4;
	return fake_new(&p, on_runner, s);
}

/// Does what comes first: an arrival, a poll or the end of a step.
static bool
advance(struct sim *s, size_t *next, uint64_t stop_us)
{
	uint64_t at_us = UINT64_MAX;
	struct fake *runner = NULL;
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
		arrive(s, (*next)++);
	return true;
}

static int
by_value(const void *a, const void *b)
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
	qsort(values->data, values->len, sizeof(double), by_value);
	return g_array_index(
	    values, double, (size_t)((double)(values->len - 1) * q));
}

static void
measure(const struct sim *s, struct sim_result *out)
{
	GArray *first = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *quick = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *gaps = g_array_new(FALSE, FALSE, sizeof(double));
	double offered[TRACE_CUSTOMERS] = { 0 };
	double good[TRACE_CUSTOMERS] = { 0 };
	const double span_s =
	    (double)(s->trace->end_us - s->config->warm_up_us) / USEC_PER_SEC;

	for (size_t i = 0; i < s->trace->n; i++) {
		const struct trace_request *t = &s->trace->requests[i];
		const struct flight *f = &s->flights[i];
		const double prompt = (double)t->n_blocks * FAKE_BLOCK_TOKENS;
		const double tokens = prompt + t->output_tokens;
		double ms, gap;

		if (t->at_us < s->config->warm_up_us ||
		    t->at_us >= s->trace->end_us)
			continue;
		out->offered++;
		out->refused += f->refused;
		out->offered_tokens_per_s += tokens / span_s;
		offered[t->customer] += tokens;
		if (f->refused)
			continue;
		/* One without a first token at the end counts as that late. */
		ms = (double)((f->first_us == 0 ? s->trace->end_us * 2
						: f->first_us) -
			 t->at_us) /
		    USEC_PER_MSEC;
		g_array_append_val(first, ms);
		if (t->priority == 0)
			g_array_append_val(quick, ms);
		out->prompt_tokens += prompt;
		out->recomputed_tokens += prompt - f->cached;
		if (f->end_us == 0)
			continue;
		out->answered++;
		gap = (double)(f->end_us - f->first_us) / USEC_PER_MSEC /
		    (t->output_tokens - 1);
		g_array_append_val(gaps, gap);
		if (f->first_us - t->at_us > t->target_us)
			continue;
		out->good++;
		good[t->customer] += tokens;
		out->good_tokens_per_s += tokens / span_s;
	}
	out->first_p50_ms = quantile(first, 0.5);
	out->first_p95_ms = quantile(first, 0.95);
	out->quick_p95_ms = quantile(quick, 0.95);
	out->between_p95_ms = quantile(gaps, 0.95);
	for (size_t i = 0; i < TRACE_CUSTOMERS; i++)
		out->good_share[i] = offered[i] > 0 ? good[i] / offered[i] : 1;
	out->choose_us =
	    s->choices == 0 ? 0 : s->choose_s * 1e6 / (double)s->choices;
	(void)g_array_free(first, TRUE);
	(void)g_array_free(quick, TRUE);
	(void)g_array_free(gaps, TRUE);
}

/// Runs a trace to its end, with as much time again to finish.
void
sim_run(const struct sim_config *config, const struct trace *trace,
    struct sim_result *out)
{
	struct sim s = { .config = config, .trace = trace };
	size_t next = 0;

	s.runners = g_new0(struct fake *, config->n_runners);
	s.entries = g_new0(struct sim_entry, config->n_entries);
	s.flights = g_new0(struct flight, trace->n);
	for (uint32_t i = 0; i < config->n_runners; i++)
		s.runners[i] = make_runner(&s, i);
	for (uint32_t i = 0; i < config->n_entries; i++)
		make_entry(&s, i);
	while (advance(&s, &next, trace->end_us * 2))
		continue;
	*out = (struct sim_result){ 0 };
	measure(&s, out);
	for (uint32_t i = 0; i < config->n_runners; i++)
		fake_free(s.runners[i]);
	for (uint32_t i = 0; i < config->n_entries; i++)
		free_entry(&s.entries[i]);
	g_free(s.runners);
	g_free(s.entries);
	g_free(s.flights);
}
