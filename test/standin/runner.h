#ifndef STANDIN_RUNNER_H
#define STANDIN_RUNNER_H

#include "engine.h"
#include "standin.h"

/// History of a version, on which its fault may depend.
struct version_state {
	uint64_t responses;
	uint64_t first_us; ///< Time of its first request.
};

/// Load report; sent late, as configured.
struct load_report {
	uint64_t sequence;
	uint64_t at_us;
	uint64_t running;
	uint64_t waiting;
	uint64_t used_tokens; ///< in the KV cache
	uint64_t generated;   ///< tokens since the start
	uint64_t tokens_per_s;
};

struct runner {
	struct standin_env *env;
	struct engine *engine;
	GHashTable *versions; ///< name -> struct version_state
	GHashTable *attempts; ///< request id -> number of attempts
	GHashTable *recent;   ///< request id -> text of an ended attempt
	GQueue *recent_ids;
	GHashTable *kvs;               ///< id -> json_t of an exported KV cache
	struct load_report reports[2]; ///< The newest, and the one to send.
	json_t
	    *orders; ///< The first orders received, for the test's statistics.
	json_t *adapters;
	uint64_t fence; ///< Highest fencing number seen.
	uint64_t n_kvs;
	uint64_t kv_us; ///< Copy time for each token of a KV cache.
};

typedef void (*fetch_cb)(void *arg, int status, const char *body, size_t len);

json_t *runner_version(struct runner *r, const char *name);
bool runner_loaded(const json_t *version);
struct job *runner_find_job(struct runner *r, const char *id);
void runner_remember(struct runner *r, const struct job *j);
json_t *runner_versions(struct runner *r, bool with_state);

void runner_fetch(struct runner *r, const char *host, uint16_t port,
    const char *path, fetch_cb cb, void *arg);
void kv_export(struct runner *r, struct evhttp_request *req);
void kv_send(struct runner *r, struct evhttp_request *req, const char *id);
void kv_import(struct runner *r, struct evhttp_request *req);
void orders_handle(struct runner *r, struct evhttp_request *req);
void orders_reply_state(struct runner *r, struct evhttp_request *req);

#endif
