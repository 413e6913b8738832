#ifndef GATEWAY_GATEWAY_INTERNAL_H
#define GATEWAY_GATEWAY_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "base/verdict.h"
#include "fleet/evstream.h"
#include "fleet/fleetcfg.h"
#include "fleet/hubmsg.h"
#include "fleet/quota.h"
#include "fleet/instance.h"
#include "front/httpd.h"
#include "gateway/gateway.h"
#include "platform/api_request.h"
#include "platform/api_lister.h"
#include "rollout/rollout.h"
#include "route/balancer.h"
#include "route/retry.h"
#include "wire/transport.h"

/// A control process as this gateway knows it.
struct gateway_hub {
	uint32_t slot;
	handle_t link;
	uint64_t heard_us; ///< 0: never
	uint64_t asked_us; ///< first report that wasn't answered; 0: none
};

/// A backend server of the list.
struct gateway_server {
	struct instance instance;
	handle_t route; ///< handle of routing
	uint64_t round; ///< reading of the list that showed it last
	uint64_t reports;
};

/// A service's work here, since the last report to control.
struct gateway_service_load {
	uint32_t running;
	uint32_t refused;
	uint32_t arrived;
	uint64_t tokens;      ///< of prompts, to be computed by servers
	double tokens_per_ms; ///< that a server computes, smoothed; 0: unknown
	uint64_t work_us;
	struct retry *retries; ///< this gateway's part of the retry budget
};

struct gateway {
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

	/// What control says (gateway_links.c).
	GHashTable *hubs;         ///< slot -> struct gateway_hub
	uint32_t leader;          ///< slot; 0: unknown
	uint64_t leader_heard_us; ///< when the leader's word came last
	uint64_t lease_until_us;
	uint64_t next_report_us;
	uint64_t reported_us;
	uint32_t n_gateways;
	struct fleetcfg *config; ///< NULL: none known yet
	int64_t clock_us;        ///< time since 1970 less the steady clock
	bool clock_is_set;       ///< by control

	/// Backend servers (gateway_servers.c).
	struct balancer *router;
	GHashTable *servers; ///< id -> struct gateway_server
	uint64_t round;
	uint64_t
	    list_fresh_us; ///< when the list was known to be right; 0: never
	uint64_t list;     ///< control's number of the list; 0: read here
	uint32_t pages;    ///< of the newest reading here
	uint64_t next_list_us;
	struct api_lister *lister;

	/// Customers and services.
	GHashTable *quotas; ///< customer -> struct quota_view
	GHashTable *loads;  ///< service -> struct gateway_service_load
	GHashTable *usage;  ///< "window customer" -> struct hubmsg_usage

	/// Moves of services to other versions (gateway_rollout.c).
	struct rollout_entry *versions;
	GHashTable *moves; ///< service -> struct hubmsg_rollout
	uint32_t evidence_leader;
	uint64_t next_evidence_us;

	/// Requests that wait for control's word (gateway_waitq.c).
	GQueue held; ///< of struct gateway_waiting_request
	size_t waiting_bytes;

	struct slotmap *requests; ///< of struct gateway_request
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
struct gateway_request {
	struct gateway *gw;
	handle_t self;
	handle_t caller;          ///< HANDLE_NONE: answered, or gone
	handle_t original_caller; ///< the caller's handle, for good
	struct fleetcfg *config;  ///< in force when it came
	const struct fleetcfg_route *route;
	const struct fleetcfg_service *service;
	const struct fleetcfg_customer *customer; ///< NULL: open route
	struct api_request call;
	char *method;
	char *target; ///< path and query
	uint8_t *body;
	size_t len;
	struct api_headers *headers; ///< to be sent on
	size_t n_headers;            ///< of the caller's own among them
	uint64_t *blocks;            ///< hashes of the prompt's blocks
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
	char server[FLEETCFG_NAME_BYTES];
	uint64_t sent_us;
	uint64_t first_us; ///< first event of the attempt; 0: none yet
	bool weighed;      ///< its prompt is counted as work
	uint32_t sent;     ///< attempts sent so far
	uint32_t ran;      ///< of these, those that may have run
	bool attempt_ran;  ///< the attempt under way is known to run
	struct retry_history attempts;
	enum verdict verdict; ///< of the attempts that ended
	struct api_response answer;
	int status;

	/// A stream on its way to the caller.
	struct evstream *events;
	bool streams; ///< the answer under way is an event stream
	bool started; ///< its head went to the caller
	bool counted; ///< in the usage
	bool stream_broken;
	bool unsent; ///< no server can have got the attempt
	struct api_headers *response_headers;
	GString *error_body; ///< of an answer that isn't a stream
	uint64_t last_event_us;
};

/// gateway.c
bool gateway_is_ready(const struct gateway *g, const char **why);
uint64_t gateway_wall_clock_us(const struct gateway *g);
struct gateway_service_load *gateway_service_load(
    struct gateway *g, const char *service);

/// gateway_links.c: control
enum status gateway_links_start(struct gateway *g);
void gateway_links_tick(struct gateway *g, uint64_t now_us);
void gateway_count_usage(struct gateway_request *q);
void gateway_schedule_report(struct gateway *g);

/// gateway_servers.c: backend servers
void gateway_servers_start(struct gateway *g);
void gateway_servers_tick(struct gateway *g, uint64_t now_us);
void gateway_servers_remove(struct gateway *g, const char *id);
void gateway_servers_update(struct gateway *g, const struct hubmsg_state *s);

/// gateway_rollout.c: services move to other versions
void gateway_rollout_update(struct gateway *g, const GArray *moves);
void gateway_rollout_choose(
    struct gateway_request *q, struct balancer_request *ask);
void gateway_rollout_fall_back(
    const struct gateway_request *q, struct balancer_request *ask);
void gateway_rollout_on_response(struct gateway_request *q, bool failed);
void gateway_rollout_tick(struct gateway *g, uint64_t now_us);
void gateway_rollout_on_ack(struct gateway *g, const struct wire_bytes *b);

/// gateway_accept.c: requests as they come
enum status gateway_accept_start(struct gateway *g);
void gateway_accept_request(struct gateway *g, handle_t handle,
    const struct httpd_request *req, uint64_t arrived_us, bool was_held);

/// gateway_waitq.c: requests that wait until this gateway can serve
bool gateway_waitq_add(struct gateway *g, handle_t caller,
    const struct httpd_request *req, const struct api_request *call,
    const char *why);
bool gateway_waitq_remove(struct gateway *g, handle_t caller);
void gateway_waitq_step(struct gateway *g, uint64_t now_us);
void gateway_waitq_clear(struct gateway *g);

/// gateway_status.c
json_t *gateway_status(struct gateway *g);

/// gateway_retry.c: further attempts
void gateway_give_up(struct gateway_request *q, const char *why);
bool gateway_can_retry(const struct gateway_request *q, const char **why);
bool gateway_retry_plan(
    struct gateway_request *q, enum verdict verdict, uint64_t *at_us);
void gateway_retry_arm(struct gateway_request *q, uint64_t at_us);
bool gateway_retry(struct gateway_request *q);
uint64_t gateway_attempt_deadline_us(
    const struct gateway_request *q, uint64_t now_us);

/// gateway_send.c: attempts
void gateway_send(struct gateway_request *q);
void gateway_request_drop(struct gateway_request *q, enum balancer_outcome how);
void gateway_request_free(struct gateway_request *q);

/// gateway_response.c: answers to callers
void gateway_refuse(struct gateway *g, handle_t caller, int status,
    uint64_t retry_us, const char *id, const char *why);
void gateway_fail(
    struct gateway_request *q, int status, uint64_t retry_us, const char *why);
void gateway_forward_response(
    struct gateway_request *q, int status, const uint8_t *body, size_t len);
bool gateway_stream_feed(
    struct gateway_request *q, const uint8_t *bytes, size_t len);
void gateway_stream_end(struct gateway_request *q);
uint64_t gateway_retry_after(const struct gateway_request *q);

#endif
