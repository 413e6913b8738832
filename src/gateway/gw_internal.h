#ifndef GATEWAY_GW_INTERNAL_H
#define GATEWAY_GW_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "base/verdict.h"
#include "fleet/es.h"
#include "fleet/fc.h"
#include "fleet/lm.h"
#include "fleet/qt.h"
#include "fleet/sv.h"
#include "front/httpd.h"
#include "gateway/gw.h"
#include "platform/pf_call.h"
#include "platform/pf_lister.h"
#include "rollout/rollout.h"
#include "route/balancer.h"
#include "route/retry.h"
#include "wire/transport.h"

/// A control process as this gateway knows it.
struct gw_hub {
	uint32_t slot;
	handle_t link;
	uint64_t heard_us; ///< 0: never
	uint64_t asked_us; ///< first report that wasn't answered; 0: none
};

/// A backend server of the list.
struct gw_server {
	struct sv sv;
	handle_t route; ///< handle of routing
	uint64_t round; ///< reading of the list that showed it last
	uint64_t reports;
};

/// A service's work here, since the last report to control.
struct gw_load {
	uint32_t running;
	uint32_t refused;
	uint32_t arrived;
	uint64_t tokens;      ///< of prompts, to be computed by servers
	double tokens_per_ms; ///< that a server computes, smoothed; 0: unknown
	uint64_t work_us;
	struct retry *retries; ///< this gateway's part of the retry budget
};

struct gw {
	struct loop *loop;
	struct bootstrap_settings settings;
	struct transport *links;
	struct httpd *callers;
	struct httpd *ready;
	struct httpd *metrics; ///< NULL: none
	struct httpc *http;
	struct timerq_timer *tick;
	struct timerq_timer *end;
	uint64_t started_us;
	bool stopping;
	uint64_t stop_us;

	/// What control says (gw_link.c).
	GHashTable *hubs; ///< slot -> struct gw_hub
	uint32_t leader;  ///< slot; 0: unknown
	uint64_t led_us;  ///< when the leader's word came last
	uint64_t lease_until_us;
	uint64_t next_report_us;
	uint64_t reported_us;
	uint32_t n_gateways;
	struct fc *config; ///< NULL: none known yet
	int64_t clock_us;  ///< time since 1970 less the steady clock
	bool clock_told;   ///< by control

	/// Backend servers (gw_list.c).
	struct balancer *router;
	GHashTable *servers; ///< id -> struct gw_server
	uint64_t round;
	uint64_t listed_us; ///< when the list was known to be right; 0: never
	uint64_t list;      ///< control's number of the list; 0: read here
	uint32_t pages;     ///< of the newest reading here
	uint64_t next_list_us;
	struct pf_lister *lister;

	/// Customers and services.
	GHashTable *quotas; ///< customer -> struct qt_view
	GHashTable *loads;  ///< service -> struct gw_load
	GHashTable *usage;  ///< "window customer" -> struct lm_usage

	/// Moves of services to other versions (gw_moves.c).
	struct rollout_entry *versions;
	GHashTable *moves; ///< service -> struct lm_move
	uint32_t evidence_leader;
	uint64_t next_evidence_us;

	/// Requests that wait for control's word (gw_hold.c).
	GQueue held; ///< of struct gw_held
	size_t held_bytes;

	struct slotmap *requests; ///< of struct gw_request
	GHashTable *by_caller;    ///< caller's handle -> handle of the request

	struct metrics_value *n_requests;
	struct metrics_value *n_refused;
	struct metrics_value *n_failed;
	struct metrics_value *n_retries;
	struct metrics_value *n_resumed;
	struct metrics_value *n_cancelled;
	struct metrics_hist *first;
	struct metrics_hist *whole;
};

/// One request of a caller.
struct gw_request {
	struct gw *gw;
	handle_t self;
	handle_t caller;   ///< HANDLE_NONE: answered, or gone
	handle_t came_on;  ///< the caller's handle, for good
	struct fc *config; ///< in force when it came
	const struct fc_route *route;
	const struct fc_service *service;
	const struct fc_customer *customer; ///< NULL: open route
	struct pf_call call;
	char *method;
	char *target; ///< path and query
	uint8_t *body;
	size_t len;
	struct pf_headers *headers; ///< to be sent on
	size_t n_headers;           ///< of the caller's own among them
	uint64_t *blocks;           ///< hashes of the prompt's blocks
	size_t n_blocks;
	uint64_t shared_hash; ///< of all parts of the prompt but the last one
	uint32_t shared_tokens;
	uint32_t priority;

	uint64_t arrived_us;
	uint64_t give_up_us; ///< no answer is of use after this
	struct timerq_timer *timer;

	/// The attempt under way.
	handle_t call_handle; ///< of the HTTP client; HANDLE_NONE: none
	handle_t dispatch;    ///< of routing
	struct balancer_choice choice;
	char server[FC_NAME_BYTES];
	uint64_t sent_us;
	uint64_t first_us;   ///< first event of the attempt; 0: none yet
	bool weighed;        ///< its prompt is counted as work
	uint32_t sent;       ///< attempts sent so far
	uint32_t ran;        ///< of these, those that may have run
	bool dispatched_ran; ///< the attempt under way is known to run
	struct retry_history attempts;
	enum verdict verdict; ///< of the attempts that ended
	struct pf_answer answer;
	int status;

	/// A stream on its way to the caller.
	struct es *events;
	bool streams; ///< the answer under way is an event stream
	bool started; ///< its head went to the caller
	bool counted; ///< in the usage
	bool stream_broken;
	bool unsent; ///< no server can have got the attempt
	struct pf_headers *response_headers;
	GString *error_body; ///< of an answer that isn't a stream
	uint64_t last_event_us;
};

/// gw.c
bool gw_in_service(const struct gw *g, const char **why);
uint64_t gw_true_us(const struct gw *g);
struct gw_load *gw_load(struct gw *g, const char *service);

/// gw_link.c: control
enum status gw_link_start(struct gw *g);
void gw_link_tick(struct gw *g, uint64_t now_us);
void gw_count_usage(struct gw_request *q);
void gw_report_soon(struct gw *g);

/// gw_list.c: backend servers
void gw_list_start(struct gw *g);
void gw_list_tick(struct gw *g, uint64_t now_us);
void gw_list_gone(struct gw *g, const char *id);
void gw_list_told(struct gw *g, const struct lm_state *s);

/// gw_moves.c: services move to other versions
void gw_moves_take(struct gw *g, const GArray *moves);
void gw_moves_choose(struct gw_request *q, struct balancer_request *ask);
void gw_moves_fall_back(
    const struct gw_request *q, struct balancer_request *ask);
void gw_moves_answer(struct gw_request *q, bool failed);
void gw_moves_tick(struct gw *g, uint64_t now_us);
void gw_moves_confirmed(struct gw *g, const struct wire_bytes *b);

/// gw_accept.c: requests as they come
enum status gw_accept_start(struct gw *g);
void gw_take(struct gw *g, handle_t handle, const struct httpd_request *req,
    uint64_t arrived_us, bool was_held);

/// gw_hold.c: requests that wait until this gateway can serve
bool gw_hold(struct gw *g, handle_t caller, const struct httpd_request *req,
    const struct pf_call *call, const char *why);
bool gw_hold_forget(struct gw *g, handle_t caller);
void gw_hold_step(struct gw *g, uint64_t now_us);
void gw_hold_clear(struct gw *g);

/// gw_status.c
json_t *gw_status(struct gw *g);

/// gw_retry.c: further attempts
void gw_give_up(struct gw_request *q, const char *why);
bool gw_may_send_again(const struct gw_request *q, const char **why);
bool gw_retry_plan(struct gw_request *q, enum verdict verdict, uint64_t *at_us);
void gw_retry_arm(struct gw_request *q, uint64_t at_us);
bool gw_retry(struct gw_request *q);
uint64_t gw_silent_from(const struct gw_request *q, uint64_t now_us);

/// gw_send.c: attempts
void gw_send(struct gw_request *q);
void gw_request_drop(struct gw_request *q, enum balancer_outcome how);
void gw_request_free(struct gw_request *q);

/// gw_answer.c: answers to callers
void gw_refuse(struct gw *g, handle_t caller, int status, uint64_t retry_us,
    const char *id, const char *why);
void gw_fail(
    struct gw_request *q, int status, uint64_t retry_us, const char *why);
void gw_pass_on(
    struct gw_request *q, int status, const uint8_t *body, size_t len);
bool gw_stream_feed(struct gw_request *q, const uint8_t *bytes, size_t len);
void gw_stream_end(struct gw_request *q);
uint64_t gw_retry_after(const struct gw_request *q);

#endif
