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

/// Answer to entry_propose() and entry_query(): STATUS_OK with the result,
/// STATUS_UNAVAILABLE when certainly not appended, STATUS_TIMEOUT when unknown.
typedef void (*entry_cb)(
    void *arg, enum status status, const uint8_t *bytes, size_t len);

/// A pool as this entry sees it.
struct entry_pool {
	struct entry *en;
	char name[SPEC_NAME_BYTES];
	struct admit *admission;
	struct timerq_timer *wake;
};

/// What is polled from one backend server.
struct entry_poller {
	struct entry *en;
	char name[SPEC_NAME_BYTES];
	handle_t server;
	bool told; ///< the server said which versions it holds
	uint32_t n_loaded;
	char loaded[BALANCER_MAX_VERSIONS][SPEC_NAME_BYTES];
	bool used; ///< in this entry's subset
	bool polling_load;
	bool polling_cache;
	uint64_t cache_sequence;
	uint64_t polled_us;
	uint32_t n_polls;
	uint64_t disconnects_count_after_us; ///< broken connections are
					     ///< evidence again
};

struct entry {
	struct loop *loop;
	struct settings settings;
	struct transport *links;
	struct tlsctx *keys; ///< NULL: plain
	struct httpd *callers;
	struct httpd *operators;
	struct httpc *http;
	handle_t
	    control[SETTINGS_MAX_PEERS]; ///< dialled, as in settings.control
	struct catalog *config;
	bool subscribed; ///< at the leader of this link
	uint32_t leader; ///< of the configuration; 0: unknown
	uint64_t leader_term;
	uint32_t group_leader[ENTRY_GROUPS]; ///< hints; 0: unknown
	uint64_t lease_until_us;             ///< no new work after this
	bool caught_up;    ///< configuration as fresh as a lease said
	GHashTable *asked; ///< tag -> question under way
	uint64_t next_tag;
	struct balancer *router;
	struct retry *retries;
	struct rollout_entry *versions;
	GHashTable *pools;   ///< name -> struct entry_pool
	GHashTable *watches; ///< server name -> struct entry_poller
	GHashTable *names;   ///< rollout_key -> name
	struct slo_counters *levels;
	struct slotmap *requests; ///< of struct rq
	GHashTable *by_id;        ///< request id -> struct rq
	GHashTable *by_caller;    ///< caller -> struct rq
	uint64_t next_id;
	uint64_t stats_sent_us;
	uint64_t stats_number;
	uint64_t slo_sent_us;
	uint64_t next_poll_us;
	uint64_t next_ack_us;
	struct timerq_timer *tick;
	struct timerq_timer *end;
	bool stopping;
	uint64_t stop_us;
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
	struct metrics_hist *first_token;
	struct metrics_hist *inter_token_hist;
	struct metrics_hist *unary;
	struct metrics_hist *journal;
};

/// Where a request stands.
enum req_state {
	REQ_ACCEPTING,  ///< Journal: waits for the record of acceptance.
	REQ_QUEUED,     ///< Admission: waits for its turn.
	REQ_PERMITTING, ///< Journal: waits for the permission to send.
	REQ_RUNNING,    ///< An attempt is at a backend server.
	REQ_BACKOFF,    ///< Waits for the time of the next attempt.
	REQ_QUERYING,   ///< Asks the service whether it ran.
	REQ_RECORDING,  ///< Journal: waits for the record of the outcome.
	REQ_CANCELLING, ///< Journal: waits for the record of "not run".
	REQ_COALESCED,  ///< Journal: waits for another's outcome.
};

/// Where an attempt goes.
struct req_target {
	struct balancer_choice choice;
	char server[SPEC_NAME_BYTES];
	char host[SPEC_HOST_BYTES];
	uint16_t port;
	char version[SPEC_NAME_BYTES];
};

/// One request in this entry.
struct req {
	struct entry *en;
	handle_t self;
	handle_t caller; ///< HANDLE_NONE: nobody waits
	char id[JOURNAL_ID_BYTES];
	char customer[SPEC_NAME_BYTES];
	char key[JOURNAL_KEY_BYTES];           ///< idempotency key, "" for none
	char type[JOURNAL_CONTENT_TYPE_BYTES]; ///< content type of the body
	struct spec_route route; ///< as it was when the request came
	enum spec_server_kind kind;
	enum req_state state;
	bool journaled;      ///< recorded before it is accepted
	bool caller_streams; ///< the caller asked for an event stream
	bool stream_open;    ///< its head was sent
	uint8_t *body;
	size_t len;
	json_t *json;     ///< runner pools
	uint64_t hash;    ///< decides the version
	uint64_t *blocks; ///< chained hashes of the prompt's blocks
	size_t n_blocks;
	uint32_t prompt_tokens;
	uint32_t output_tokens; ///< most that the caller asked for
	uint64_t arrived_us;
	uint64_t deadline_us;
	handle_t ticket;               ///< of admission
	bool started;                  ///< admission let it through
	struct retry_history attempts; ///< what the retry budget counts
	uint32_t attempt;              ///< number that chunks must name
	struct req_target target;
	handle_t dispatch;     ///< of routing, while an attempt runs
	handle_t call;         ///< of the HTTP client: attempt or lookup
	handle_t migrate_call; ///< moving the KV cache to another runner
	struct req_target migrate_to;
	/// Times and tokens of the attempt under way.
	uint64_t sent_us;
	uint64_t first_us;
	uint64_t last_token_us;
	uint64_t inter_token_sum_us;
	uint32_t attempt_tokens;
	bool first_done; ///< a first token came in some attempt
	struct assembler *stream;
	bool whole;                 ///< the runner's answer is whole
	bool broken;                ///< this attempt's stream is
	bool unsent;                ///< no server can have got the attempt
	struct assembler_event end; ///< ASSEMBLER_COMPLETE with the counts
	char finish[32];
	GString *text; ///< answer of a caller that doesn't stream
	enum verdict verdict;
	uint32_t recomputed;
	int answer_status; ///< service's answer
	char answer_type[JOURNAL_CONTENT_TYPE_BYTES];
	uint8_t *answer;
	size_t answer_len;
	enum verdict outcome; ///< to be recorded
	bool accepted;        ///< the journal holds it
	bool accept_unknown;  ///< it may hold it
	bool permit_unknown;  ///< a permission was asked for, outcome unknown
	char
	    followed[JOURNAL_ID_BYTES]; ///< request whose outcome is waited for
	uint32_t n_lookups;
	struct timerq_timer *timer;
};

/// entry.c
bool entry_in_service(const struct entry *e, const char **why);

/// entry_control.c: links to control, configuration, questions
enum status entry_control_start(struct entry *e);
void entry_control_tick(struct entry *e, uint64_t now_us);
void entry_propose(struct entry *e, uint32_t group, const uint8_t *bytes,
    size_t len, entry_cb done, void *arg);
void entry_query(struct entry *e, uint32_t group, const char *text,
    entry_cb done, void *arg);
void entry_propose_journal(struct entry *e,
    const struct journal_command *command, entry_cb done, void *arg);

/// entry_config.c: the configuration into routing, admission, versions
void entry_config_apply(struct entry *e);
void entry_config_server(struct entry *e, const struct catalog_server *s);
struct entry_pool *entry_pool(struct entry *e, const char *name);
const char *entry_version_name(const struct entry *e, uint64_t key);

/// entry_poll.c: load reports and cache events
void entry_poll_tick(struct entry *e, uint64_t now_us);

/// entry_stats.c: evidence on versions, service levels
void entry_stats_record(struct req *q, bool failed);
void entry_slo_tick(struct entry *e, uint64_t now_us);
void entry_stats_tick(struct entry *e, uint64_t now_us);
void entry_stats_acked(struct entry *e, const struct wire_bytes *bytes);

/// entry_callers.c: callers' HTTP
enum status entry_callers_start(struct entry *e);
void entry_reply_error(struct entry *e, handle_t caller, int status,
    const char *id, enum verdict verdict, uint32_t retry_after_s,
    const char *message);

const char *req_parse_completion(struct req *q);

/// entry_operators.c
enum status entry_operators_start(struct entry *e);

/// req.c: life of a request
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

/// req_migrate.c: streams leave a runner before it goes
void req_migrate_tick(struct entry *e, uint64_t now_us);
void req_migrate_cancel(struct req *q);

/// req_response.c: the answer to the caller
void req_on_token(struct req *q, const struct assembler_event *ev);
void req_complete(struct req *q);
void req_reply_service(struct req *q);
void req_build_response(struct req *q);
void req_handoff(struct req *q);
void req_reply_record(
    struct entry *e, handle_t caller, const struct journal_record *r);

/// req_journal.c: requests that are recorded
void req_journal_accept(struct req *q);
void req_journal_permit(struct req *q);
void req_journal_outcome(struct req *q, enum verdict verdict);
void req_journal_resume(struct entry *e, const struct wire_bytes *bytes);
void req_journal_lookup(struct req *q);
void req_journal_coalesce(struct req *q);

#endif
