#ifndef GATEWAY_GATEWAY_INTERNAL_H
#define GATEWAY_GATEWAY_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "base/verdict.h"
#include "fleet/crashlog.h"
#include "fleet/evstream.h"
#include "fleet/fleetcfg.h"
#include "fleet/hubmsg.h"
#include "fleet/feedmsg.h"
#include "fleet/feedsource.h"
#include "fleet/partlog.h"
#include "fleet/quota.h"
#include "fleet/instance.h"
#include "fleet/limitmsg.h"
#include "fleet/listview.h"
#include "fleet/reach.h"
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
	uint32_t slot; ///< encodes its address, see slotaddr.h
	handle_t link;
	uint64_t incarnation; ///< of the process that the link led to last
	bool told_parts;      ///< it was sent the revision of the blocked parts
	bool sent_limits;     ///< it was sent the known limits, as the leader
	bool acks_limits;     ///< it has responded to that
	uint64_t last_contact_us;     ///< when it last sent its state; 0: never
	uint64_t unanswered_since_us; ///< when the first report without a
				      ///< response was sent; 0: none
	char data_centre[FLEETCFG_NAME_BYTES]; ///< empty: not known yet
	uint64_t feed_avoid_until_us; ///< not asked for the list until then
	uint32_t feed_closes; ///< links closed since an ask, without an answer
};

/// A backend server of the list.
struct gateway_server {
	struct instance instance;
	handle_t balancer_handle;
	uint64_t list_round; ///< gateway's list_round when it was last listed
	uint64_t n_reports;  ///< load reports in its responses
	double limit_per_s; ///< requests that it takes from all gateways; 0: no
			    ///< limit
	uint64_t limit_since_us;    ///< when that became known here
	bool is_brittle;            ///< see route/brittle.h
	uint32_t max_refusals;      ///< in a second, if it is brittle
	uint64_t brittle_since_us;  ///< when that became known here
	bool signalled_leaving;     ///< in a response since its last start
	uint64_t incarnation;       ///< starts under this id, as known here
	uint64_t next_check_us;     ///< whether it still leaves
	bool cold_check_in_flight;  ///< whether it is cold
	uint32_t told_pace_percent; ///< by the list; 0: not known
	uint32_t n_speed_samples;   ///< sent to the leader for that figure
	uint32_t n_contrary; ///< samples in a row that contradict the figure
	struct reach_server reach; ///< this gateway's own way to it
	bool malformed_logged[API_N_SIGNALS];
};

/// A service's work at this gateway. The counts but `running` are those since
/// the last report to control.
struct gateway_service_load {
	uint32_t running; ///< attempts in flight
	uint32_t refused; ///< requests that failed with status 503
	uint32_t arrived;
	uint64_t tokens;      ///< of prompts, to be computed by servers
	double tokens_per_ms; ///< that a server computes, estimated; 0: unknown
	uint64_t work_us;     ///< that ended attempts took
	uint64_t answered_us; ///< when a prompt was last answered completely;
			      ///< 0: never
	struct retry *retries; ///< this gateway's part of the retry budget
	struct reach reach;    ///< this gateway's own way to the servers
	/// Requests that wait until a server takes more (gateway_openq.c):
	/// struct gateway_request, by priority.
	GQueue waiting;
	struct timerq_timer *opening; ///< NULL: none has waited yet
};

/// A part of prompts that crashes the servers of its service.
struct gateway_blocked_part {
	struct crashlog_part part;
	uint64_t until_us; ///< prompts with it are refused until then
};

struct gateway {
	struct loop *loop;
	struct bootstrap_settings settings;
	struct transport *links;
	struct httpd *callers; ///< server for callers' requests
	struct httpd *ready;   ///< server for the load balancer's checks
	struct httpd *metrics; ///< NULL: none
	struct httpc *http;
	struct timerq_timer *tick;
	struct timerq_timer *shutdown_timer;
	uint64_t started_us;
	bool stopping;
	uint64_t stop_us;
	uint64_t finish_us;    ///< no request is left to serve; 0: not yet
	bool refuses_new;      ///< the stop is too far on for more requests
	bool failed_remaining; ///< the requests left have got their responses

	/// Contact with control (gateway_links.c).
	struct hosttable *hosts;    ///< addresses of control processes
	GHashTable *hubs;           ///< slot -> struct gateway_hub
	uint32_t leader;            ///< slot; 0: unknown
	uint64_t leader_contact_us; ///< when the leader's state came last
	uint64_t lease_until_us; ///< the configuration may be used until then;
				 ///< 0: never gained
	uint64_t next_report_us;
	uint64_t reported_us;    ///< when the last report was sent
	uint32_t n_gateways;     ///< live ones of the deployment
	struct fleetcfg *config; ///< NULL: none known yet
	int64_t clock_offset_us; ///< time since 1970 minus the steady clock
	bool clock_is_set;       ///< by control

	/// Backend servers (gateway_servers.c).
	struct balancer *balancer;
	GHashTable *servers;    ///< id -> struct gateway_server
	GHashTable *unlisted;   ///< server's id -> its signals while not listed
	uint64_t list_round;    ///< number of updates of the list
	struct listview list;   ///< revision and age of the list
	uint64_t list_fresh_us; ///< when the list was last known to be current;
				///< 0: there is none
	uint64_t engines_digest; ///< of the services' engines that the balancer
				 ///< knows of
	uint64_t list_asked_us;  ///< when this gateway's last reading began
	uint64_t next_list_us;
	bool reads_list; ///< from the platform, as control doesn't send it
	struct api_lister *lister;
	struct feedsource feed; ///< where the list and configurations come from
	uint64_t next_ask_us;

	uint64_t next_reach_us; ///< when servers out of reach are checked again

	struct turns_position position; ///< for the limits of servers
	uint64_t next_leaving_us; ///< when leaving servers are looked at again

	/// Attempts that are sent through other gateways (gateway_relay.c), and
	/// those that these send through this one (gateway_relayed.c).
	GArray *peers;       ///< gateways, those of this data centre first
	GHashTable *avoided; ///< peer and service -> until when
	struct httpd *relay; ///< NULL: takes none
	GHashTable *relayed; ///< request's handle -> struct relayed

	struct gateway_evac *evac; ///< evacuated data centres (gateway_evac.c)

	/// Customers and services.
	GHashTable *quotas; ///< customer -> struct quota_view
	GHashTable *loads;  ///< service -> struct gateway_service_load
	GHashTable *usage;  ///< "window customer" -> struct hubmsg_usage

	/// Parts of prompts that crash servers (gateway_parts.c,
	/// gateway_crashes.c).
	struct partlog *answered_parts;
	GArray *blocked_parts;     ///< struct gateway_blocked_part
	uint64_t blocked_revision; ///< of control's blocked parts; 0: none
	GHashTable *crash_checks;  ///< server's id -> struct crash
	GQueue reported_crashes;   ///< struct crash, oldest first
	GQueue held_crashes; ///< of servers of services that are out of reach

	/// Rollouts of services' versions (gateway_rollout.c).
	struct rollout_entry *rollout_entry;
	GHashTable *rollouts;  ///< service -> struct hubmsg_rollout
	uint32_t stats_leader; ///< slot of the leader that got the last stats
	uint64_t next_stats_us;

	/// Requests that wait until this gateway is ready (gateway_waitq.c).
	GQueue wait_queue;    ///< of struct gateway_waiting_request
	size_t waiting_bytes; ///< of their bodies

	struct slotmap *requests; ///< of struct gateway_request
	GHashTable *by_caller;    ///< caller's handle -> handle of the request

	struct metrics_value *n_requests;
	struct metrics_value *n_refused;
	struct metrics_value *n_failed;
	struct metrics_value *n_retries;
	struct metrics_value *n_resumed;
	struct metrics_value *n_cancelled;
	struct metrics_value *n_blocked; ///< refused for a part of the prompt
	struct metrics_value *n_server_crashes;
	/// Responses with each signal.
	struct metrics_value *n_signals[API_N_SIGNALS];
	struct metrics_value *n_malformed_signals;
	struct metrics_value *n_cold_checks; ///< requests for health
	struct metrics_value *n_relays;      ///< attempts sent through others
	struct metrics_value *n_relays_refused;   ///< by these
	struct metrics_value *n_relayed;          ///< attempts sent for others
	struct metrics_value *n_pace_samples;     ///< sent to the leader
	struct metrics_hist *first_event_latency; ///< or that of the response
	struct metrics_hist *total_latency;
};

/// Whether a server has ended with the connection of an attempt.
enum gateway_server_end {
	GATEWAY_SERVER_CHECKED, ///< gateway_response_checked() will tell
	GATEWAY_SERVER_LIVES,   ///< no sign of it
	GATEWAY_SERVER_UNKNOWN, ///< it may have, and can't be checked
};

/// One request of a caller.
struct gateway_request {
	struct gateway *gateway;
	handle_t self;
	handle_t caller;          ///< HANDLE_NONE: has its response, or left
	handle_t original_caller; ///< the caller's handle, never reset
	struct fleetcfg *config;  ///< in force when it came
	const struct fleetcfg_route *route;
	const struct fleetcfg_service *service;
	const struct fleetcfg_customer
	    *customer;           ///< NULL: the route needs no API key
	struct api_request call; ///< fields of its headers
	char *key;               ///< the caller's API key; NULL: none
	char *method;
	char *target; ///< path and query
	uint8_t *body;
	size_t len;
	struct api_headers *headers; ///< for the backend server
	size_t n_headers; ///< that are the caller's; those set here follow
	uint64_t
	    *blocks; ///< hashes of the prompt's blocks, for the prefix index
	size_t n_blocks;
	uint64_t shared_hash; ///< of all parts of the prompt but the last one
	uint32_t shared_tokens;
	uint32_t priority; ///< 0: highest

	uint64_t arrived_us;
	uint64_t deadline_us; ///< the response, or a stream's first event, must
			      ///< have come by then
	struct timerq_timer *timer; ///< next attempt, or the end of this one

	/// The attempt in flight, or the last one.
	handle_t
	    call_handle;   ///< of the HTTP client; HANDLE_NONE: none in flight
	handle_t dispatch; ///< dispatch of the balancer
	struct balancer_choice choice;
	char server[FLEETCFG_NAME_BYTES]; ///< its id in the list
	uint64_t attempt_sent_us;
	uint64_t first_event_us; ///< when its first event came; 0: none yet
	uint32_t quota_asked;    ///< slot of the control process that is asked
				 ///< for a grant; 0: none
	bool awaits_opening;     ///< in its service's queue
	bool work_counted; ///< the prompt is counted in the service's load
	uint32_t via; ///< packed address of the gateway that the attempt goes
		      ///< through; 0: none
	uint32_t n_relays; ///< gateways that the attempt was sent to
	bool awaits_relay; ///< is sent through another one now
	uint32_t n_sent;   ///< attempts sent so far
	uint32_t n_ran;    ///< of these, those that may have run
	bool attempt_ran;  ///< the attempt is known to run
	struct retry_history attempts;
	enum verdict verdict;         ///< of all ended attempts together
	struct api_response response; ///< fields of the response's headers
	int status; ///< HTTP status of the response; 0: none yet

	/// Response to the caller.
	struct evstream *events; ///< NULL: the route isn't a stream
	bool is_stream;          ///< the attempt's response is an event stream
	bool head_sent;          ///< the stream's head was sent to the caller
	bool usage_counted;      ///< in the customer's usage
	bool protocol_error;     ///< the attempt's stream is malformed
	bool not_sent;           ///< no server can have received the attempt
	struct api_headers *response_headers;
	GString *kept_body; ///< of a response that isn't a stream
	uint64_t last_event_us;
};

/// gateway.c
bool gateway_is_ready(const struct gateway *g, const char **why);
uint64_t gateway_wall_clock_us(const struct gateway *g);
struct gateway_service_load *gateway_service_load(
    struct gateway *g, const char *service);

/// gateway_links.c: reports to control, and its state
enum status gateway_links_start(struct gateway *g);
uint64_t gateway_config_version(const struct gateway *g);
void gateway_apply_config(
    struct gateway *g, uint64_t version, const uint8_t *manifest, size_t len);
void gateway_links_tick(struct gateway *g, uint64_t now_us);
void gateway_count_usage(struct gateway_request *q);
void gateway_schedule_report(struct gateway *g);

/// gateway_feed.c: the configuration and the list of servers from control
void gateway_feed_tick(struct gateway *g, uint64_t now_us);
void gateway_feed_on_update(struct gateway *g, const struct wire_hello *hello,
    const struct wire_bytes *bytes);
void gateway_feed_on_link_down(struct gateway *g, struct gateway_hub *h);

/// gateway_servers.c: backend servers
void gateway_servers_start(struct gateway *g);
void gateway_servers_tick(struct gateway *g, uint64_t now_us);
void gateway_servers_on_misdirected(struct gateway *g, const char *id);
void gateway_servers_refresh(struct gateway *g, struct gateway_server *s);
void gateway_servers_update(
    struct gateway *g, uint64_t source, const struct feedmsg_update *u);

/// gateway_evac.c: evacuated data centres
void gateway_evac_start(struct gateway *g);
void gateway_evac_stop(struct gateway *g);
bool gateway_evac_update(struct gateway *g, const struct hubmsg_state *s);
bool gateway_evac_covers(const struct gateway *g, const char *zone);
bool gateway_evac_covers_attempt(const struct gateway_request *q);
uint64_t gateway_evac_revision(const struct gateway *g);
json_t *gateway_evac_json(const struct gateway *g);

/// gateway_regions.c: regions where a request may run
bool gateway_regions_exclude(
    const struct gateway_request *q, struct balancer_request *query);
bool gateway_regions_have_server(const struct gateway_request *q);

/// gateway_rollout.c: rollouts of services' versions
void gateway_rollout_update(struct gateway *g, const GArray *rollouts);
void gateway_rollout_choose(
    struct gateway_request *q, struct balancer_request *query);
void gateway_rollout_fall_back(
    const struct gateway_request *q, struct balancer_request *query);
void gateway_rollout_on_response(struct gateway_request *q, bool failed);
void gateway_rollout_tick(struct gateway *g, uint64_t now_us);
void gateway_rollout_on_ack(struct gateway *g, const struct wire_bytes *b);

/// gateway_accept.c: new requests of callers
enum status gateway_accept_start(struct gateway *g);
void gateway_accept_check_keys(struct gateway *g);
void gateway_accept_set_limits(struct gateway *g);
struct httpd *gateway_accept_new_server(struct gateway *g,
    void (*request)(void *, handle_t, const struct httpd_request *),
    void (*gone)(void *, handle_t));
void gateway_accept_request(struct gateway *g, handle_t handle,
    const struct httpd_request *req, uint64_t arrived_us, bool was_queued);

/// gateway_quota.c: customers' quotas
enum gateway_quota {
	GATEWAY_QUOTA_GRANTED,
	GATEWAY_QUOTA_REFUSED, ///< the request is released
	GATEWAY_QUOTA_WAITS,   ///< goes on with control's answer
};

enum gateway_quota gateway_quota_take(struct gateway_request *q);
void gateway_quota_on_timeout(struct gateway_request *q);
void gateway_quota_on_answer(struct gateway *g, const struct wire_bytes *bytes);
void gateway_quota_on_leader(struct gateway *g);
void gateway_quota_forget(struct gateway_request *q);

/// Room for gateway_parts_text(): a 64-bit number in hexadecimal and a comma
/// for each part.
#define GATEWAY_PARTS_TEXT_BYTES (API_MAX_PROMPT_PARTS * 17)

/// gateway_parts.c: parts of prompts
void gateway_parts_text(
    const struct gateway_request *q, char *out, size_t size);
void gateway_parts_answered(const struct gateway_request *q);
uint64_t gateway_parts_blocked_until(const struct gateway *g,
    const char *service, const struct api_request *call);
void gateway_parts_refuse(struct gateway_request *q, uint64_t until_us);
void gateway_parts_tell_revision(struct gateway *g, handle_t link);
void gateway_parts_on_state(
    struct gateway *g, handle_t link, const struct wire_bytes *bytes);

/// gateway_unlisted.c: signals of servers that aren't listed
void gateway_unlisted_start(struct gateway *g);
void gateway_unlisted_keep(struct gateway *g, const struct gateway_server *s);
void gateway_unlisted_restore(struct gateway *g, struct gateway_server *s);

/// gateway_crashes.c: crashes of servers
void gateway_crashes_start(struct gateway *g);
void gateway_crashes_tick(struct gateway *g, uint64_t now_us);
void gateway_crashes_clear(struct gateway *g);
void gateway_crashes_on_leader(struct gateway *g);
void gateway_crashes_on_lost(const struct gateway_request *q);
enum gateway_server_end gateway_crashes_wait(const struct gateway_request *q);

/// Status of a server that isn't the one that the request names.
#define GATEWAY_HTTP_MISDIRECTED 421

/// gateway_signals.c: signals in the responses of servers
void gateway_signals_on_head(const struct gateway_request *q);
void gateway_signals_apply(struct gateway *g, const char *server,
    const struct api_response *response, int http_status, uint64_t sent_us);

uint32_t gateway_signals_count(const struct gateway *g, enum api_signal signal);

/// A response of a server, as far as its signals need it.
struct gateway_server_response {
	const struct api_response *response;
	int status;
	uint64_t sent_us; ///< when its request was sent
};

bool gateway_signals_end(
    const struct gateway_server_response *h, uint64_t since_us);

/// gateway_brittle.c: servers that fail when they refuse too much
void gateway_brittle_on_leader(struct gateway *g, handle_t link);
void gateway_brittle_on_message(struct gateway *g, const struct limitmsg *m);
void gateway_brittle_on_response(struct gateway *g, struct gateway_server *s,
    const struct gateway_server_response *h);
void gateway_brittle_restore(struct gateway *g, const struct gateway_server *s);

/// gateway_limits.c: limits that servers advertise
void gateway_limits_on_leader(struct gateway *g, handle_t link);
void gateway_limits_on_message(
    struct gateway *g, uint32_t slot, const struct wire_bytes *bytes);
void gateway_limits_apply_position(struct gateway *g);
void gateway_limits_on_response(struct gateway *g, struct gateway_server *s,
    const struct gateway_server_response *h);

void gateway_limits_send(
    struct gateway *g, handle_t link, const struct limitmsg *m);
void gateway_limits_send_to_leader(struct gateway *g, const struct limitmsg *m);

/// gateway_cold.c: servers that take few requests after a start
void gateway_cold_on_config(struct gateway *g);
void gateway_cold_on_listed(struct gateway *g, struct gateway_server *s);
void gateway_cold_on_health(
    struct gateway *g, struct gateway_server *s, uint32_t left_ms);
void gateway_cold_on_response(struct gateway *g, struct gateway_server *s);
void gateway_cold_on_unreachable(struct gateway *g, const char *server);
void gateway_cold_fill(const struct gateway *g, struct limitmsg *m);
void gateway_cold_on_message(struct gateway *g, const struct limitmsg *m);

/// gateway_speed.c: the pace of servers
void gateway_speed_on_listed(struct gateway *g, struct gateway_server *s);
void gateway_speed_on_response(
    struct gateway *g, struct gateway_server *s, uint32_t pace_percent);
double gateway_speed_of_response(const struct gateway_request *q);

/// gateway_reach.c: this gateway's own way to the servers
bool gateway_reach_is_cut(const struct gateway *g, const char *service);
uint32_t gateway_reach_cut_count(const struct gateway *g);
bool gateway_reach_is_lost(
    const struct gateway *g, const struct gateway_server *s);
uint32_t gateway_reach_count(const struct gateway *g);
void gateway_reach_failed(struct gateway *g, const char *server);
void gateway_reach_succeeded(struct gateway *g, const char *server);
void gateway_reach_silent(struct gateway *g, const char *server);
void gateway_reach_tick(struct gateway *g, uint64_t now_us);

/// gateway_relay.c: attempts that are sent through another gateway
void gateway_relay_start(struct gateway *g);
void gateway_relay_stop(struct gateway *g);
void gateway_relay_update(struct gateway *g, const struct hubmsg_state *s);
uint16_t gateway_relay_port(const struct gateway *g);
bool gateway_relay_choose(
    struct gateway_request *q, const struct gateway_server *s, char *host);
void gateway_relay_check(struct gateway *g, const struct gateway_server *s,
    struct httpc_request *call, char *host);
const char *gateway_relay_refusal(const struct gateway_request *q);
void gateway_relay_avoid(const struct gateway_request *q);
bool gateway_relay_is_unframed(const struct gateway_request *q);
bool gateway_relay_on_end(
    struct gateway_request *q, const struct httpc_result *result);

/// gateway_relayed.c: attempts of other gateways
void gateway_relayed_start(struct gateway *g);
void gateway_relayed_stop(struct gateway *g);
void gateway_relayed_set_limits(struct gateway *g, struct httpd_limits limits);

/// gateway_leaving.c: servers that leave, and come back under the same id
void gateway_leaving_tick(struct gateway *g, uint64_t now_us);

/// gateway_openq.c: requests that wait until a server takes more
bool gateway_openq_is_waiting(const struct gateway_request *q);
uint64_t gateway_openq_retry_after(const struct gateway_request *q);
bool gateway_openq_add(struct gateway_request *q);
void gateway_openq_remove(struct gateway_request *q);
void gateway_openq_on_timeout(struct gateway_request *q);
void gateway_openq_wake(struct gateway *g, struct gateway_service_load *l);

/// gateway_waitq.c: requests that wait until this gateway is ready
bool gateway_waitq_add(struct gateway *g, handle_t caller,
    const struct httpd_request *req, const struct api_request *call,
    const char *why);
bool gateway_waitq_remove(struct gateway *g, handle_t caller);
void gateway_waitq_step(struct gateway *g, uint64_t now_us);
void gateway_waitq_clear(struct gateway *g);

/// gateway_status.c: status for operators
json_t *gateway_status(struct gateway *g);

/// gateway_retry.c: decisions on further attempts
void gateway_give_up(struct gateway_request *q, const char *why);
bool gateway_can_retry(const struct gateway_request *q, const char **why);
bool gateway_retry_plan(
    struct gateway_request *q, enum verdict verdict, uint64_t *at_us);
void gateway_retry_arm(struct gateway_request *q, uint64_t at_us);
bool gateway_retry(struct gateway_request *q);
uint64_t gateway_attempt_deadline_us(
    const struct gateway_request *q, uint64_t now_us);

/// gateway_receive.c: responses of backend servers
void gateway_on_head(void *arg, int http_status);
void gateway_on_data(void *arg, const uint8_t *bytes, size_t len);
void gateway_on_end(void *arg, const struct httpc_result *result);
void gateway_response_checked(struct gateway_request *q, bool crashed);
void gateway_arm_stall_timer(struct gateway_request *q);

/// gateway_send.c: attempts at backend servers
void gateway_send(struct gateway_request *q);
void gateway_send_again(struct gateway_request *q);
void gateway_attempt_end(struct gateway_request *q, enum balancer_outcome how);
uint32_t gateway_events_delivered(const struct gateway_request *q);
void gateway_attempt_record_failure(struct gateway_request *q,
    enum balancer_outcome how, enum verdict verdict, const char *why);
void gateway_attempt_failed(struct gateway_request *q,
    enum balancer_outcome how, enum verdict verdict, const char *why);
bool gateway_try_send(struct gateway_request *q);
void gateway_cancel_attempt(
    struct gateway_request *q, enum balancer_outcome how);
void gateway_request_free(struct gateway_request *q);

/// gateway_response.c: responses to callers
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
