#include "route/balancer_internal.h"

#include <assert.h>

/// Weight of the newest request in smoothed figures.
#define SMOOTH 0.1

/// Believed and found: a server that had less than this share of what was
/// believed makes its beliefs doubtful.
#define FOUND_SHARE 0.5
#define FOUND_LOSS 0.1

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

/// Beliefs about a server become doubtful as its memory fills with other
/// prompts. Other entries send as much as this one does.
static void
push_out(struct balancer_server *p, uint32_t tokens, double entries)
{
	if (p->conf.kv_tokens > 0)
		p->lost += tokens * entries / (double)p->conf.kv_tokens;
}

/// Its prompt will be in the server's cache.
static void
believe(struct balancer *r, struct balancer_server *p, uint64_t now_us,
    const struct balancer_request *ask)
{
	const float stamp = (float)balancer__staleness(r, p, now_us);

	if (p->conf.kind != BALANCER_RUNNER)
		return;
	for (size_t i = 0; i < ask->n_blocks; i++)
		prefix_index_add(r->cache, p->slot, ask->blocks[i], stamp);
}

/// Takes note that a request goes to the chosen server now.
///
/// @return handle for its first token and its end; HANDLE_NONE when the server
///         is gone
handle_t
balancer_begin(struct balancer *r, uint64_t now_us,
    const struct balancer_request *ask, const struct balancer_choice *choice)
{
	struct balancer_server *p = balancer__server(r, choice->server);
	struct balancer_dispatch *d;
	void *item;
	handle_t handle;

	if (p == NULL)
		return HANDLE_NONE;
	assert(ask->priority < BALANCER_PRIORITIES);
	handle = slotmap_add(r->dispatches, &item);
	d = item;
	*d = (struct balancer_dispatch){
		.self = handle,
		.server = choice->server,
		.begin_us = now_us,
		.priority = ask->priority,
		.recompute = choice->recompute_tokens,
		.cached = choice->cached_tokens,
		.predicted = choice->recompute_tokens + choice->queue_tokens,
	};
	push_out(p, choice->recompute_tokens + ask->output_tokens,
	    r->params.entries);
	add_pending(p, d);
	balancer__update_own(p, now_us, 1);
	believe(r, p, now_us, ask);
	smooth(&p->pool->mean_recompute_tokens, choice->recompute_tokens);
	if (choice->probe)
		p->probe = handle;
	return handle;
}

/// The first token of a request came, or the head of its answer.
void
balancer_first_token(struct balancer *r, uint64_t now_us, handle_t dispatch)
{
	struct balancer_dispatch *d = slotmap_get(r->dispatches, dispatch);
	struct balancer_server *p;
	double us, us_per_token;

	if (d == NULL || d->first_us != 0)
		return;
	d->first_us = now_us == 0 ? 1 : now_us;
	p = balancer__server(r, d->server);
	if (p == NULL)
		return;
	remove_pending(p, d);
	us = (double)(now_us - d->begin_us);
	us_per_token = us / (d->predicted + BALANCER_BASE_TOKENS);
	smooth(&p->first_us, us);
	smooth(&p->first_tokens, d->predicted + BALANCER_BASE_TOKENS);
	p->us_per_token = p->first_us / p->first_tokens;
	p->samples++;
	balancer__update_medians(r, p->pool, now_us);
	balancer__check_latency(r, p, now_us, dispatch, us_per_token);
}

static void
learn(struct balancer *r, struct balancer_server *p, uint64_t now_us,
    const struct balancer_dispatch *d, uint32_t output_tokens,
    uint32_t cached_tokens)
{
	smooth(&p->pool->mean_output_tokens, output_tokens);
	if (output_tokens > 1 && d->first_us != 0) {
		smooth(&p->between,
		    (double)(now_us - d->first_us) / (output_tokens - 1));
	}
	if (cached_tokens == UINT32_MAX || d->cached == 0)
		return;
	if (cached_tokens < FOUND_SHARE * d->cached) {
		p->lost = balancer__staleness(r, p, now_us) + FOUND_LOSS;
		p->event_us = now_us;
	}
}

/// A request ended.
void
balancer_end(struct balancer *r, uint64_t now_us, handle_t dispatch,
    enum balancer_outcome end, uint32_t output_tokens, uint32_t cached_tokens)
{
	struct balancer_dispatch *d = slotmap_get(r->dispatches, dispatch);
	struct balancer_server *p;

	if (d == NULL)
		return;
	if (end == BALANCER_DONE)
		balancer_first_token(r, now_us, dispatch);
	p = balancer__server(r, d->server);
	if (p == NULL) {
		slotmap_remove(r->dispatches, dispatch);
		return;
	}
	if (d->first_us == 0)
		remove_pending(p, d);
	balancer__update_own(p, now_us, -1);
	switch (end) {
	case BALANCER_DONE:
		learn(r, p, now_us, d, output_tokens, cached_tokens);
		balancer__record_success(r, p, now_us, dispatch);
		break;
	case BALANCER_FAILED:
	case BALANCER_TIMED_OUT:
		balancer__record_failure(r, p, now_us, dispatch);
		break;
	case BALANCER_REFUSED:
		p->busy_until_us = now_us + BALANCER_BUSY_US;
		break;
	case BALANCER_CANCELLED:
		break;
	}
	if (p->probe == dispatch)
		p->probe = HANDLE_NONE;
	slotmap_remove(r->dispatches, dispatch);
}
