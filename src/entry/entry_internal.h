#ifndef ENTRY_ENTRY_INTERNAL_H
#define ENTRY_ENTRY_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "base/verdict.h"
#include "entry/entry.h"
#include "front/httpd.h"
#include "keys/tlsctx.h"
#include "loop/loop.h"
#include "report/slo.h"
#include "request/assembler.h"
#include "rollout/rollout.h"
#include "route/admit.h"
#include "route/balancer.h"
#include "route/retry.h"
#include "state/journal.h"
#include "state/journal_result.h"
#include "state/catalog.h"
#include "wire/transport.h"

#define ENTRY_GROUPS (1 + JOURNAL_GROUP_COUNT)
#define ENTRY_MAX_BLOCKS 1024

/// Result of entry_propose() and entry_query(): STATUS_OK with the result,
/// STATUS_UNAVAILABLE when certainly not appended, STATUS_TIMEOUT when the
/// outcome is unknown. `bytes` is valid only during the call.
typedef void (*entry_cb)(
    void *arg, enum status status, const uint8_t *bytes, size_t len);

/// Admission of one pool at this entry.
struct entry_pool {
	struct entry *entry;
	char name[SPEC_NAME_BYTES];
	struct admit *admission;
	struct timerq_timer *wake; ///< next decision of admission
};

/// Polling of one backend server, and what it reported.
struct entry_poller {
	struct entry *entry;
	char name[SPEC_NAME_BYTES];
	handle_t server;
	bool loaded_known; ///< `versions` was reported by the server
	uint32_t n_versions;
	char versions[BALANCER_MAX_VERSIONS][SPEC_NAME_BYTES]; ///< loaded
	bool in_subset; ///< this entry sends requests to the server
	bool polling_load;
	bool polling_cache;
	uint64_t cache_sequence; ///< last cache event received
	uint64_t polled_us;
	uint32_t n_polls;
	/// Broken connections count in the rollout stats again after this.
	uint64_t disconnects_count_after_us;
};

struct entry {
	struct loop *loop;
	struct settings settings;
	struct transport *links;
	struct tlsctx *keys; ///< TLS keys; NULL: no TLS
	struct httpd *callers;
	struct httpd *operators;
	struct httpc *http;
	/// Links to the control processes, as in settings.control.
	handle_t control[SETTINGS_MAX_PEERS];
	struct catalog *config;
	bool subscribed; ///< to the configuration, at `leader`
	uint32_t leader; ///< of the configuration; 0: unknown
	uint64_t leader_term;
	uint32_t leader_hint[ENTRY_GROUPS]; ///< 0: unknown
	uint64_t lease_until_us;            ///< no new requests after this
	bool caught_up;      ///< the configuration has been as new as a lease
	GHashTable *pending; ///< tag -> struct entry_pending
	uint64_t next_tag;
	struct balancer *router;
	struct retry *retries;
	struct rollout_entry *versions;
	GHashTable *pools;         ///< name -> struct entry_pool
	GHashTable *pollers;       ///< server name -> struct entry_poller
	GHashTable *version_names; ///< rollout_key() -> name
	struct slo_counters *slo;
	struct slotmap *requests;   ///< of struct req
	GHashTable *reqs_by_id;     ///< request id -> struct req
	GHashTable *reqs_by_caller; ///< caller -> struct req
	uint64_t next_id;
	uint64_t stats_sent_us;
	uint64_t stats_number;
	uint64_t slo_sent_us;
	uint64_t next_poll_us;
	uint64_t next_ack_us;
	struct timerq_timer *tick_timer;
	struct timerq_timer *stop_timer; ///< ends a graceful stop
	bool stopping;
	uint64_t stop_us;
	uint64_t finish_us; ///< no request is left to serve; 0: not yet
	uint64_t next_migrate_us;
	struct metrics_value *n_migrated;
	struct metrics_value *n_requests;
	struct metrics_value *n_refused;
	struct metrics_value *n_failed;
	struct metrics_value *n_retries;
	struct metrics_value *n_resumed;
	struct metrics_value *n_dropped_chunks;
	struct metrics_value *n_tokens;
	struct metrics_value *n_recomputed;
	struct metrics_hist *ttft_hist;
	struct metrics_hist *inter_token_hist;
	struct metrics_hist *unary_hist;   ///< arrival to complete response
	struct metrics_hist *journal_hist; ///< commands and queries
};

/// State of a request.
enum req_state {
	REQ_ACCEPTING,  ///< Journal: waits for its acceptance record.
	REQ_QUEUED,     ///< In the queue of admission.
	REQ_PERMITTING, ///< Journal: waits for the dispatch permit.
	REQ_RUNNING,    ///< An attempt is in flight at a backend server.
	REQ_BACKOFF,    ///< Backoff before the next attempt.
	REQ_QUERYING,   ///< Queries the service whether it ran.
	REQ_RECORDING,  ///< Journal: waits for the record of its outcome.
	REQ_CANCELLING, ///< Journal: waits for the record of its withdrawal.
	REQ_COALESCED,  ///< Journal: waits for the outcome of another request.
};

/// Destination of an attempt.
struct req_target {
	struct balancer_choice choice;
	char server[SPEC_NAME_BYTES];
	char host[SPEC_HOST_BYTES];
	uint16_t port;
	char version[SPEC_NAME_BYTES];
};

/// One request in this entry.
struct req {
	struct entry *entry;
	handle_t handle; ///< its own, in entry.requests
	handle_t caller; ///< HANDLE_NONE: none waits for the response
	char id[JOURNAL_ID_BYTES];
	char customer[SPEC_NAME_BYTES];
	char key[JOURNAL_KEY_BYTES]; ///< idempotency key, "" for none
	char content_type[JOURNAL_CONTENT_TYPE_BYTES]; ///< of `body`
	struct spec_route route; ///< as it was when the request arrived
	enum spec_server_kind kind;
	enum req_state state;
	bool journaled;      ///< recorded in the journal before it is accepted
	bool caller_streams; ///< the caller requested an event stream
	bool stream_open;    ///< the head of the event stream was sent
	uint8_t *body;
	size_t len;
	json_t *json;          ///< parsed body; runner pools only
	uint64_t version_hash; ///< decides the version
	uint64_t *blocks;      ///< chained hashes of the prompt's blocks
	size_t n_blocks;
	uint32_t prompt_tokens;
	uint32_t output_tokens; ///< most that the caller requested
	uint64_t arrived_us;
	uint64_t deadline_us;
	handle_t admission_ticket;
	bool admitted;                 ///< admission started it
	struct retry_history attempts; ///< for the retry budget
	uint32_t attempt;              ///< number of the last attempt
	struct req_target target;
	handle_t dispatch;     ///< of the balancer, while an attempt runs
	handle_t http_call;    ///< of the HTTP client: attempt or lookup
	handle_t migrate_call; ///< migration of the KV cache to `migrate_to`
	struct req_target migrate_to;
	/// Times and tokens of the attempt in flight.
	uint64_t sent_us;
	uint64_t first_token_us; ///< 0: none yet
	uint64_t last_token_us;
	uint64_t inter_token_sum_us;
	uint32_t attempt_tokens;
	bool had_first_token; ///< in any attempt
	struct assembler *stream;
	bool complete;      ///< the runner's response is complete
	bool stream_failed; ///< protocol error in this attempt
	bool not_sent;      ///< no server can have received the attempt
	/// The ASSEMBLER_COMPLETE event, with the counts of tokens.
	struct assembler_event end_event;
	char finish_reason[32];
	GString *response_text; ///< for a caller that doesn't stream
	enum verdict verdict;
	uint32_t recomputed; ///< tokens
	int response_status; ///< HTTP status of `response`
	char response_type[JOURNAL_CONTENT_TYPE_BYTES];
	uint8_t *response; ///< body; of a service or from the journal
	size_t response_len;
	enum verdict outcome;  ///< to be recorded
	bool journal_accepted; ///< the journal has recorded it
	bool accept_unknown;   ///< the journal may have recorded it
	bool permit_unknown;   ///< a permit was proposed, outcome unknown
	/// Id of the request whose outcome this one waits for.
	char coalesced_with[JOURNAL_ID_BYTES];
	uint32_t n_lookups; ///< queries to the service whether it ran
	struct timerq_timer *timer;
};

/// entry.c: start, stop, state of service
bool entry_in_service(const struct entry *e, const char **why);

/// entry_control.c: links to control: configuration, lease, commands, queries
enum status entry_control_start(struct entry *e);
void entry_control_tick(struct entry *e, uint64_t now_us);
void entry_propose(struct entry *e, uint32_t group, const uint8_t *bytes,
    size_t len, entry_cb done, void *arg);
void entry_query(struct entry *e, uint32_t group, const char *text,
    entry_cb done, void *arg);
void entry_propose_journal(struct entry *e,
    const struct journal_command *command, entry_cb done, void *arg);

/// entry_config.c: applies the configuration to routing, admission, versions
void entry_config_apply(struct entry *e);
void entry_config_server(struct entry *e, const struct catalog_server *s);
struct entry_pool *entry_pool(struct entry *e, const char *name);
const char *entry_version_name(const struct entry *e, uint64_t key);

/// entry_poll.c: polls of load reports and cache events
void entry_poll_tick(struct entry *e, uint64_t now_us);

/// entry_stats.c: rollout stats and SLO counters
void entry_stats_record(struct req *q, bool failed);
void entry_slo_tick(struct entry *e, uint64_t now_us);
void entry_stats_tick(struct entry *e, uint64_t now_us);
void entry_stats_acked(struct entry *e, const struct wire_bytes *bytes);

/// entry_callers.c: the callers' HTTP interface
enum status entry_callers_start(struct entry *e);
void entry_reply_error(struct entry *e, handle_t caller, int status,
    const char *id, enum verdict verdict, uint32_t retry_after_s,
    const char *message);

const char *req_parse_completion(struct req *q);

/// entry_operators.c: the operators' HTTP interface
enum status entry_operators_start(struct entry *e);

/// req.c: life cycle of a request
struct req *req_new(struct entry *e, handle_t caller);
void req_free(struct req *q);
void req_set_id(struct req *q, const char *id);
void req_set_caller(struct req *q, handle_t caller);
void req_admit(struct req *q);
void req_admission_wake(struct entry_pool *pool);
void req_start(struct req *q);
void req_caller_gone(struct req *q);
void req_fail(
    struct req *q, int status, enum verdict verdict, const char *message);
void req_next_attempt(struct req *q);

/// req_attempt.c: one attempt at a backend server
enum status req_pick_server(struct req *q, struct req_target *out);
void req_send_picked(struct req *q);
void req_send(struct req *q);
void req_stalled(struct req *q);
void req_abort_attempt(struct req *q, enum balancer_outcome how);

/// req_migrate.c: migration of streams off draining runners
void req_migrate_tick(struct entry *e, uint64_t now_us);
void req_migrate_cancel(struct req *q);

/// req_response.c: the response to the caller
void req_on_token(struct req *q, const struct assembler_event *ev);
void req_complete(struct req *q);
void req_reply_service(struct req *q);
void req_build_response(struct req *q);
void req_handoff(struct req *q);
void req_reply_record(
    struct entry *e, handle_t caller, const struct journal_record *r);

/// req_journal.c: requests that are recorded in the journal
void req_journal_accept(struct req *q);
void req_journal_permit(struct req *q);
void req_journal_outcome(struct req *q, enum verdict verdict);
void req_journal_resume(struct entry *e, const struct wire_bytes *bytes);
void req_journal_lookup(struct req *q);
void req_journal_coalesce(struct req *q);

#endif
