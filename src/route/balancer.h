#ifndef ROUTE_BALANCER_H
#define ROUTE_BALANCER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"
#include "base/rnd.h"
#include "base/status.h"

/// Choice of a backend server: a core without I/O. Costs are in tokens: what
/// recomputing a prompt costs against what queueing costs.

#define BALANCER_NAME_BYTES 64
#define BALANCER_MAX_VERSIONS 8
#define BALANCER_MAX_EXCLUDED 8
#define BALANCER_PRIORITIES 10
#define BALANCER_BLOCK_BYTES 64

struct balancer;

enum balancer_kind {
	BALANCER_RUNNER,  ///< A model engine with a prefix cache.
	BALANCER_SERVICE, ///< A plain service.
};

/// Who said that a server leaves; the earliest counts.
enum balancer_drain_source {
	BALANCER_BY_NOTICE, ///< Reclaim notice of the cloud.
	BALANCER_BY_LIST,   ///< The VM list.
	BALANCER_BY_SERVER, ///< The server's own load report.
	BALANCER_BY_NOTE,   ///< A release note.
	BALANCER_DRAIN_SOURCES,
};

/// A backend server as configured.
struct balancer_server_conf {
	char name[BALANCER_NAME_BYTES];
	char pool[BALANCER_NAME_BYTES];
	char data_centre[BALANCER_NAME_BYTES];
	enum balancer_kind kind;
	uint32_t n_versions; ///< 0: every version of its pool.
	char versions[BALANCER_MAX_VERSIONS][BALANCER_NAME_BYTES];
	/// Memory of its prefix cache, 0: unknown. What is computed there
	/// pushes older prompts out.
	uint64_t kv_tokens;
	uint64_t incarnation; ///< Another one forgets loads, beliefs, leaving.
	uint64_t tag;         ///< The caller's own; returned by a choice.
};

/// A load report as GET /load gives it.
struct balancer_report {
	uint64_t sequence;
	uint64_t age_us; ///< Age on arrival.
	uint32_t running;
	uint32_t waiting;
	uint64_t kv_used_tokens;
	uint64_t kv_total_tokens; ///< 0: unknown.
	uint32_t tokens_per_s;    ///< 0: unknown.
	bool draining;            ///< Also counts as BALANCER_BY_SERVER.
};

/// What a request asks for.
struct balancer_request {
	const char *pool;
	const char *version;     ///< NULL or "": any.
	const char *not_version; ///< NULL: none is excluded.
	const uint64_t *blocks;  ///< Chained hashes of the prompt's blocks.
	size_t n_blocks;
	uint32_t prompt_tokens;
	/// Begin of the prompt that other entries' requests share: the server
	/// that all of them prefer for it counts as holding it.
	uint64_t shared_hash; ///< 0: none
	uint32_t shared_tokens;
	uint32_t output_tokens; ///< Expected; 0: the pool's mean so far.
	uint32_t priority;      ///< 0 first, below BALANCER_PRIORITIES.
	uint32_t n_servers;     ///< Excluded: tried before by this request.
	handle_t servers[BALANCER_MAX_EXCLUDED];
	uint32_t n_data_centres; ///< Excluded.
	const char *data_centres[BALANCER_MAX_EXCLUDED];
};

struct balancer_choice {
	handle_t server;
	uint64_t tag;              ///< Of the server.
	uint32_t cached_tokens;    ///< Believed to be in its cache.
	uint32_t recompute_tokens; ///< The rest of the prompt.
	double queue_tokens;       ///< Work before the first token.
	uint64_t first_token_us;   ///< Expected from now; 0: not known yet.
	handle_t home; ///< Preferred for the shared prompt; HANDLE_NONE: there
		       ///< is none.
	bool probe; ///< A server set aside that is being tried again.
	bool panic; ///< Too many set aside: chosen among all.
};

/// How a dispatched request ended.
enum balancer_outcome {
	BALANCER_DONE,      ///< A whole answer.
	BALANCER_FAILED,    ///< Cut, server error or no connection.
	BALANCER_TIMED_OUT, ///< Counts as failed.
	BALANCER_REFUSED,   ///< 429: busy, not at fault.
	BALANCER_CANCELLED, ///< The caller left; says nothing about the server.
};

struct balancer_params {
	double load_bound;   ///< Load at most this times the pool's mean,
	uint32_t load_slack; ///< or the mean plus this many requests.
	double queue_weight; ///< Queueing against recomputing, in tokens.
	uint32_t running_request_tokens; ///< Cost of one running request beside
					 ///< ours.
	double distance_tokens_per_ms;   ///< One way, for each millisecond.
	double tie_tolerance;            ///< Costs within this share are equal.
	uint32_t eject_failures;         ///< Failures in a row that set aside.
	double eject_latency_ratio;      ///< Times the pool's median latency.
	uint32_t eject_min_samples;
	uint32_t eject_max_percent; ///< Of the servers of a pool.
	uint32_t
	    panic_percent; ///< Fewer usable than this: ignore setting aside.
	uint64_t eject_us; ///< First time aside; doubles up to the next.
	uint64_t eject_max_us;
	uint32_t probe_successes;    ///< Good answers before full return.
	uint64_t index_half_life_us; ///< Without events from a server.
	uint32_t max_blocks;         ///< Beliefs held, over all servers.
	double entries; ///< That send like work to the same servers.
};

extern const struct balancer_params balancer_defaults;

struct balancer *balancer_new(const struct balancer_params *params);
void balancer_free(struct balancer *r);
void balancer_set_entries(struct balancer *r, uint32_t n);

/// Configuration. Distances are one way, from the entry's data centre.
void balancer_set_data_centre(struct balancer *r, const char *name,
    uint64_t distance_us, bool reclaiming);
handle_t balancer_set_server(struct balancer *r, uint64_t now_us,
    const struct balancer_server_conf *server);
void balancer_remove_server(struct balancer *r, handle_t server);
handle_t balancer_find(const struct balancer *r, const char *name);
const struct balancer_server_conf *balancer_get(
    const struct balancer *r, handle_t server);
size_t balancer_count(const struct balancer *r);

/// Facts about servers. A lagging "live" never undoes a leave.
void balancer_set_draining(struct balancer *r, uint64_t now_us, handle_t server,
    enum balancer_drain_source source);
bool balancer_is_draining(
    const struct balancer *r, handle_t server, uint64_t *since_us);
void balancer_reclaim_dc(
    struct balancer *r, uint64_t now_us, const char *data_centre);
/// A reclaimed data centre takes work again (its VMs are new ones).
void balancer_restore_dc(struct balancer *r, const char *data_centre);
bool balancer_is_reclaiming(const struct balancer *r, const char *data_centre);
void balancer_record_report(struct balancer *r, uint64_t now_us,
    handle_t server, const struct balancer_report *report);
void balancer_block_stored(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t block);
void balancer_block_evicted(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t block);
/// All events of a server so far are known: its beliefs do not age.
void balancer_events_current(
    struct balancer *r, uint64_t now_us, handle_t server);
/// Events of a server were lost; `missed` 0: nobody knows how many.
void balancer_events_lost(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t missed);

/// STATUS_OK; STATUS_NOT_FOUND (no such pool or version), STATUS_UNAVAILABLE
/// (servers exist, but all are leaving, excluded or full).
enum status balancer_choose(struct balancer *r, uint64_t now_us,
    struct rnd *rnd, const struct balancer_request *ask,
    struct balancer_choice *out);

/// The life of a dispatched request: begin, first token (or head of the
/// answer), end. `cached_tokens` UINT32_MAX when the server didn't say.
handle_t balancer_begin(struct balancer *r, uint64_t now_us,
    const struct balancer_request *ask, const struct balancer_choice *choice);
void balancer_first_token(
    struct balancer *r, uint64_t now_us, handle_t dispatch);
void balancer_end(struct balancer *r, uint64_t now_us, handle_t dispatch,
    enum balancer_outcome end, uint32_t output_tokens, uint32_t cached_tokens);

/// What is known of a server, for status and metrics.
struct balancer_server_stats {
	double load;  ///< Requests there, as reported plus our own.
	uint32_t own; ///< Our own requests there.
	bool ejected; ///< Ejected as an outlier.
	bool draining;
	uint64_t first_token_us; ///< Smoothed; 0: none yet.
	uint64_t failures;
	uint64_t blocks; ///< Beliefs held.
};

bool balancer_server_stats(const struct balancer *r, uint64_t now_us,
    handle_t server, struct balancer_server_stats *out);

/// Hashes of the whole blocks of a prompt, each chained over the earlier.
///
/// @return number of hashes written, at most max
size_t balancer_hash_prompt(
    const void *text, size_t len, uint64_t *out, size_t max);

/// Stable subset of servers for one entry (rendezvous hashing by its name):
/// a server added or removed changes at most one member.
///
/// @param names   names of all servers
/// @param picked  receives indexes into names, best first; room for want
/// @return number picked: the lesser of n and want
size_t balancer_subset(const char *entry, const char *const *names, size_t n,
    size_t want, size_t *picked);

#endif
