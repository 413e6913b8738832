#include "engine.h"

#include "text.h"

#include <string.h>

#define RESPONSE_ROLE "assistant: "
#define STAMP_BYTES 32

static void
schedule_step(struct engine *e, uint64_t in_us)
{
	const struct timeval tv = {
		.tv_sec = (time_t)(in_us / 1000000),
		.tv_usec = (suseconds_t)(in_us % 1000000),
	};

	e->armed = true;
	(void)event_add(e->step, &tv);
}

static uint64_t
step_time_us(const struct engine *e)
{
	return e->step_us + e->step_us_per_job * e->running->len;
}

/// Moves a job into the running batch. The tokens that aren't cached are
/// prefilled first, one job after the other.
static void
admit(struct engine *e, struct job *j)
{
	const uint64_t now = standin_now_us();
	const uint32_t total = j->prompt_tokens + j->resume_from;
	const size_t bytes = cache_match(e->cache, j->text->str, j->text->len);

	j->admitted = true;
	j->cached_tokens = (uint32_t)(bytes / TEXT_BYTES_PER_PROMPT_TOKEN);
	if (bytes >= j->prompt_len + strlen(RESPONSE_ROLE))
		j->cached_tokens = j->prompt_tokens +
		    (uint32_t)((bytes - j->prompt_len - strlen(RESPONSE_ROLE)) /
			TEXT_TOKEN_BYTES);
	if (j->cached_tokens > total)
		j->cached_tokens = total;
	j->prefilled_tokens = total - j->cached_tokens;
	e->stats.prefilled_tokens += j->prefilled_tokens;
	e->stats.cached_tokens += j->cached_tokens;
	if (j->cached_tokens < total)
		e->stats.resumed_tokens +=
		    MIN(j->resume_from, total - j->cached_tokens);
	if (e->prefill_free_us < now)
		e->prefill_free_us = now;
	e->prefill_free_us += e->prefill_us * j->prefilled_tokens;
	j->ready_us = e->prefill_free_us;
	cache_store(e->cache, j->text->str, j->text->len);
	g_ptr_array_add(e->running, j);
}

static void
admit_waiting(struct engine *e)
{
	while (e->running->len < e->slots && e->waiting->length > 0)
		admit(e, g_queue_pop_head(e->waiting));
	if (e->running->len > 0 && !e->armed)
		schedule_step(e, step_time_us(e));
}

/// Postpones the next token of a job as its injected fault demands.
static void
apply_delays(struct engine *e, struct job *j, uint64_t now)
{
	if (j->act == FAULT_SLOW)
		j->ready_us = now + e->slow_us;
	if (j->next != j->hostile_at)
		return;
	if (j->hostile == HOSTILE_LATE)
		j->ready_us = now + e->late_us;
	if (j->hostile == HOSTILE_STALL)
		j->ready_us = UINT64_MAX;
}

/// Generates one more token of a job.
///
/// @return whether the response is complete
static bool
generate_token(struct engine *e, struct job *j, uint64_t now)
{
	char token[STAMP_BYTES];

	if (j->next < j->n_tokens) {
		if (e->stamps)
			(void)g_snprintf(token, sizeof(token), "%llx ",
			    (unsigned long long)standin_now_us());
		else
			text_token(j->prompt_hash, j->next, token);
		g_string_append(j->text, token);
		e->hooks.token(e->hooks.owner, j, token);
		j->next++;
		e->stats.generated_tokens++;
		apply_delays(e, j, now);
	}
	return j->next >= j->n_tokens && j->ready_us <= now;
}

static void
on_step(evutil_socket_t fd, short what, void *arg)
{
	struct engine *e = arg;
	const uint64_t now = standin_now_us();
	struct job *j;

	(void)fd;
	(void)what;
	e->armed = false;
	for (guint i = 0; i < e->running->len;) {
		j = g_ptr_array_index(e->running, i);
		if (j->ready_us > now || !generate_token(e, j, now)) {
			i++;
			continue;
		}
		(void)g_ptr_array_remove_index(e->running, i);
		cache_store(e->cache, j->text->str, j->text->len);
		e->stats.finished++;
		e->hooks.end(e->hooks.owner, j);
	}
	admit_waiting(e);
}

/// Creates an idle engine; it lives until the process ends.
struct engine *
engine_new(struct standin_env *env, const struct engine_hooks *hooks)
{
	struct engine *e = g_new0(struct engine, 1);

	e->env = env;
	e->hooks = *hooks;
	e->cache = cache_new(env);
	e->running = g_ptr_array_new();
	e->waiting = g_queue_new();
	e->step = event_new(env->base, -1, 0, on_step, e);
	return e;
}

/// Reads sizes and times from the settings.
void
engine_configure(struct engine *e, const json_t *settings)
{
	e->slots = (uint32_t)standin_get_int(settings, "slots", 16);
	e->max_waiting = (uint32_t)standin_get_int(settings, "max_waiting", 64);
	e->step_us = (uint64_t)standin_get_int(settings, "step_us", 5000);
	e->step_us_per_job =
	    (uint64_t)standin_get_int(settings, "step_us_per_request", 100);
	e->prefill_us =
	    (uint64_t)standin_get_int(settings, "prefill_us_per_token", 20);
	e->slow_us = (uint64_t)standin_get_int(settings, "slow_ms", 200) * 1000;
	e->late_us = (uint64_t)standin_get_int(settings, "late_ms", 500) * 1000;
	e->stamps = standin_get_int(settings, "stamp_tokens", 0) != 0;
	cache_configure(e->cache, settings);
}

/// Whether a slot or a place in the queue is free for one more request.
bool
engine_has_room(const struct engine *e)
{
	return e->running->len < e->slots ||
	    e->waiting->length < e->max_waiting;
}

static gint
by_priority(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct job *x = a;
	const struct job *y = b;

	(void)arg;
	// Among equal priorities the new one goes last.
	return x->priority <= y->priority ? -1 : 1;
}

/// Queues a job. The engine reports its tokens and its end through the hooks;
/// the caller keeps owning the job.
void
engine_add(struct engine *e, struct job *j)
{
	char token[TEXT_TOKEN_BYTES + 1];

	j->text = g_string_new_len(j->prompt, (gssize)j->prompt_len);
	g_string_append(j->text, RESPONSE_ROLE);
	for (uint32_t i = 0; i < j->resume_from; i++) {
		text_token(j->prompt_hash, i, token);
		g_string_append(j->text, token);
	}
	j->next = j->resume_from;
	g_queue_insert_sorted(e->waiting, j, by_priority, NULL);
	admit_waiting(e);
}

/// Cancels a job before its end; it is not freed.
void
engine_remove(struct engine *e, struct job *j)
{
	(void)g_queue_remove(e->waiting, j);
	(void)g_ptr_array_remove(e->running, j);
	e->stats.cancelled++;
	admit_waiting(e);
}

/// Number of tokens in the KV cache of the running requests.
uint64_t
engine_used_tokens(const struct engine *e)
{
	uint64_t used = 0;

	for (guint i = 0; i < e->running->len; i++) {
		const struct job *j = g_ptr_array_index(e->running, i);

		used += j->prompt_tokens + j->next;
	}
	return used;
}
