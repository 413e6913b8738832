#include "bench/route_trace.h"

#include "base/rnd.h"
#include "base/timerq.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SYSTEM_BLOCKS 12
#define HISTORIES 120
#define HISTORY_SKEW 0.8
#define PROMPT_MAX_BLOCKS 4000

/// Blocks of a text.
struct text {
	uint64_t *blocks;
	size_t n;
};

/// State of the planning of a trace.
struct builder {
	struct rnd *rnd;
	GArray *requests; ///< Of struct trace_request.
	struct text system;
	struct text histories[HISTORIES];
	double cumulative_weights[HISTORIES];
};

static void
append_blocks(struct builder *b, struct text *t, size_t n)
{
	t->blocks = g_renew(uint64_t, t->blocks, t->n + n);
	for (size_t i = 0; i < n; i++)
		t->blocks[t->n++] = rnd_u64(b->rnd) | 1;
}

static size_t
draw_between(struct builder *b, size_t low, size_t high)
{
	return low + rnd_below(b->rnd, high - low + 1);
}

/// Draws a customer; two of them send three quarters of the requests.
static uint32_t
draw_customer(struct builder *b)
{
	const uint64_t x = rnd_below(b->rnd, 100);

	if (x < 45)
		return 0;
	if (x < 75)
		return 1;
	return 2 + (uint32_t)rnd_below(b->rnd, TRACE_CUSTOMERS - 2);
}

static void
add_request(struct builder *b, uint64_t at_us, uint32_t customer_id,
    uint32_t priority, const struct text *prompt, size_t output)
{
	const uint64_t prompt_us = prompt->n * 2 * USEC_PER_MSEC;
	const struct trace_request r = {
		.at_us = at_us,
		.customer = customer_id,
		.priority = priority,
		.target_us = 540 * USEC_PER_MSEC + prompt_us,
		.blocks = g_memdup2(
		    prompt->blocks, prompt->n * sizeof(*prompt->blocks)),
		.n_blocks = prompt->n,
		.output_tokens = (uint32_t)output,
	};

	g_array_append_val(b->requests, r);
}

static struct text
copy_text(const struct text *a)
{
	return (struct text){
		.blocks = g_memdup2(a->blocks, a->n * sizeof(*a->blocks)),
		.n = a->n,
	};
}

/// Adds a question on one of the histories. Their popularity is skewed: history
/// `i` has a weight of 1 / (i + 1)^HISTORY_SKEW.
static void
add_history_question(struct builder *b, uint64_t at_us)
{
	const double x =
	    rnd_unit(b->rnd) * b->cumulative_weights[HISTORIES - 1];
	struct text prompt;
	size_t i = 0;

	while (b->cumulative_weights[i] < x)
		i++;
	prompt = copy_text(&b->histories[i]);
	append_blocks(b, &prompt, draw_between(b, 4, 16));
	add_request(
	    b, at_us, draw_customer(b), 1, &prompt, draw_between(b, 100, 300));
	g_free(prompt.blocks);
}

static void
add_short_question(struct builder *b, uint64_t at_us)
{
	struct text prompt = copy_text(&b->system);

	append_blocks(b, &prompt, draw_between(b, 3, 12));
	add_request(
	    b, at_us, draw_customer(b), 0, &prompt, draw_between(b, 20, 80));
	g_free(prompt.blocks);
}

/// Adds a conversation, whose turns each repeat all earlier messages.
///
/// @param first    blocks of its first message
/// @param pause_s  mean pause between two turns, on top of 4 s
static void
add_conversation(struct builder *b, uint64_t at_us, size_t first, size_t turns,
    uint32_t priority, double pause_s)
{
	struct text prompt = copy_text(&b->system);
	const uint32_t customer_id = draw_customer(b);

	append_blocks(b, &prompt, first);
	for (size_t i = 0; i < turns; i++) {
		const size_t output = draw_between(b, 40, 160);

		append_blocks(b, &prompt, draw_between(b, 2, 6));
		add_request(b, at_us, customer_id, priority, &prompt, output);
		append_blocks(b, &prompt, output / 16);
		at_us += (uint64_t)(rnd_exponential(b->rnd, pause_s) *
		    (double)USEC_PER_SEC);
		at_us += 4 * USEC_PER_SEC;
	}
	g_free(prompt.blocks);
}

static void
add_vanilla_arrival(struct builder *b, uint64_t at_us)
{
	const uint64_t x = rnd_below(b->rnd, 100);

	if (x < 32)
		add_history_question(b, at_us);
	else if (x < 96)
		add_short_question(b, at_us);
	else
		add_conversation(b, at_us, draw_between(b, 100, 300), 4, 1, 10);
}

static void
add_carpet_arrival(struct builder *b, uint64_t at_us)
{
	const uint64_t x = rnd_below(b->rnd, 100);

	if (x < 55)
		add_conversation(b, at_us, draw_between(b, 4, 20),
		    draw_between(b, 4, 16), 0, 8);
	else if (x < 75)
		add_conversation(b, at_us, draw_between(b, 200, 700),
		    draw_between(b, 3, 6), 1, 15);
	else
		add_short_question(b, at_us);
}

static int
compare_times(const void *a, const void *b)
{
	const struct trace_request *x = a;
	const struct trace_request *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

static void
make_histories(struct builder *b)
{
	double sum = 0;

	append_blocks(b, &b->system, SYSTEM_BLOCKS);
	for (size_t i = 0; i < HISTORIES; i++) {
		b->histories[i] = copy_text(&b->system);
		append_blocks(b, &b->histories[i], draw_between(b, 400, 1400));
		sum += 1 / pow((double)i + 1, HISTORY_SKEW);
		b->cumulative_weights[i] = sum;
	}
}

static void
free_histories(struct builder *b)
{
	g_free(b->system.blocks);
	for (size_t i = 0; i < HISTORIES; i++)
		g_free(b->histories[i].blocks);
}

/// Creates a trace whose arrivals don't depend on responses; trace_free() frees
/// it.
///
/// @param rate_per_s  arrivals; one may be a conversation of several turns
struct trace *
trace_new(
    enum workload workload, uint64_t seed, double rate_per_s, uint64_t end_us)
{
	struct builder b = { .rnd = rnd_new(seed) };
	struct trace *t = g_new0(struct trace, 1);
	double at_us = 0;

	b.requests = g_array_new(FALSE, FALSE, sizeof(struct trace_request));
	make_histories(&b);
	for (;;) {
		at_us += rnd_exponential(b.rnd, 1 / rate_per_s) *
		    (double)USEC_PER_SEC;
		if (at_us >= (double)end_us)
			break;
		if (workload == WORKLOAD_VANILLA)
			add_vanilla_arrival(&b, (uint64_t)at_us);
		else
			add_carpet_arrival(&b, (uint64_t)at_us);
	}
	t->end_us = end_us;
	t->n = b.requests->len;
	t->requests =
	    (struct trace_request *)(void *)g_array_free(b.requests, FALSE);
	qsort(t->requests, t->n, sizeof(*t->requests), compare_times);
	free_histories(&b);
	rnd_free(b.rnd);
	return t;
}

/// Frees a trace.
void
trace_free(struct trace *t)
{
	for (size_t i = 0; i < t->n; i++)
		g_free(t->requests[i].blocks);
	g_free(t->requests);
	g_free(t);
}
