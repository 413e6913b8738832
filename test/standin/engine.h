#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include <glib.h>

#include "cache.h"
#include "fault.h"
#include "standin.h"

struct runner;

/// One attempt at a completion inside the engine.
struct job {
	struct runner *owner;
	struct evhttp_request *req;
	char *id;
	uint64_t attempt; ///< Number of the attempt, as its caller sent it.
	char *version;
	char *prompt;
	size_t prompt_len;
	uint64_t prompt_hash;
	uint32_t prompt_tokens;
	uint32_t resume_from; ///< Response tokens that the caller has.
	uint32_t next;        ///< Index of the next response token.
	uint32_t n_tokens;    ///< Length of the complete response.
	uint32_t cached_tokens;
	uint32_t prefilled_tokens;
	uint64_t priority; ///< Lower goes first.
	uint64_t ready_us; ///< No token is generated before this time.
	bool stream;
	bool admitted; ///< Has a slot in the batch.
	enum fault_act act;
	enum hostile hostile;
	uint32_t hostile_at; ///< Token, from 1, at which `hostile` acts.
	GString *text;       ///< Prompt and response so far.
};

struct engine_stats {
	uint64_t requests;
	uint64_t refused;
	uint64_t finished;
	uint64_t cancelled;
	uint64_t failed;
	uint64_t generated_tokens;
	uint64_t prefilled_tokens;
	uint64_t cached_tokens;
	uint64_t resumed_tokens; ///< Response tokens prefilled on a resume.
	uint64_t hostile[HOSTILE_KINDS];
};

/// Callbacks by which the engine reports to its owner. `end` takes over the
/// job.
struct engine_hooks {
	void (*token)(void *owner, struct job *j, const char *text);
	void (*end)(void *owner, struct job *j);
	void *owner;
};

/// Engine that batches continuously: at most `slots` requests at once, one
/// token each in a step whose time grows with the batch.
struct engine {
	struct standin_env *env;
	struct engine_hooks hooks;
	struct cache *cache;
	GPtrArray *running;
	GQueue *waiting; ///< by priority, then by arrival
	struct event *step;
	bool armed;
	uint64_t prefill_free_us; ///< When the queued prefills are done.
	struct engine_stats stats;
	uint32_t slots;
	uint32_t max_waiting;
	uint64_t step_us;
	uint64_t step_us_per_job;
	uint64_t prefill_us;
	uint64_t slow_us;
	uint64_t late_us;
	bool stamps; ///< Each token is the time of its generation, for latency.
};

struct engine *engine_new(
    struct standin_env *env, const struct engine_hooks *hooks);
void engine_configure(struct engine *e, const json_t *settings);
bool engine_has_room(const struct engine *e);
void engine_add(struct engine *e, struct job *j);
void engine_remove(struct engine *e, struct job *j);
uint64_t engine_used_tokens(const struct engine *e);

#endif
