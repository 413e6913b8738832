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

struct text {
	uint64_t *blocks;
	size_t n;
};

struct maker {
	struct rnd *rnd;
	GArray *out; ///< of struct trace_request
	struct text system;
	struct text histories[HISTORIES];
	double weights[HISTORIES]; ///< Cumulative.
};

static void
append(struct maker *m, struct text *t, size_t n)
{
	t->blocks = g_renew(uint64_t, t->blocks, t->n + n);
	for (size_t i = 0; i < n; i++)
		t->blocks[t->n++] = rnd_u64(m->rnd) | 1;
}

static size_t
between(struct maker *m, size_t low, size_t high)
{
	return low + rnd_below(m->rnd, high - low + 1);
}

/// Two large customers bring most of the work.
static uint32_t
customer(struct maker *m)
{
	const uint64_t x = rnd_below(m->rnd, 100);

	if (x < 45)
		return 0;
	if (x < 75)
		return 1;
	return 2 + (uint32_t)rnd_below(m->rnd, TRACE_CUSTOMERS - 2);
}

static void
emit(struct maker *m, uint64_t at_us, uint32_t who, uint32_t priority,
    const struct text *prompt, size_t output)
{
	const uint64_t prompt_us = prompt->n * 2 * USEC_PER_MSEC;
	const struct trace_request r = {
		.at_us = at_us,
		.customer = who,
		.priority = priority,
		.target_us = 540 * USEC_PER_MSEC + prompt_us,
		.blocks = g_memdup2(
		    prompt->blocks, prompt->n * sizeof(*prompt->blocks)),
		.n_blocks = prompt->n,
		.output_tokens = (uint32_t)output,
	};

	g_array_append_val(m->out, r);
}

static struct text
begin_prompt(const struct text *a)
{
	return (struct text){
		.blocks = g_memdup2(a->blocks, a->n * sizeof(*a->blocks)),
		.n = a->n,
	};
}

/// Asks about one of the histories; some are read far more than others.
static void
history_question(struct maker *m, uint64_t at_us)
{
	const double x = rnd_unit(m->rnd) * m->weights[HISTORIES - 1];
	struct text prompt;
	size_t i = 0;

	while (m->weights[i] < x)
		i++;
	prompt = begin_prompt(&m->histories[i]);
	append(m, &prompt, between(m, 4, 16));
	emit(m, at_us, customer(m), 1, &prompt, between(m, 100, 300));
	g_free(prompt.blocks);
}

static void
quick_question(struct maker *m, uint64_t at_us)
{
	struct text prompt = begin_prompt(&m->system);

	append(m, &prompt, between(m, 3, 12));
	emit(m, at_us, customer(m), 0, &prompt, between(m, 20, 80));
	g_free(prompt.blocks);
}

/// A conversation: each turn holds all that was said before.
static void
conversation(struct maker *m, uint64_t at_us, size_t first, size_t turns,
    uint32_t priority, double pause_s)
{
	struct text prompt = begin_prompt(&m->system);
	const uint32_t who = customer(m);

	append(m, &prompt, first);
	for (size_t i = 0; i < turns; i++) {
		const size_t output = between(m, 40, 160);

		append(m, &prompt, between(m, 2, 6));
		emit(m, at_us, who, priority, &prompt, output);
		append(m, &prompt, output / 16);
		at_us += (uint64_t)(rnd_exponential(m->rnd, pause_s) *
		    (double)USEC_PER_SEC);
		at_us += 4 * USEC_PER_SEC;
	}
	g_free(prompt.blocks);
}

static void
vanilla(struct maker *m, uint64_t at_us)
{
	const uint64_t x = rnd_below(m->rnd, 100);

	if (x < 32)
		history_question(m, at_us);
	else if (x < 96)
		quick_question(m, at_us);
	else
		conversation(m, at_us, between(m, 100, 300), 4, 1, 10);
}

static void
carpet(struct maker *m, uint64_t at_us)
{
	const uint64_t x = rnd_below(m->rnd, 100);

	if (x < 55)
		conversation(
		    m, at_us, between(m, 4, 20), between(m, 4, 16), 0, 8);
	else if (x < 75)
		conversation(
		    m, at_us, between(m, 200, 700), between(m, 3, 6), 1, 15);
	else
		quick_question(m, at_us);
}

static int
by_time(const void *a, const void *b)
{
	const struct trace_request *x = a;
	const struct trace_request *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

static void
make_histories(struct maker *m)
{
	double sum = 0;

	append(m, &m->system, SYSTEM_BLOCKS);
	for (size_t i = 0; i < HISTORIES; i++) {
		m->histories[i] = begin_prompt(&m->system);
		append(m, &m->histories[i], between(m, 400, 1400));
		sum += 1 / pow((double)i + 1, HISTORY_SKEW);
		m->weights[i] = sum;
	}
}

static void
free_histories(struct maker *m)
{
	g_free(m->system.blocks);
	for (size_t i = 0; i < HISTORIES; i++)
		g_free(m->histories[i].blocks);
}

/// Makes a trace with open arrivals.
///
/// @param rate_per_s  arrivals; one may be a conversation of several turns
struct trace *
trace_new(enum desk desk, uint64_t seed, double rate_per_s, uint64_t end_us)
{
	struct maker m = { .rnd = rnd_new(seed) };
	struct trace *t = g_new0(struct trace, 1);
	double at_us = 0;

	m.out = g_array_new(FALSE, FALSE, sizeof(struct trace_request));
	make_histories(&m);
	for (;;) {
		at_us += rnd_exponential(m.rnd, 1 / rate_per_s) *
		    (double)USEC_PER_SEC;
		if (at_us >= (double)end_us)
			break;
		if (desk == DESK_VANILLA)
			vanilla(&m, (uint64_t)at_us);
		else
			carpet(&m, (uint64_t)at_us);
	}
	t->end_us = end_us;
	t->n = m.out->len;
	t->requests =
	    (struct trace_request *)(void *)g_array_free(m.out, FALSE);
	qsort(t->requests, t->n, sizeof(*t->requests), by_time);
	free_histories(&m);
	rnd_free(m.rnd);
	return t;
}

/// Releases a trace.
void
trace_free(struct trace *t)
{
	for (size_t i = 0; i < t->n; i++)
		g_free(t->requests[i].blocks);
	g_free(t->requests);
	g_free(t);
}
