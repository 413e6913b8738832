#ifndef ROUTE_RO_IN_H
#define ROUTE_RO_IN_H

#include "route/ro.h"
#include "route/ro_cache.h"

/// State shared by the files of the choice; not for other folders. What is
/// one `_` deeper (ro__x) is internal.

#define RO_OWN_HISTORY 64

/// A server that refused a request gets few for this long.
#define RO_BUSY_US 250000

/// Own requests at a server from a time on.
struct ro_own {
	uint64_t at_us;
	uint32_t n;
};

/// Whether an outlier is set aside.
enum ro_health {
	RO_HEALTHY,
	RO_ASIDE,   ///< Gets nothing until aside_until_us.
	RO_PROBING, ///< Gets one request at a time.
};

/// Tokens added to a prediction, so that fixed delays do not make short
/// prompts look slow.
#define RO_BASE_TOKENS 64.0

struct ro_dispatch;

struct ro_peer {
	struct ro_server conf;
	handle_t handle;
	uint32_t slot;
	uint64_t name_hash;
	struct ro_pool *pool;
	struct ro_centre *centre;
	uint32_t versions[RO_MAX_VERSIONS]; ///< Interned.

	bool leaving;
	uint64_t leave_us;

	struct ro_report report;
	uint64_t report_us; ///< When its figures were taken; 0: none yet.
	uint32_t others;    ///< Requests there that aren't ours.
	struct ro_own history[RO_OWN_HISTORY];
	uint32_t history_at; ///< Newest.
	uint32_t own;
	uint64_t pending_tokens[RO_PRIORITIES]; ///< Own, no first token yet.
	struct ro_dispatch *oldest;             ///< Own, no first token yet.
	struct ro_dispatch *newest;

	double lost;       ///< Grows as beliefs become doubtful.
	uint64_t event_us; ///< Last time all its events were known; 0: never.

	enum ro_health health;
	uint64_t aside_until_us;
	uint64_t aside_us;      ///< Length of the last time aside.
	uint64_t return_us;     ///< When it last came back in full.
	uint64_t busy_until_us; ///< It refused a request.
	handle_t probe;         ///< Outstanding probe.
	uint32_t probe_good;
	uint32_t failures_in_row;
	uint64_t failures;
	double fail_rate; ///< Smoothed.
	double pace;      ///< Smoothed microseconds a token to the first one.
	double between;   ///< Smoothed microseconds between tokens.
	double first_us;  ///< Smoothed time to the first token.
	double first_tokens; ///< Smoothed tokens predicted for that.
	uint32_t samples;    ///< Since the last return.
};

struct ro_pool {
	char name[RO_NAME_BYTES];
	enum ro_kind kind;
	struct ro_peer **peers;
	uint32_t n_peers;
	uint32_t room;
	double mean_recompute; ///< Of own requests, smoothed.
	double mean_output;
	double median_pace;
	double median_between;
	uint64_t medians_us; ///< When they were taken.
};

struct ro_centre {
	char name[RO_NAME_BYTES];
	uint64_t distance_us;
	bool by_note;
	bool by_notice;
};

/// A request on its way.
struct ro_dispatch {
	handle_t self;
	handle_t server;
	uint64_t begin_us;
	uint64_t first_us; ///< 0: no token yet.
	uint32_t priority;
	uint32_t recompute;
	uint32_t cached;
	double predicted;         ///< Tokens until the first one.
	struct ro_dispatch *prev; ///< Of its server, no first token yet.
	struct ro_dispatch *next;
};

struct ro {
	struct ro_params params;
	struct slotmap *servers;    ///< of struct ro_peer
	struct slotmap *dispatches; ///< of struct ro_dispatch
	void *names;                ///< GHashTable: name -> struct ro_peer
	void *pools;                ///< GHashTable: name -> struct ro_pool
	void *centres;              ///< GHashTable: name -> struct ro_centre
	void *versions;             ///< GHashTable: name -> number
	struct ro_peer **slots;
	uint32_t n_slots;
	struct ro_cache *cache;
	struct ro_match *matches; ///< One a slot, scratch.
	double *costs;            ///< One a slot, scratch.
	struct ro_peer **usable;  ///< Room for one a slot, scratch.
};

struct ro_peer *ro__peer(const struct ro *r, handle_t server);
uint32_t ro__version(struct ro *r, const char *name);
bool ro__blocked(const struct ro_peer *p);
double ro__load(const struct ro_peer *p);
void ro__own_changed(struct ro_peer *p, uint64_t now_us, int by);
double ro__lost(const struct ro *r, const struct ro_peer *p, uint64_t now_us);

void ro__good(
    struct ro *r, struct ro_peer *p, uint64_t now_us, handle_t dispatch);
void ro__bad(
    struct ro *r, struct ro_peer *p, uint64_t now_us, handle_t dispatch);
void ro__judge_pace(struct ro *r, struct ro_peer *p, uint64_t now_us,
    handle_t dispatch, double pace);
void ro__medians(struct ro *r, struct ro_pool *pool, uint64_t now_us);
void ro__wake(struct ro_pool *pool, uint64_t now_us);

#endif
