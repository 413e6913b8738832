#include "route/balancer_internal.h"

#include <assert.h>

/// Weight of the newest request in smoothed figures.
#define SMOOTH 0.1

/// A server that reports less than MIN_HIT_FRACTION of the cached tokens that
/// the prefix index predicted has MISS_STALENESS added to its index entries.
#define MIN_HIT_FRACTION 0.5
#define MISS_STALENESS 0.1

static void
smooth(double *value, double sample)
{
	if (*value <= 0)
		*value = sample;
	else
		*value += SMOOTH * (sample - *value);
}

static void
add_pending(struct balancer_server *p, struct balancer_dispatch *d)
{
	p->pending_tokens[d->priority] += d->recompute;
	d->prev = p->newest;
	if (p->newest != NULL)
		p->newest->next = d;
	else
		p->oldest = d;
	p->newest = d;
}

static void
remove_pending(struct balancer_server *p, struct balancer_dispatch *d)
{
	assert(p->pending_tokens[d->priority] >= d->recompute);
	p->pending_tokens[d->priority] -= d->recompute;
	if (d->prev != NULL)
		d->prev->next = d->next;
	else
		p->oldest = d->next;
	if (d->next != NULL)
		d->next->prev = d->prev;
	else
		p->newest = d->prev;
	d->prev = NULL;
	d->next = NULL;
}

/// Ages a server's prefix index entries as new tokens fill its cache and evict
/// older prompts. Other entries are assumed to send as much as this one.
static void
age_index(struct balancer_server *p, uint32_t tokens, double entries)
{
	if (p->conf.kv_tokens > 0)
		p->index_staleness +=
		    tokens * entries / (double)p->conf.kv_tokens;
}

/// Adds a prompt to the prefix index: it will be in the server's cache.
static void
index_prompt(struct balancer *r, struct balancer_server *p, uint64_t now_us,
    const struct balancer_request *request)
{
	const float stamp = (float)balancer__staleness(r, p, now_us);

	if (p->conf.kind != BALANCER_RUNNER)
		return;
	for (size_t i = 0; i < request->n_blocks; i++)
		prefix_index_add(r->index, p->slot, request->blocks[i], stamp);
}

/// Records that a request is sent to the chosen server now. Its first token (or
/// the head of the response) and its end are to be recorded too.
///
/// @return handle for balancer_first_token() and balancer_end(); HANDLE_NONE
///         when the server was removed
handle_t
balancer_begin(struct balancer *r, uint64_t now_us,
    const struct balancer_request *request,
    const struct balancer_choice *choice)
{
	struct balancer_server *p = balancer__server(r, choice->server);
	struct balancer_dispatch *d;
	void *item;
	handle_t handle;

	if (p == NULL)
		return HANDLE_NONE;
	assert(request->priority < BALANCER_PRIORITIES);
	handle = slotmap_add(r->dispatches, &item);
	d = item;
	*d = (struct balancer_dispatch){
		.self = handle,
		.server = choice->server,
		.begin_us = now_us,
		.priority = request->priority,
		.recompute = choice->recompute_tokens,
		.cached = choice->cached_tokens,
		.predicted = choice->recompute_tokens + choice->queue_tokens,
	};
	age_index(p, choice->recompute_tokens + request->output_tokens,
	    r->params.n_entries);
	add_pending(p, d);
	balancer__update_own(p, now_us, 1);
	if (p->restricted)
		balancer__count_sent(r, p, now_us, handle);
	balancer__cold_count(r, p, now_us);
	index_prompt(r, p, now_us, request);
	smooth(&p->pool->mean_recompute_tokens, choice->recompute_tokens);
	if (choice->probe)
		p->probe = handle;
	return handle;
}

/// Records the first token of a request, or the head of its response.
void
balancer_first_token(struct balancer *r, uint64_t now_us, handle_t dispatch)
{
	struct balancer_dispatch *d = slotmap_get(r->dispatches, dispatch);
	struct balancer_server *p;
	double us, us_per_token;

	if (d == NULL || d->first_token_at_us != 0)
		return;
	d->first_token_at_us = now_us == 0 ? 1 : now_us;
	p = balancer__server(r, d->server);
	if (p == NULL)
		return;
	remove_pending(p, d);
	balancer__end_trial(p, now_us, dispatch, BALANCER_DONE);
	// The server's pace isn't its fault.
	us = (double)(now_us - d->begin_us) / balancer__stated_pace(p, now_us);
	us_per_token = us / (d->predicted + BALANCER_BASE_TOKENS);
	// A server is slow while it is cold; that isn't its speed.
	if (balancer__is_cold(p, now_us) || d->begin_us < p->cold.ended_us)
		return;
	smooth(&p->ttft_us, us);
	smooth(&p->ttft_tokens, d->predicted + BALANCER_BASE_TOKENS);
	p->us_per_token = p->ttft_us / p->ttft_tokens;
	p->samples++;
	balancer__update_medians(r, p->pool, now_us);
	balancer__check_latency(r, p, now_us, dispatch, us_per_token);
}

static void
record_usage(struct balancer *r, struct balancer_server *p, uint64_t now_us,
    const struct balancer_dispatch *d, uint32_t output_tokens,
    uint32_t cached_tokens)
{
	smooth(&p->pool->mean_output_tokens, output_tokens);
	if (output_tokens > 1 && d->first_token_at_us != 0) {
		smooth(&p->inter_token_us,
		    (double)(now_us - d->first_token_at_us) /
			(output_tokens - 1));
	}
	if (cached_tokens == UINT32_MAX || d->cached == 0)
		return;
	if (cached_tokens < MIN_HIT_FRACTION * d->cached) {
		p->index_staleness =
		    balancer__staleness(r, p, now_us) + MISS_STALENESS;
		p->event_us = now_us;
	}
}

/// Records the end of a request; the handle is invalid afterwards.
///
/// @param output_tokens  tokens generated
/// @param cached_tokens  prompt tokens that the server found in its cache;
///                       UINT32_MAX: not reported
void
balancer_end(struct balancer *r, uint64_t now_us, handle_t dispatch,
    enum balancer_outcome end, uint32_t output_tokens, uint32_t cached_tokens)
{
	struct balancer_dispatch *d = slotmap_get(r->dispatches, dispatch);
	struct balancer_server *p;
	struct brittle_senders senders;

	if (d == NULL)
		return;
	if (end == BALANCER_DONE)
		balancer_first_token(r, now_us, dispatch);
	p = balancer__server(r, d->server);
	if (p == NULL) {
		slotmap_remove(r->dispatches, dispatch);
		return;
	}
	if (d->first_token_at_us == 0)
		remove_pending(p, d);
	balancer__update_own(p, now_us, -1);
	balancer__end_trial(p, now_us, dispatch, end);
	switch (end) {
	case BALANCER_DONE:
		record_usage(r, p, now_us, d, output_tokens, cached_tokens);
		balancer__record_success(r, p, now_us, dispatch);
		brittle_on_done(&p->brittle, now_us, d->begin_us);
		break;
	case BALANCER_FAILED:
	case BALANCER_TIMED_OUT:
		balancer__record_failure(r, p, now_us, dispatch);
		break;
	case BALANCER_REFUSED:
		p->busy_until_us = now_us + BALANCER_BUSY_US;
		senders = balancer__senders(r, p);
		brittle_on_refused(&p->brittle, now_us, &senders);
		break;
	case BALANCER_CANCELLED:
		break;
	}
	if (p->probe == dispatch)
		p->probe = HANDLE_NONE;
	slotmap_remove(r->dispatches, dispatch);
}
