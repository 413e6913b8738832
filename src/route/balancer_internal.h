#ifndef ROUTE_BALANCER_INTERNAL_H
#define ROUTE_BALANCER_INTERNAL_H

#include "route/balancer.h"
#include "route/prefix_index.h"

/// State shared by the files of the choice; not for other folders. What is
/// one `_` deeper (ro__x) is internal.

#define BALANCER_OWN_HISTORY 64

/// A server that refused a request gets few for this long.
#define BALANCER_BUSY_US 250000

/// Own requests at a server from a time on.
struct balancer_own {
	uint64_t at_us;
	uint32_t n;
};

/// Whether an outlier is set aside.
enum balancer_health {
	BALANCER_HEALTHY,
	BALANCER_EJECTED, ///< Gets nothing until ejected_until_us.
	BALANCER_PROBING, ///< Gets one request at a time.
};

/// Tokens added to a prediction, so that fixed delays do not make short
/// prompts look slow.
#define BALANCER_BASE_TOKENS 64.0

struct balancer_dispatch;

struct balancer_server {
	struct balancer_server_conf conf;
	handle_t handle;
	uint32_t slot;
	uint64_t name_hash;
	struct balancer_pool *pool;
	struct balancer_dc *centre;
	uint32_t versions[BALANCER_MAX_VERSIONS]; ///< Interned.

	bool draining;
	uint64_t leave_us;

	struct balancer_report report;
	uint64_t report_us; ///< When its figures were taken; 0: none yet.
	uint32_t others;    ///< Requests there that aren't ours.
	struct balancer_own history[BALANCER_OWN_HISTORY];
	uint32_t history_newest; ///< Newest.
	uint32_t own;
	uint64_t
	    pending_tokens[BALANCER_PRIORITIES]; ///< Own, no first token yet.
	struct balancer_dispatch *oldest;        ///< Own, no first token yet.
	struct balancer_dispatch *newest;

	double lost;       ///< Grows as beliefs become doubtful.
	uint64_t event_us; ///< Last time all its events were known; 0: never.

	enum balancer_health health;
	uint64_t ejected_until_us;
	uint64_t ejection_us;   ///< Length of the last time aside.
	uint64_t reinstated_us; ///< When it last came back in full.
	uint64_t busy_until_us; ///< It refused a request.
	handle_t probe;         ///< Outstanding probe.
	uint32_t probe_ok_count;
	uint32_t consecutive_failures;
	uint64_t failures;
	double fail_rate; ///< Smoothed.
	double
	    us_per_token; ///< Smoothed microseconds a token to the first one.
	double between;   ///< Smoothed microseconds between tokens.
	double first_us;  ///< Smoothed time to the first token.
	double first_tokens; ///< Smoothed tokens predicted for that.
	uint32_t samples;    ///< Since the last return.
};

struct balancer_pool {
	char name[BALANCER_NAME_BYTES];
	enum balancer_kind kind;
	struct balancer_server **peers;
	uint32_t n_peers;
	uint32_t room;
	double mean_recompute_tokens; ///< Of own requests, smoothed.
	double mean_output_tokens;
	double median_us_per_token;
	double median_inter_token_us;
	uint64_t medians_us; ///< When they were taken.
};

struct balancer_dc {
	char name[BALANCER_NAME_BYTES];
	uint64_t distance_us;
	bool by_note;
	bool by_notice;
};

/// A request on its way.
struct balancer_dispatch {
	handle_t self;
	handle_t server;
	uint64_t begin_us;
	uint64_t first_us; ///< 0: no token yet.
	uint32_t priority;
	uint32_t recompute;
	uint32_t cached;
	double predicted;               ///< Tokens until the first one.
	struct balancer_dispatch *prev; ///< Of its server, no first token yet.
	struct balancer_dispatch *next;
};

struct balancer {
	struct balancer_params params;
	struct slotmap *servers;    ///< of struct balancer_server
	struct slotmap *dispatches; ///< of struct balancer_dispatch
	void *names;    ///< GHashTable: name -> struct balancer_server
	void *pools;    ///< GHashTable: name -> struct balancer_pool
	void *centres;  ///< GHashTable: name -> struct balancer_dc
	void *versions; ///< GHashTable: name -> number
	struct balancer_server **slots;
	uint32_t n_slots;
	struct prefix_index *cache;
	struct prefix_match *matches;    ///< One a slot, scratch.
	double *costs;                   ///< One a slot, scratch.
	struct balancer_server **usable; ///< Room for one a slot, scratch.
};

struct balancer_server *balancer__server(
    const struct balancer *r, handle_t server);
uint32_t balancer__version(struct balancer *r, const char *name);
bool balancer__is_unavailable(const struct balancer_server *p);
double balancer__load(const struct balancer_server *p);
void balancer__update_own(struct balancer_server *p, uint64_t now_us, int by);
double balancer__staleness(
    const struct balancer *r, const struct balancer_server *p, uint64_t now_us);

void balancer__record_success(struct balancer *r, struct balancer_server *p,
    uint64_t now_us, handle_t dispatch);
void balancer__record_failure(struct balancer *r, struct balancer_server *p,
    uint64_t now_us, handle_t dispatch);
void balancer__check_latency(struct balancer *r, struct balancer_server *p,
    uint64_t now_us, handle_t dispatch, double us_per_token);
void balancer__update_medians(
    struct balancer *r, struct balancer_pool *pool, uint64_t now_us);
void balancer__start_probes(struct balancer_pool *pool, uint64_t now_us);

#endif
