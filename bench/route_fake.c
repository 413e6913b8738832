#include "bench/route_fake.h"

#include <glib.h>

/// A request that waits or runs.
struct job {
	struct fake_job job;
	uint32_t cached;   ///< Prompt tokens from the cache.
	uint32_t prefill;  ///< Prompt tokens still to compute.
	uint32_t planned;  ///< Those computed in this step.
	uint32_t produced; ///< Output tokens so far.
};

/// Load at one time.
struct snapshot {
	uint64_t at_us;
	uint32_t running;
	uint32_t waiting;
	uint64_t kv_used;
};

struct fake_runner {
	struct fake_params params;
	fake_cb cb;
	void *arg;
	GQueue waiting[BALANCER_PRIORITIES]; ///< Of struct job.
	uint32_t n_waiting;
	GPtrArray *running; ///< Of struct job.
	uint64_t kv_used;
	uint64_t next_us;  ///< End of the current step.
	GHashTable *cache; ///< Block to its GList in `lru`.
	GQueue lru;        ///< Blocks, least recently used first.
	GArray *events;
	GArray *snapshots;
};

/// Creates an idle runner with an empty cache; fake_free() frees it.
struct fake_runner *
fake_new(const struct fake_params *params, fake_cb cb, void *arg)
{
	struct fake_runner *f = g_new0(struct fake_runner, 1);

	f->params = *params;
	f->cb = cb;
	f->arg = arg;
	for (size_t i = 0; i < BALANCER_PRIORITIES; i++)
		g_queue_init(&f->waiting[i]);
	g_queue_init(&f->lru);
	f->running = g_ptr_array_new_with_free_func(g_free);
	f->cache = g_hash_table_new(g_direct_hash, g_direct_equal);
	f->events = g_array_new(FALSE, FALSE, sizeof(struct fake_cache_event));
	f->snapshots = g_array_new(FALSE, TRUE, sizeof(struct snapshot));
	f->next_us = UINT64_MAX;
	return f;
}

/// Frees a runner and its requests.
void
fake_free(struct fake_runner *f)
{
	for (size_t i = 0; i < BALANCER_PRIORITIES; i++)
		g_queue_clear_full(&f->waiting[i], g_free);
	g_queue_clear(&f->lru);
	g_ptr_array_free(f->running, TRUE);
	g_hash_table_destroy(f->cache);
	g_array_free(f->events, TRUE);
	g_array_free(f->snapshots, TRUE);
	g_free(f);
}

static void
publish_cache_event(
    struct fake_runner *f, uint64_t now_us, uint64_t block, bool evict)
{
	const struct fake_cache_event e = { now_us, block, evict };

	g_array_append_val(f->events, e);
}

static void
record_load(struct fake_runner *f, uint64_t now_us)
{
	const struct snapshot s = { now_us, f->running->len, f->n_waiting,
		f->kv_used };

	g_array_append_val(f->snapshots, s);
}

/// Marks blocks as used, storing those that aren't in the cache. The first
/// block becomes the most recently used, so that the end of a prompt is evicted
/// before its beginning.
static void
touch(struct fake_runner *f, uint64_t now_us, const uint64_t *blocks, size_t n)
{
	for (size_t i = n; i-- > 0;) {
		void *key = GSIZE_TO_POINTER(blocks[i]);
		GList *link = g_hash_table_lookup(f->cache, key);

		if (link != NULL) {
			g_queue_unlink(&f->lru, link);
			g_queue_push_tail_link(&f->lru, link);
			continue;
		}
		g_queue_push_tail(&f->lru, key);
		g_hash_table_insert(f->cache, key, f->lru.tail);
		publish_cache_event(f, now_us, blocks[i], false);
	}
	while (g_queue_get_length(&f->lru) > f->params.cache_blocks) {
		void *key = g_queue_pop_head(&f->lru);

		g_hash_table_remove(f->cache, key);
		publish_cache_event(f, now_us, GPOINTER_TO_SIZE(key), true);
	}
}

static size_t
cached_blocks(const struct fake_runner *f, const struct fake_job *job)
{
	size_t n = 0;

	while (n < job->n_blocks &&
	    g_hash_table_contains(f->cache, GSIZE_TO_POINTER(job->blocks[n])))
		n++;
	return n;
}

static uint64_t
job_tokens(const struct fake_job *job)
{
	return (uint64_t)job->prompt_tokens + job->output_tokens;
}

static GQueue *
first_waiting_queue(struct fake_runner *f)
{
	for (size_t i = 0; i < BALANCER_PRIORITIES; i++) {
		if (!g_queue_is_empty(&f->waiting[i]))
			return &f->waiting[i];
	}
	return NULL;
}

/// Moves waiting requests into the batch while batch and KV memory have room. A
/// request larger than the KV memory runs alone.
static void
admit_waiting(struct fake_runner *f, uint64_t now_us)
{
	while (f->running->len < f->params.max_batch) {
		GQueue *queue = first_waiting_queue(f);
		struct job *j;
		size_t n;

		if (queue == NULL)
			return;
		j = g_queue_peek_head(queue);
		if (f->running->len > 0 &&
		    f->kv_used + job_tokens(&j->job) > f->params.kv_tokens)
			return;
		(void)g_queue_pop_head(queue);
		f->n_waiting--;
		n = cached_blocks(f, &j->job);
		touch(f, now_us, j->job.blocks, n);
		j->cached = MIN(
		    (uint32_t)n * FAKE_BLOCK_TOKENS, j->job.prompt_tokens - 1);
		j->prefill = j->job.prompt_tokens - j->cached;
		f->kv_used += job_tokens(&j->job);
		g_ptr_array_add(f->running, j);
	}
}

/// Plans the next step: prefill up to chunk_tokens, and one token for each
/// request whose prefill is complete.
static void
plan_step(struct fake_runner *f, uint64_t now_us)
{
	uint32_t budget = f->params.chunk_tokens;
	double us = f->params.step_us;

	admit_waiting(f, now_us);
	record_load(f, now_us);
	if (f->running->len == 0) {
		f->next_us = UINT64_MAX;
		return;
	}
	for (guint i = 0; i < f->running->len; i++) {
		struct job *j = g_ptr_array_index(f->running, i);

		j->planned = MIN(j->prefill, budget);
		budget -= j->planned;
		us += f->params.prefill_us * j->planned;
		us += j->prefill == 0 ? f->params.decode_us : 0;
	}
	f->next_us = now_us + (uint64_t)(us * f->params.slowdown);
}

/// Submits a request to the runner.
void
fake_submit(struct fake_runner *f, uint64_t now_us, const struct fake_job *job)
{
	struct job *j = g_new0(struct job, 1);

	j->job = *job;
	g_queue_push_tail(&f->waiting[job->priority], j);
	f->n_waiting++;
	if (f->next_us == UINT64_MAX)
		plan_step(f, now_us);
	else
		record_load(f, now_us);
}

/// Returns the end of the current step, or UINT64_MAX when idle.
uint64_t
fake_next_us(const struct fake_runner *f)
{
	return f->next_us;
}

/// Ends the current step and starts the next.
void
fake_step(struct fake_runner *f)
{
	const uint64_t now_us = f->next_us;

	for (guint i = 0; i < f->running->len;) {
		struct job *j = g_ptr_array_index(f->running, i);
		const bool was_prefill = j->prefill > 0;

		j->prefill -= j->planned;
		if (j->prefill > 0) {
			i++;
			continue;
		}
		if (was_prefill) {
			touch(f, now_us, j->job.blocks, j->job.n_blocks);
			f->cb(f->arg, FAKE_FIRST_TOKEN, j->job.id, now_us,
			    j->cached);
		}
		if (++j->produced < j->job.output_tokens) {
			i++;
			continue;
		}
		f->kv_used -= job_tokens(&j->job);
		f->cb(f->arg, FAKE_END, j->job.id, now_us, j->cached);
		(void)g_ptr_array_remove_index(f->running, i);
	}
	plan_step(f, now_us);
}

/// Reports the load as it was report_delay_us ago.
void
fake_report(const struct fake_runner *f, uint64_t now_us,
    struct balancer_report *report)
{
	const struct snapshot *s = NULL;
	guint i = f->snapshots->len;

	while (i-- > 0) {
		s = &g_array_index(f->snapshots, struct snapshot, i);
		if (s->at_us + f->params.report_delay_us <= now_us)
			break;
	}
	*report = (struct balancer_report){
		.sequence = now_us,
		.age_us = MIN(f->params.report_delay_us, now_us),
		.kv_total_tokens = f->params.kv_tokens,
	};
	if (s == NULL || s->at_us + f->params.report_delay_us > now_us)
		return;
	report->running = s->running;
	report->waiting = s->waiting;
	report->kv_used_tokens = s->kv_used;
}

/// Returns the cache events that are visible at `now_us`, without the first
/// `after`. The runner owns them; they are valid until its next step.
///
/// @return number of events
size_t
fake_events(const struct fake_runner *f, uint64_t now_us, size_t after,
    const struct fake_cache_event **events)
{
	const struct fake_cache_event *all =
	    (const struct fake_cache_event *)(void *)f->events->data;
	size_t n = after;

	while (n < f->events->len &&
	    all[n].at_us + f->params.report_delay_us <= now_us)
		n++;
	*events = all + after;
	return n - after;
}
