#ifndef ROUTE_BALANCER_H
#define ROUTE_BALANCER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"
#include "base/rnd.h"
#include "base/status.h"
#include "route/turns.h"

/// Load balancing: chooses the backend server of a request. A core without
/// I/O. Costs are in tokens, so that recomputing a prompt on an idle server can
/// be weighed against queueing at one that has it cached.

#define BALANCER_NAME_BYTES 64
#define BALANCER_MAX_VERSIONS 8
#define BALANCER_MAX_EXCLUDED 8
#define BALANCER_MAX_EXCLUDED_DCS 32
#define BALANCER_PRIORITIES 10
#define BALANCER_BLOCK_BYTES 64 ///< Bytes of prompt covered by one hash.

struct balancer;

enum balancer_kind {
	BALANCER_RUNNER,  ///< A model engine with a prefix cache.
	BALANCER_SERVICE, ///< A plain service.
};

/// Who reported that a server is draining; the earliest report counts.
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
	/// Size of its prefix cache in tokens, 0: unknown. Work done there
	/// evicts older prompts.
	uint64_t kv_tokens;
	uint32_t slots; ///< Requests at a time; 0: unknown.
	/// A change drops its load, prefix index entries and draining state.
	uint64_t incarnation;
	uint64_t tag; ///< Opaque to the balancer; returned by a choice.
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
	uint32_t slots;           ///< Requests at a time; 0: unknown.
	/// Time that work takes there now, in percent of the usual; 0: unknown.
	uint32_t pace_percent;
	bool draining; ///< Taken as BALANCER_BY_SERVER.
};

/// A request to be dispatched. The balancer keeps no pointer of it.
struct balancer_request {
	const char *pool;
	const char *version;     ///< NULL or "": any.
	const char *not_version; ///< NULL: none is excluded.
	const uint64_t *blocks;  ///< Chained hashes of the prompt's blocks.
	size_t n_blocks;
	uint32_t prompt_tokens;
	/// Hash of the prompt's prefix that requests of other entries share.
	/// All entries prefer the same server for it, which is assumed to have
	/// it cached. 0: none.
	uint64_t shared_hash;
	uint32_t shared_tokens; ///< Length of that prefix.
	uint32_t output_tokens; ///< Expected; 0: the pool's mean so far.
	uint32_t priority;      ///< 0 first, below BALANCER_PRIORITIES.
	uint32_t n_servers;     ///< Excluded: already tried by this request.
	handle_t servers[BALANCER_MAX_EXCLUDED];
	uint32_t n_data_centres; ///< Excluded.
	const char *data_centres[BALANCER_MAX_EXCLUDED_DCS];
};

struct balancer_choice {
	handle_t server;
	uint64_t tag;              ///< Of the server.
	uint32_t cached_tokens;    ///< Expected to be in its cache.
	uint32_t recompute_tokens; ///< The rest of the prompt.
	double queue_tokens;       ///< Work queued ahead of this request.
	uint64_t first_token_us;   ///< Expected from now; 0: not known yet.
	handle_t preferred;        ///< Server preferred for the shared prompt;
				   ///< HANDLE_NONE: there is none.
	bool probe;                ///< The request probes an ejected server.
	bool panic; ///< Too many are ejected, so ejection was ignored.
};

/// How a dispatched request ended.
enum balancer_outcome {
	BALANCER_DONE,      ///< A complete response.
	BALANCER_FAILED,    ///< Truncated, server error or no connection.
	BALANCER_TIMED_OUT, ///< Counts as failed.
	BALANCER_REFUSED,   ///< 429: busy, not at fault.
	BALANCER_CANCELLED, ///< The caller left; says nothing about the server.
};

struct balancer_params {
	/// A server's load may be at most load_bound times the pool's mean or
	/// the mean plus load_slack requests, whichever is more.
	double load_bound;
	uint32_t load_slack;
	double queue_weight; ///< Cost of a queued token; a recomputed one is 1.
	/// Cost in tokens of each request already running at a server.
	uint32_t running_request_tokens;
	double distance_tokens_per_ms; ///< Cost of each ms of one-way distance.
	/// Costs within this fraction of the lowest are equal.
	double tie_tolerance;
	uint32_t eject_failures; ///< Consecutive failures that eject a server.
	/// A server this many times slower than its pool's median is ejected.
	double eject_latency_ratio;
	uint32_t eject_min_samples; ///< Before its latency can eject a server.
	uint32_t eject_max_percent; ///< Of a pool's servers, ejected at once.
	/// With fewer than this percentage of servers healthy, ejection is
	/// ignored.
	uint32_t panic_percent;
	uint64_t eject_us; ///< First ejection; each repeated one doubles it,
	uint64_t eject_max_us;       ///< up to this.
	uint32_t probe_successes;    ///< Successful probes before reinstating.
	uint64_t index_half_life_us; ///< Of prefix index entries of a server
				     ///< that sends no events.
	uint32_t max_blocks; ///< Entries of the prefix index, all servers.
	/// Number of entries that send work to these servers.
	double n_entries;
};

extern const struct balancer_params balancer_defaults;

struct balancer *balancer_new(const struct balancer_params *params);
void balancer_free(struct balancer *r);
void balancer_set_entries(struct balancer *r, uint32_t n);

/// Sets a data centre's one-way distance from the entry's own, and whether a
/// release note says that it is reclaimed. When the note no longer says so, a
/// reclaim that a notice began ends too.
void balancer_set_data_centre(struct balancer *r, const char *name,
    uint64_t distance_us, bool reclaiming);
handle_t balancer_set_server(struct balancer *r, uint64_t now_us,
    const struct balancer_server_conf *server);
void balancer_remove_server(struct balancer *r, handle_t server);
handle_t balancer_find(const struct balancer *r, const char *name);
const struct balancer_server_conf *balancer_get(
    const struct balancer *r, handle_t server);
size_t balancer_count(const struct balancer *r);

/// Marks a server as draining. Draining is final for an incarnation: a later
/// report that says "live" doesn't undo it.
void balancer_set_draining(struct balancer *r, uint64_t now_us, handle_t server,
    enum balancer_drain_source source);
bool balancer_is_draining(
    const struct balancer *r, handle_t server, uint64_t *since_us);
/// A reclaim notice for a data centre: its servers get no new requests.
void balancer_reclaim_dc(
    struct balancer *r, uint64_t now_us, const char *data_centre);
/// Ends a reclaim that a notice began: the data centre has new VMs.
void balancer_restore_dc(struct balancer *r, const char *data_centre);
/// Whether a release note, or a notice that hasn't ended, says that a data
/// centre is reclaimed.
bool balancer_is_reclaiming(const struct balancer *r, const char *data_centre);
void balancer_record_report(struct balancer *r, uint64_t now_us,
    handle_t server, const struct balancer_report *report);
void balancer_block_stored(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t block);
void balancer_block_evicted(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t block);
/// All cache events of a server up to now were received, so its prefix index
/// entries have not aged since.
void balancer_events_current(
    struct balancer *r, uint64_t now_us, handle_t server);
/// Cache events of a server were lost.
///
/// @param missed  how many; 0: unknown
void balancer_events_lost(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t missed);

/// Advertised limits of servers; see turns.h.
void balancer_set_position(struct balancer *r, uint64_t now_us,
    struct turns_position position, int64_t time_offset_us);
void balancer_set_limit(
    struct balancer *r, uint64_t now_us, handle_t server, double per_s);

/// A server that fails when it refuses too much, see brittle.h. `max_refusals`
/// doesn't matter when it isn't brittle.
void balancer_set_brittle(struct balancer *r, handle_t server, bool is_brittle,
    uint32_t max_refusals);

/// See balancer_speed.c.
void balancer_set_pace(struct balancer *r, handle_t server, uint32_t percent);

/// What a pool says of its cold servers; see balancer_cold.c.
struct balancer_cold_rule {
	uint64_t start_us; ///< a server is cold so long after a start; 0: never
	double per_s;      ///< requests that a cold server takes per second
	double max_per_s;  ///< that it may get in any second from all processes
};

void balancer_set_cold_rule(struct balancer *r, const char *pool,
    const struct balancer_cold_rule *rule);
void balancer_set_cold(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t until_us);
void balancer_presume_cold(
    struct balancer *r, uint64_t now_us, handle_t server);

/// Whether and how long a server is cold.
struct balancer_cold_state {
	uint64_t until_us; ///< in the past: it isn't
	bool presumed;     ///< it may have restarted; not known
};

struct balancer_cold_state balancer_cold_state(
    const struct balancer *r, uint64_t now_us, handle_t server);

/// Sends no requests to a server until a time. After it the server gets one
/// request at a time until it has responded to one.
void balancer_pause(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t until_us);

/// Whether a server takes a request now, by its limit, its pause and its cold
/// time. One for its health needs no room at a brittle one.
bool balancer_is_open(
    const struct balancer *r, uint64_t now_us, handle_t server);

/// Counts a request that is sent to a server without a dispatch.
void balancer_count_request(
    struct balancer *r, uint64_t now_us, handle_t server);

/// When the servers of a pool that take no request now will take some.
struct balancer_openings {
	uint64_t next_us;   ///< of the first one
	double per_s;       ///< requests per second to servers with a limit
	bool any_unlimited; ///< a server without a limit, or of which it isn't
			    ///< known how much it takes, is among them
};

bool balancer_openings(const struct balancer *r, uint64_t now_us,
    const char *name, struct balancer_openings *out);

enum status balancer_choose(struct balancer *r, uint64_t now_us,
    struct rnd *rnd, const struct balancer_request *request,
    struct balancer_choice *out);

handle_t balancer_begin(struct balancer *r, uint64_t now_us,
    const struct balancer_request *request,
    const struct balancer_choice *choice);
void balancer_first_token(
    struct balancer *r, uint64_t now_us, handle_t dispatch);
void balancer_end(struct balancer *r, uint64_t now_us, handle_t dispatch,
    enum balancer_outcome end, uint32_t output_tokens, uint32_t cached_tokens);

struct balancer_server_stats {
	double load;           ///< Requests there: reported ones plus our own.
	uint32_t own_requests; ///< Our own requests there.
	bool ejected;          ///< Ejected as an outlier.
	bool draining;
	double limit_per_s;       ///< Advertised; 0: none.
	uint64_t paused_until_us; ///< In the past: it isn't.
	uint64_t cold_until_us;   ///< In the past: it isn't.
	bool brittle;
	uint32_t places; ///< Own requests that a brittle one gets at a time.
	uint32_t pace_percent;     ///< Usual time of work there.
	uint32_t pace_now_percent; ///< Expected of work sent now.
	uint64_t first_token_us;   ///< Smoothed; 0: none yet.
	uint64_t failures;
	uint64_t blocks; ///< Entries of the prefix index for it.
};

bool balancer_server_stats(const struct balancer *r, uint64_t now_us,
    handle_t server, struct balancer_server_stats *out);

/// Hashes the full blocks of a prompt, each hash chained over the earlier ones.
///
/// @param out  receives the hashes; room for max
/// @return number of hashes written, at most max
size_t balancer_hash_prompt(
    const void *text, size_t len, uint64_t *out, size_t max);

/// Stable subset of servers for one entry, by rendezvous hashing: a server
/// added or removed changes at most one member.
///
/// @param entry   name of the entry
/// @param names   names of all servers
/// @param picked  receives indexes into names, best first; room for want
/// @return number picked: the lesser of n and want
size_t balancer_subset(const char *entry, const char *const *names, size_t n,
    size_t want, size_t *picked);

#endif
