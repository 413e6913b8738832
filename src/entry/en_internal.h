#ifndef ENTRY_EN_INTERNAL_H
#define ENTRY_EN_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "base/verdict.h"
#include "entry/en.h"
#include "front/httpd.h"
#include "keys/tlsctx.h"
#include "loop/loop.h"
#include "report/sl.h"
#include "request/assembler.h"
#include "rollout/rollout.h"
#include "route/admit.h"
#include "route/balancer.h"
#include "route/retry.h"
#include "state/journal.h"
#include "state/journal_result.h"
#include "state/catalog.h"
#include "wire/transport.h"

#define EN_GROUPS (1 + JOURNAL_GROUP_COUNT)
#define EN_MAX_BLOCKS 1024

/// Answer to en_propose() and en_ask(): STATUS_OK with the result,
/// STATUS_UNAVAILABLE when certainly not appended, STATUS_TIMEOUT when unknown.
typedef void (*en_done)(
    void *arg, enum status status, const uint8_t *bytes, size_t len);

/// A pool as this entry sees it.
struct en_pool {
	struct en *en;
	char name[SPEC_NAME_BYTES];
	struct admit *admission;
	struct timerq_timer *wake;
};

/// What is polled from one backend server.
struct en_watch {
	struct en *en;
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
	uint64_t next_cut_us; ///< broken connections are evidence again
};

struct en {
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
	uint32_t group_leader[EN_GROUPS]; ///< hints; 0: unknown
	uint64_t lease_until_us;          ///< no new work after this
	bool caught_up;    ///< configuration as fresh as a lease said
	GHashTable *asked; ///< tag -> question under way
	uint64_t next_tag;
	struct balancer *router;
	struct retry *retries;
	struct rollout_entry *versions;
	GHashTable *pools;   ///< name -> struct en_pool
	GHashTable *watches; ///< server name -> struct en_watch
	GHashTable *names;   ///< rollout_key -> name
	struct sl_counters *levels;
	struct slotmap *requests; ///< of struct rq
	GHashTable *by_id;        ///< request id -> struct rq
	GHashTable *by_caller;    ///< caller -> struct rq
	uint64_t next_id;
	uint64_t evidence_sent_us;
	uint64_t evidence_number;
	uint64_t levels_sent_us;
	uint64_t next_poll_us;
	uint64_t next_ack_us;
	struct timerq_timer *tick;
	struct timerq_timer *end;
	bool stopping;
	uint64_t stop_us;
	uint64_t next_move_us;
	struct metrics_value *n_moved;
	struct metrics_value *n_requests;
	struct metrics_value *n_refused;
	struct metrics_value *n_failed;
	struct metrics_value *n_retries;
	struct metrics_value *n_resumed;
	struct metrics_value *n_dropped_chunks;
	struct metrics_value *n_tokens;
	struct metrics_value *n_recomputed;
	struct metrics_hist *first_token;
	struct metrics_hist *between_tokens;
	struct metrics_hist *unary;
	struct metrics_hist *journal;
};

/// Where a request stands.
enum rq_state {
	RQ_ACCEPTING,   ///< Journal: waits for the record of acceptance.
	RQ_QUEUED,      ///< Admission: waits for its turn.
	RQ_PERMITTING,  ///< Journal: waits for the permission to send.
	RQ_RUNNING,     ///< An attempt is at a backend server.
	RQ_WAITING,     ///< Waits for the time of the next attempt.
	RQ_LOOKING_UP,  ///< Asks the service whether it ran.
	RQ_RECORDING,   ///< Journal: waits for the record of the outcome.
	RQ_WITHDRAWING, ///< Journal: waits for the record of "not run".
	RQ_FOLLOWING,   ///< Journal: waits for another's outcome.
};

/// Where an attempt goes.
struct rq_target {
	struct balancer_choice choice;
	char server[SPEC_NAME_BYTES];
	char host[SPEC_HOST_BYTES];
	uint16_t port;
	char version[SPEC_NAME_BYTES];
};

/// One request in this entry.
struct rq {
	struct en *en;
	handle_t self;
	handle_t caller; ///< HANDLE_NONE: nobody waits
	char id[JOURNAL_ID_BYTES];
	char customer[SPEC_NAME_BYTES];
	char key[JOURNAL_KEY_BYTES];           ///< idempotency key, "" for none
	char type[JOURNAL_CONTENT_TYPE_BYTES]; ///< content type of the body
	struct spec_route route; ///< as it was when the request came
	enum spec_server_kind kind;
	enum rq_state state;
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
	struct rq_target target;
	handle_t dispatch;  ///< of routing, while an attempt runs
	handle_t call;      ///< of the HTTP client: attempt or lookup
	handle_t move_call; ///< moving the KV cache to another runner
	struct rq_target move_to;
	/// Times and tokens of the attempt under way.
	uint64_t sent_us;
	uint64_t first_us;
	uint64_t last_token_us;
	uint64_t between_sum_us;
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
	bool choosing;        ///< a permission was asked for, outcome unknown
	char
	    followed[JOURNAL_ID_BYTES]; ///< request whose outcome is waited for
	uint32_t n_lookups;
	struct timerq_timer *timer;
};

/// en.c
bool en_in_service(const struct en *e, const char **why);

/// en_control.c: links to control, configuration, questions
enum status en_control_start(struct en *e);
void en_control_tick(struct en *e, uint64_t now_us);
void en_propose(struct en *e, uint32_t group, const uint8_t *bytes, size_t len,
    en_done done, void *arg);
void en_ask(
    struct en *e, uint32_t group, const char *text, en_done done, void *arg);
void en_propose_journal(struct en *e, const struct journal_command *command,
    en_done done, void *arg);

/// en_config.c: the configuration into routing, admission, versions
void en_config_apply(struct en *e);
void en_config_server(struct en *e, const struct catalog_server *s);
struct en_pool *en_pool(struct en *e, const char *name);
const char *en_name(const struct en *e, uint64_t key);

/// en_poll.c: load reports and cache events
void en_poll_tick(struct en *e, uint64_t now_us);

/// en_evidence.c: evidence on versions, service levels
void en_evidence_answer(struct rq *q, bool failed);
void en_levels_tick(struct en *e, uint64_t now_us);
void en_evidence_tick(struct en *e, uint64_t now_us);
void en_evidence_taken(struct en *e, const struct wire_bytes *bytes);

/// en_callers.c: callers' HTTP
enum status en_callers_start(struct en *e);
void en_reply_error(struct en *e, handle_t caller, int status, const char *id,
    enum verdict verdict, uint32_t retry_after_s, const char *message);

const char *rq_take_completion(struct rq *q);

/// en_operators.c
enum status en_operators_start(struct en *e);

/// rq.c: life of a request
struct rq *rq_new(struct en *e, handle_t caller);
void rq_free(struct rq *q);
void rq_rename(struct rq *q, const char *id);
void rq_set_caller(struct rq *q, handle_t caller);
void rq_offer(struct rq *q);
void rq_admission_wake(struct en_pool *pool);
void rq_start(struct rq *q);
void rq_caller_gone(struct rq *q);
void rq_fail(
    struct rq *q, int status, enum verdict verdict, const char *message);
void rq_next_attempt(struct rq *q);

/// rq_attempt.c: one attempt at a backend server
enum status rq_choose(struct rq *q, struct rq_target *out);
void rq_send_chosen(struct rq *q);
void rq_send(struct rq *q);
void rq_stalled(struct rq *q);
void rq_drop_attempt(struct rq *q, enum balancer_outcome how);

/// rq_move.c: streams leave a runner before it goes
void rq_move_tick(struct en *e, uint64_t now_us);
void rq_move_drop(struct rq *q);

/// rq_answer.c: the answer to the caller
void rq_token(struct rq *q, const struct assembler_event *ev);
void rq_whole(struct rq *q);
void rq_reply_service(struct rq *q);
void rq_make_answer(struct rq *q);
void rq_hand_back(struct rq *q);
void rq_reply_record(
    struct en *e, handle_t caller, const struct journal_record *r);

/// rq_journal.c: requests that are recorded
void rq_journal_accept(struct rq *q);
void rq_journal_permit(struct rq *q);
void rq_journal_outcome(struct rq *q, enum verdict verdict);
void rq_journal_run(struct en *e, const struct wire_bytes *bytes);
void rq_journal_lookup(struct rq *q);
void rq_journal_follow(struct rq *q);

#endif
