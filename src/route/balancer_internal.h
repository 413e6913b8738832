#ifndef ROUTE_BALANCER_INTERNAL_H
#define ROUTE_BALANCER_INTERNAL_H

#include "route/balancer.h"
#include "route/brittle.h"
#include "route/prefix_index.h"

/// State shared by the files of the balancer; not for other folders. Names
/// with a double underscore (balancer__x) are internal.

#define BALANCER_OWN_HISTORY 64 ///< Samples kept for each server.

/// A server that refused a request (429) is avoided for this long.
#define BALANCER_BUSY_US 250000

/// Own requests in flight at a server from at_us until the next sample.
struct balancer_own_sample {
	uint64_t at_us;
	uint32_t n;
};

/// State of a server in outlier ejection.
enum balancer_health {
	BALANCER_HEALTHY,
	BALANCER_EJECTED, ///< Gets no requests until ejected_until_us.
	BALANCER_PROBING, ///< Gets one request at a time.
};

/// Tokens added to a prediction, so that fixed delays do not make short
/// prompts look slow.
#define BALANCER_BASE_TOKENS 64.0

struct balancer_dispatch;

/// Cold time of a server, see balancer_cold.c.
struct balancer_cold {
	uint64_t until_us;  ///< 0: it isn't cold
	uint64_t ended_us;  ///< when the last cold time ended
	bool presumed;      ///< by a failure or a return, not told
	struct turns turns; ///< while it is cold, and for some time after
};

#define BALANCER_PACE_NORMAL 100
#define BALANCER_PACE_SAMPLES 5

/// Speed of a server, see balancer_speed.c.
struct balancer_speed {
	uint32_t told_percent; ///< its usual pace, by control; 0: not known
	uint32_t samples[BALANCER_PACE_SAMPLES]; ///< own, a ring
	uint32_t n;                              ///< own samples ever
	uint32_t now_percent;                    ///< last one; 0: none
	uint64_t now_us;                         ///< when it was stated
	double mean_pace; ///< of the stated ones, smoothed; 0: none
};

struct balancer_server {
	struct balancer_server_conf conf;
	handle_t handle;
	uint32_t slot;      ///< Index in balancer.slots and the prefix index.
	uint64_t name_hash; ///< For rendezvous hashing.
	struct balancer_pool *pool;
	struct balancer_dc *data_centre;
	/// Versions served, as numbers of balancer__version().
	uint32_t versions[BALANCER_MAX_VERSIONS];

	bool draining;
	/// It has advertised a limit, is cold, half open or brittle:
	/// balancer__is_open() decides.
	bool restricted;
	uint64_t draining_since_us;

	struct balancer_report report;
	uint64_t report_us;      ///< When its figures were taken; 0: none yet.
	uint32_t other_requests; ///< Reported requests of other entries.
	/// A ring of the newest changes of own_requests.
	struct balancer_own_sample history[BALANCER_OWN_HISTORY];
	uint32_t history_newest; ///< Index of the newest sample.
	uint32_t own_requests;   ///< Requests of this entry in flight there.
	/// Prompt tokens to compute for own requests without a first token, by
	/// priority.
	uint64_t pending_tokens[BALANCER_PRIORITIES];
	struct balancer_dispatch *oldest; ///< Own, no first token yet.
	struct balancer_dispatch *newest;

	/// Grows as entries of the prefix index become less certain; see
	/// balancer__staleness().
	double index_staleness;
	uint64_t event_us; ///< index_staleness includes ageing up to then.

	enum balancer_health health;
	uint64_t ejected_until_us;
	uint64_t ejection_us;   ///< Length of the last ejection.
	uint64_t reinstated_us; ///< When it last became healthy again.
	uint64_t busy_until_us; ///< Set when it refuses a request.
	handle_t probe;         ///< Outstanding probe.
	uint32_t probe_ok_count;
	uint32_t consecutive_failures;
	uint64_t failures;
	double fail_rate;      ///< Smoothed.
	double us_per_token;   ///< ttft_us / ttft_tokens.
	double inter_token_us; ///< Smoothed inter-token latency.
	double ttft_us;        ///< Smoothed time to first token.
	double ttft_tokens;    ///< Smoothed tokens predicted for ttft_us.
	uint32_t samples;      ///< Of ttft_us, since the last reinstatement.

	struct turns turns;       ///< of its advertised limit
	uint64_t paused_until_us; ///< no requests are sent to it until then
	bool half_open;           ///< paused, or it gets one request at a time
	handle_t trial;           ///< that request; HANDLE_NONE: none in flight

	struct balancer_cold cold;
	struct balancer_speed speed;
	struct brittle brittle;
};

struct balancer_pool {
	char name[BALANCER_NAME_BYTES];
	enum balancer_kind kind;
	struct balancer_server **peers;
	uint32_t n_peers;
	uint32_t capacity;            ///< Allocated length of peers.
	double mean_recompute_tokens; ///< Of own requests, smoothed.
	double mean_output_tokens;
	double median_us_per_token;
	double median_inter_token_us;
	uint64_t medians_us; ///< When the medians were computed.
	bool has_pace;       ///< A server has stated its pace.
	struct balancer_cold_rule cold_rule;
	double sent_per_s; ///< Own requests, smoothed; while servers are cold.
	uint64_t sent_us;  ///< When the last one was counted.
};

struct balancer_dc {
	char name[BALANCER_NAME_BYTES];
	uint64_t distance_us;
	bool by_note;   ///< A release note says that it is reclaimed.
	bool by_notice; ///< A reclaim notice was received.
	bool returned;  ///< It gets requests again; balancer_choose() acts.
};

/// A request in flight.
struct balancer_dispatch {
	handle_t self;
	handle_t server;
	uint64_t begin_us;
	uint64_t first_token_at_us; ///< 0: no token yet.
	uint32_t priority;
	uint32_t recompute; ///< Prompt tokens expected to be computed.
	uint32_t cached;    ///< Prompt tokens expected in the server's cache.
	double predicted;   ///< Work until the first token, in tokens.
	/// List of its server's dispatches without a first token.
	struct balancer_dispatch *prev;
	struct balancer_dispatch *next;
};

struct balancer {
	struct balancer_params params;
	struct turns_position position;
	int64_t time_offset_us;     ///< Time since 1970 minus that of `now_us`.
	struct slotmap *servers;    ///< of struct balancer_server
	struct slotmap *dispatches; ///< of struct balancer_dispatch
	void *servers_by_name; ///< GHashTable: name -> struct balancer_server
	void *pools;           ///< GHashTable: name -> struct balancer_pool
	void *data_centres;    ///< GHashTable: name -> struct balancer_dc
	void *versions;        ///< GHashTable: name -> number
	bool any_dc_returned;  ///< A data centre has `returned` set.
	struct balancer_server **slots; ///< By slot; NULL: free.
	uint32_t n_slots;
	struct prefix_index *index;
	struct prefix_match *matches;    ///< Scratch, one for each slot.
	double *costs;                   ///< Scratch, one for each slot.
	struct balancer_server **usable; ///< Scratch, one for each slot.
};

struct balancer_server *balancer__server(
    const struct balancer *r, handle_t server);
uint32_t balancer__version(struct balancer *r, const char *name);
bool balancer__is_unavailable(const struct balancer_server *p);
double balancer__load(const struct balancer_server *p);
void balancer__update_own(struct balancer_server *p, uint64_t now_us, int by);
double balancer__staleness(
    const struct balancer *r, const struct balancer_server *p, uint64_t now_us);

bool balancer__is_open(
    const struct balancer *r, const struct balancer_server *p, uint64_t now_us);
bool balancer__has_turns(const struct balancer_server *p);
struct brittle_senders balancer__senders(
    const struct balancer *r, const struct balancer_server *p);
uint32_t balancer__slots(const struct balancer_server *p);
uint64_t balancer__shared_us(const struct balancer *r, uint64_t now_us);
void balancer__update_restricted(struct balancer_server *p);
void balancer__forget_speed(struct balancer_server *p);

void balancer__speed_record(
    struct balancer_server *p, uint64_t at_us, uint32_t percent);
uint32_t balancer__usual_pace(const struct balancer_server *p);
double balancer__pace(const struct balancer_server *p, uint64_t now_us);
double balancer__stated_pace(const struct balancer_server *p, uint64_t now_us);
double balancer__mean_pace(const struct balancer_server *p);

bool balancer__is_cold(const struct balancer_server *p, uint64_t now_us);
void balancer__cold_expire(struct balancer_server *p, uint64_t now_us);
void balancer__cold_set_turns(
    struct balancer *r, struct balancer_server *p, uint64_t now_us);
double balancer__cold_cost(const struct balancer *r,
    const struct balancer_server *p, uint64_t now_us, uint32_t n_usable);
void balancer__cold_count(
    struct balancer *r, struct balancer_server *p, uint64_t now_us);
uint64_t balancer__cold_opens_us(
    const struct balancer *r, const struct balancer_server *p, uint64_t now_us);
void balancer__cold_presume_returned(struct balancer *r, uint64_t now_us);
void balancer__count_sent(struct balancer *r, struct balancer_server *p,
    uint64_t now_us, handle_t dispatch);
void balancer__end_trial(struct balancer_server *p, uint64_t now_us,
    handle_t dispatch, enum balancer_outcome end);

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
