#include "route/ro_in.h"

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
add_pending(struct ro_peer *p, struct ro_dispatch *d)
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
remove_pending(struct ro_peer *p, struct ro_dispatch *d)
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
push_out(struct ro_peer *p, uint32_t tokens, double entries)
{
	if (p->conf.kv_tokens > 0)
		p->lost += tokens * entries / (double)p->conf.kv_tokens;
}

/// Its prompt will be in the server's cache.
static void
believe(
    struct ro *r, struct ro_peer *p, uint64_t now_us, const struct ro_ask *ask)
{
	const float stamp = (float)ro__lost(r, p, now_us);

	if (p->conf.kind != RO_RUNNER)
		return;
	for (size_t i = 0; i < ask->n_blocks; i++)
		ro_cache_hold(r->cache, p->slot, ask->blocks[i], stamp);
}

/// Takes note that a request goes to the chosen server now.
///
/// @return handle for its first token and its end; HANDLE_NONE when the server
///         is gone
handle_t
ro_begin(struct ro *r, uint64_t now_us, const struct ro_ask *ask,
    const struct ro_choice *choice)
{
	struct ro_peer *p = ro__peer(r, choice->server);
	struct ro_dispatch *d;
	void *item;
	handle_t handle;

	if (p == NULL)
		return HANDLE_NONE;
	assert(ask->priority < RO_PRIORITIES);
	handle = slotmap_add(r->dispatches, &item);
	d = item;
	*d = (struct ro_dispatch){
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
	ro__own_changed(p, now_us, 1);
	believe(r, p, now_us, ask);
	smooth(&p->pool->mean_recompute, choice->recompute_tokens);
	if (choice->probe)
		p->probe = handle;
	return handle;
}

/// The first token of a request came, or the head of its answer.
void
ro_first_token(struct ro *r, uint64_t now_us, handle_t dispatch)
{
	struct ro_dispatch *d = slotmap_get(r->dispatches, dispatch);
	struct ro_peer *p;
	double us, pace;

	if (d == NULL || d->first_us != 0)
		return;
	d->first_us = now_us == 0 ? 1 : now_us;
	p = ro__peer(r, d->server);
	if (p == NULL)
		return;
	remove_pending(p, d);
	us = (double)(now_us - d->begin_us);
	pace = us / (d->predicted + RO_BASE_TOKENS);
	smooth(&p->first_us, us);
	smooth(&p->first_tokens, d->predicted + RO_BASE_TOKENS);
	p->pace = p->first_us / p->first_tokens;
	p->samples++;
	ro__medians(r, p->pool, now_us);
	ro__judge_pace(r, p, now_us, dispatch, pace);
}

static void
learn(struct ro *r, struct ro_peer *p, uint64_t now_us,
    const struct ro_dispatch *d, uint32_t output_tokens, uint32_t cached_tokens)
{
	smooth(&p->pool->mean_output, output_tokens);
	if (output_tokens > 1 && d->first_us != 0) {
		smooth(&p->between,
		    (double)(now_us - d->first_us) / (output_tokens - 1));
	}
	if (cached_tokens == UINT32_MAX || d->cached == 0)
		return;
	if (cached_tokens < FOUND_SHARE * d->cached) {
		p->lost = ro__lost(r, p, now_us) + FOUND_LOSS;
		p->event_us = now_us;
	}
}

/// A request ended.
void
ro_end(struct ro *r, uint64_t now_us, handle_t dispatch, enum ro_end end,
    uint32_t output_tokens, uint32_t cached_tokens)
{
	struct ro_dispatch *d = slotmap_get(r->dispatches, dispatch);
	struct ro_peer *p;

	if (d == NULL)
		return;
	if (end == RO_DONE)
		ro_first_token(r, now_us, dispatch);
	p = ro__peer(r, d->server);
	if (p == NULL) {
		slotmap_remove(r->dispatches, dispatch);
		return;
	}
	if (d->first_us == 0)
		remove_pending(p, d);
	ro__own_changed(p, now_us, -1);
	switch (end) {
	case RO_DONE:
		learn(r, p, now_us, d, output_tokens, cached_tokens);
		ro__good(r, p, now_us, dispatch);
		break;
	case RO_FAILED:
	case RO_TIMED_OUT:
		ro__bad(r, p, now_us, dispatch);
		break;
	case RO_REFUSED:
		p->busy_until_us = now_us + RO_BUSY_US;
		break;
	case RO_CANCELLED:
		break;
	}
	if (p->probe == dispatch)
		p->probe = HANDLE_NONE;
	slotmap_remove(r->dispatches, dispatch);
}
