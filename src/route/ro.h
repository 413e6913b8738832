#ifndef ROUTE_RO_H
#define ROUTE_RO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"
#include "base/rnd.h"
#include "base/status.h"

/// Choice of a backend server: a core without I/O. Costs are in tokens: what
/// recomputing a prompt costs against what queueing costs.

#define RO_NAME_BYTES 64
#define RO_MAX_VERSIONS 8
#define RO_MAX_EXCLUDED 8
#define RO_PRIORITIES 10
#define RO_BLOCK_BYTES 64

struct ro;

enum ro_kind {
	RO_RUNNER,  ///< A model engine with a prefix cache.
	RO_SERVICE, ///< A plain service.
};

/// Who said that a server leaves; the earliest counts.
enum ro_source {
	RO_BY_NOTICE, ///< Reclaim notice of the cloud.
	RO_BY_LIST,   ///< The VM list.
	RO_BY_SERVER, ///< The server's own load report.
	RO_BY_NOTE,   ///< A release note.
	RO_SOURCES,
};

/// A backend server as configured.
struct ro_server {
	char name[RO_NAME_BYTES];
	char pool[RO_NAME_BYTES];
	char data_centre[RO_NAME_BYTES];
	enum ro_kind kind;
	uint32_t n_versions; ///< 0: every version of its pool.
	char versions[RO_MAX_VERSIONS][RO_NAME_BYTES];
	/// Memory of its prefix cache, 0: unknown. What is computed there
	/// pushes older prompts out.
	uint64_t kv_tokens;
	uint64_t incarnation; ///< Another one forgets loads, beliefs, leaving.
	uint64_t tag;         ///< The caller's own; returned by a choice.
};

/// A load report as GET /load gives it.
struct ro_report {
	uint64_t sequence;
	uint64_t age_us; ///< Age on arrival.
	uint32_t running;
	uint32_t waiting;
	uint64_t kv_used_tokens;
	uint64_t kv_total_tokens; ///< 0: unknown.
	uint32_t tokens_per_s;    ///< 0: unknown.
	bool leaving;             ///< Also counts as RO_BY_SERVER.
};

/// What a request asks for.
struct ro_ask {
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
	uint32_t priority;      ///< 0 first, below RO_PRIORITIES.
	uint32_t n_servers;     ///< Excluded: tried before by this request.
	handle_t servers[RO_MAX_EXCLUDED];
	uint32_t n_data_centres; ///< Excluded.
	const char *data_centres[RO_MAX_EXCLUDED];
};

struct ro_choice {
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
enum ro_end {
	RO_DONE,      ///< A whole answer.
	RO_FAILED,    ///< Cut, server error or no connection.
	RO_TIMED_OUT, ///< Counts as failed.
	RO_REFUSED,   ///< 429: busy, not at fault.
	RO_CANCELLED, ///< The caller left; says nothing about the server.
};

struct ro_params {
	double load_bound;    ///< Load at most this times the pool's mean,
	uint32_t load_slack;  ///< or the mean plus this many requests.
	double queue_weight;  ///< Queueing against recomputing, in tokens.
	uint32_t step_tokens; ///< Cost of one running request beside ours.
	double distance_tokens_per_ms; ///< One way, for each millisecond.
	double near_best;              ///< Costs within this share are equal.
	uint32_t eject_failures;       ///< Failures in a row that set aside.
	double eject_slow;             ///< Times the pool's median latency.
	uint32_t eject_min_samples;
	uint32_t eject_cap_percent; ///< Of the servers of a pool.
	uint32_t
	    panic_percent; ///< Fewer usable than this: ignore setting aside.
	uint64_t eject_us; ///< First time aside; doubles up to the next.
	uint64_t eject_max_us;
	uint32_t probe_successes;     ///< Good answers before full return.
	uint64_t belief_half_life_us; ///< Without events from a server.
	uint32_t max_blocks;          ///< Beliefs held, over all servers.
	double entries; ///< That send like work to the same servers.
};

extern const struct ro_params ro_defaults;

struct ro *ro_new(const struct ro_params *params);
void ro_free(struct ro *r);
void ro_set_entries(struct ro *r, uint32_t n);

/// Configuration. Distances are one way, from the entry's data centre.
void ro_set_data_centre(
    struct ro *r, const char *name, uint64_t distance_us, bool reclaiming);
handle_t ro_set_server(
    struct ro *r, uint64_t now_us, const struct ro_server *server);
void ro_remove_server(struct ro *r, handle_t server);
handle_t ro_find(const struct ro *r, const char *name);
const struct ro_server *ro_get(const struct ro *r, handle_t server);
size_t ro_count(const struct ro *r);

/// Facts about servers. A lagging "live" never undoes a leave.
void ro_leave(
    struct ro *r, uint64_t now_us, handle_t server, enum ro_source source);
bool ro_leaving(const struct ro *r, handle_t server, uint64_t *since_us);
void ro_reclaim(struct ro *r, uint64_t now_us, const char *data_centre);
/// A reclaimed data centre takes work again (its VMs are new ones).
void ro_restore(struct ro *r, const char *data_centre);
bool ro_reclaiming(const struct ro *r, const char *data_centre);
void ro_report_in(struct ro *r, uint64_t now_us, handle_t server,
    const struct ro_report *report);
void ro_cache_store(
    struct ro *r, uint64_t now_us, handle_t server, uint64_t block);
void ro_cache_evict(
    struct ro *r, uint64_t now_us, handle_t server, uint64_t block);
/// All events of a server so far are known: its beliefs do not age.
void ro_cache_current(struct ro *r, uint64_t now_us, handle_t server);
/// Events of a server were lost; `missed` 0: nobody knows how many.
void ro_cache_gap(
    struct ro *r, uint64_t now_us, handle_t server, uint64_t missed);

/// STATUS_OK; STATUS_NOT_FOUND (no such pool or version), STATUS_UNAVAILABLE
/// (servers exist, but all are leaving, excluded or full).
enum status ro_choose(struct ro *r, uint64_t now_us, struct rnd *rnd,
    const struct ro_ask *ask, struct ro_choice *out);

/// The life of a dispatched request: begin, first token (or head of the
/// answer), end. `cached_tokens` UINT32_MAX when the server didn't say.
handle_t ro_begin(struct ro *r, uint64_t now_us, const struct ro_ask *ask,
    const struct ro_choice *choice);
void ro_first_token(struct ro *r, uint64_t now_us, handle_t dispatch);
void ro_end(struct ro *r, uint64_t now_us, handle_t dispatch, enum ro_end end,
    uint32_t output_tokens, uint32_t cached_tokens);

/// What is known of a server, for status and metrics.
struct ro_view {
	double load;    ///< Requests there, as reported plus our own.
	uint32_t own;   ///< Our own requests there.
	bool set_aside; ///< Ejected as an outlier.
	bool leaving;
	uint64_t first_token_us; ///< Smoothed; 0: none yet.
	uint64_t failures;
	uint64_t blocks; ///< Beliefs held.
};

bool ro_view(
    const struct ro *r, uint64_t now_us, handle_t server, struct ro_view *out);

/// Hashes of the whole blocks of a prompt, each chained over the earlier.
///
/// @return number of hashes written, at most max
size_t ro_prefix_blocks(
    const void *text, size_t len, uint64_t *out, size_t max);

/// Stable subset of servers for one entry (rendezvous hashing by its name):
/// a server added or removed changes at most one member.
///
/// @param names   names of all servers
/// @param picked  receives indexes into names, best first; room for want
/// @return number picked: the lesser of n and want
size_t ro_subset(const char *entry, const char *const *names, size_t n,
    size_t want, size_t *picked);

#endif
