#include "proof/state_proofs.h"

#include "base/rnd.h"
#include "state/journal.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Runs, each with its own seed, and steps of a run.
#define BLOCKS 200
#define STEPS 400
#define ENTRIES 3
#define KEYS 12
#define MAX_PERMITS 64
#define MAX_REPLAYS 32
#define BODY_KINDS 2
/// Steps act on one of so many latest requests.
#define RECENT 6U
#define STEP_US 1000

/// What the model knows of a request.
struct request_model {
	uint32_t runs; ///< How often the service ran it.
	bool idempotent;
	gchar *response;          ///< Recorded response; if has_outcome.
	enum journal_phase phase; ///< Recorded outcome; if has_outcome.
	bool has_outcome;
};

/// A permitted attempt that its entry has not dispatched yet.
struct permitted_attempt {
	char id[JOURNAL_ID_BYTES];
	uint32_t attempt;
	struct journal_node holder;
};

/// Encoded command that will be applied once more.
struct replay {
	uint8_t *bytes;
	size_t len;
};

struct run_state {
	struct rnd *rnd;
	struct journal *a;
	struct journal *b; ///< Replica, at times restored from a's snapshot.
	uint64_t now_us;
	uint64_t next_id;
	struct journal_node entries[ENTRIES]; ///< Current run of each entry.
	GHashTable *models;                   ///< id -> struct request_model
	GPtrArray *ids; ///< Keys of `models`, in order of acceptance.
	struct permitted_attempt permits[MAX_PERMITS]; ///< Not used yet.
	size_t n_permits;
	struct replay replays[MAX_REPLAYS];
	uint64_t n_runs;
	uint64_t n_not_run;
	uint64_t n_may_have_run;
	uint64_t n_crashes;
	uint64_t n_refused;
	int n_violations;
};

static void
report_violation(struct run_state *r, const char *what, const char *id)
{
	r->n_violations++;
	(void)printf("breach=%s request=%s\n", what, id);
}

static void
free_model(gpointer p)
{
	struct request_model *model = p;

	g_free(model->response);
	g_free(model);
}

static bool
same_node(const struct journal_node *a, const struct journal_node *b)
{
	return a->incarnation == b->incarnation &&
	    strcmp(a->name, b->name) == 0;
}

/// Checks the record of a request against its earlier one: an outcome and its
/// response never change, and a request without outcome is not dropped. The
/// first outcome is stored in the model.
static void
check_record(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	struct request_model *model = g_hash_table_lookup(r->models, id);
	gchar *response;

	if (record == NULL) {
		if (!model->has_outcome)
			report_violation(r, "unfinished_is_kept", id);
		return;
	}
	if (record->outcome_us == 0) {
		if (model->has_outcome)
			report_violation(r, "outcome_is_final", id);
		return;
	}
	response = record->response == NULL
	    ? g_strdup("")
	    : g_strndup((const char *)record->response, record->response_len);
	if (!model->has_outcome) {
		model->has_outcome = true;
		model->phase = record->phase;
		model->response = response;
		r->n_not_run += model->phase == JOURNAL_PHASE_NOT_RUN ? 1 : 0;
		r->n_may_have_run +=
		    model->phase == JOURNAL_PHASE_MAY_HAVE_RUN ? 1 : 0;
		return;
	}
	if (model->phase != record->phase ||
	    strcmp(model->response, response) != 0)
		report_violation(r, "answer_is_stable", id);
	g_free(response);
}

/// Applies a command's bytes to both replicas.
static struct journal_result
apply_bytes(struct run_state *r, const uint8_t *bytes, size_t len)
{
	struct journal_result x;
	struct journal_result y;

	journal_apply(r->a, bytes, len, &x);
	journal_apply(r->b, bytes, len, &y);
	if (x.status != y.status)
		report_violation(r, "replicas_answer_alike", "");
	r->n_refused += x.status == JOURNAL_REFUSED ? 1 : 0;
	return x;
}

/// Applies a command, and keeps some to apply them once more, as happens to a
/// proposal whose result was lost.
static struct journal_result
apply(struct run_state *r, struct journal_command *c)
{
	struct replay *slot = &r->replays[rnd_below(r->rnd, MAX_REPLAYS)];
	struct journal_result result;
	uint8_t *bytes;
	size_t len;

	c->now_us = r->now_us;
	journal_encode(c, &bytes, &len);
	result = apply_bytes(r, bytes, len);
	if (rnd_below(r->rnd, 3) == 0) {
		free(slot->bytes);
		slot->bytes = bytes;
		slot->len = len;
	} else {
		free(bytes);
	}
	return result;
}

static struct journal_command
make_command(enum journal_command_kind kind, const char *id)
{
	struct journal_command c = { .kind = kind };

	(void)g_strlcpy(c.id, id, sizeof(c.id));
	return c;
}

/// A caller sends a request, or resends it, through a random entry.
static void
send_request(struct run_state *r)
{
	static const char *const bodies[BODY_KINDS] = { "one", "two" };
	const unsigned key = (unsigned)rnd_below(r->rnd, KEYS);
	const char *body = bodies[rnd_below(r->rnd, 6) == 0 ? 1 : 0];
	struct journal_command c = { .kind = JOURNAL_CMD_ACCEPT };
	struct journal_result result;
	struct request_model *model;

	journal_make_id(rnd_u64(r->rnd), r->next_id++, 1, c.id);
	(void)g_snprintf(c.accept.key, sizeof(c.accept.key), "k%u", key);
	(void)g_strlcpy(c.accept.customer, "depot", sizeof(c.accept.customer));
	c.accept.idempotent = key % 3 == 0;
	c.accept.body = (const uint8_t *)body;
	c.accept.len = strlen(body);
	c.accept.body_hash = journal_body_hash(c.accept.body, c.accept.len);
	c.accept.owner = r->entries[rnd_below(r->rnd, ENTRIES)];
	result = apply(r, &c);
	if (result.status == JOURNAL_KEY_REUSED &&
	    result.record->body_hash == c.accept.body_hash)
		report_violation(r, "same_body_is_no_conflict", c.id);
	if (result.status != JOURNAL_APPLIED)
		return;
	model = g_new0(struct request_model, 1);
	model->idempotent = c.accept.idempotent;
	g_hash_table_insert(r->models, g_strdup(c.id), model);
	g_ptr_array_add(r->ids, g_strdup(c.id));
}

/// A random one of the latest requests; most others have their outcome.
static const char *
random_id(struct run_state *r)
{
	const guint n = MIN(r->ids->len, RECENT);

	return g_ptr_array_index(
	    r->ids, r->ids->len - 1 - rnd_below(r->rnd, n));
}

/// An entry requests a dispatch permit, and keeps it to use it later.
static void
request_permit(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	struct journal_command c = make_command(JOURNAL_CMD_PERMIT, id);
	struct journal_result result;
	struct permitted_attempt *permit;

	if (record == NULL || r->n_permits == MAX_PERMITS)
		return;
	c.permit.attempt = record->attempt + (uint32_t)rnd_below(r->rnd, 3);
	c.permit.holder = rnd_below(r->rnd, 3) == 0
	    ? r->entries[rnd_below(r->rnd, ENTRIES)]
	    : record->owner;
	(void)g_strlcpy(c.permit.server, "b1", sizeof(c.permit.server));
	result = apply(r, &c);
	if (result.status != JOURNAL_APPLIED)
		return;
	permit = &r->permits[r->n_permits++];
	(void)g_strlcpy(permit->id, id, sizeof(permit->id));
	permit->attempt = c.permit.attempt;
	permit->holder = c.permit.holder;
}

/// Whether the run of the entry that got a permit is still up.
static bool
holder_is_up(const struct run_state *r, const struct permitted_attempt *permit)
{
	for (int i = 0; i < ENTRIES; i++) {
		if (same_node(&r->entries[i], &permit->holder))
			return true;
	}
	return false;
}

static void
record_outcome(struct run_state *r, const struct permitted_attempt *permit,
    const struct journal_node *by, enum verdict verdict)
{
	struct journal_command c =
	    make_command(JOURNAL_CMD_OUTCOME, permit->id);
	char response[32];

	(void)g_snprintf(response, sizeof(response), "answer %u of %s",
	    (unsigned)rnd_below(r->rnd, 1000), permit->id);
	c.outcome.attempt = permit->attempt;
	c.outcome.by = *by;
	c.outcome.verdict = verdict;
	c.outcome.answer = (const uint8_t *)response;
	c.outcome.len = verdict == VERDICT_RAN ? strlen(response) : 0;
	(void)apply(r, &c);
}

static void
return_permit(struct run_state *r, const struct permitted_attempt *permit,
    const struct journal_node *by)
{
	struct journal_command c =
	    make_command(JOURNAL_CMD_RETURN_PERMIT, permit->id);

	c.return_permit.attempt = permit->attempt;
	c.return_permit.by = *by;
	(void)apply(r, &c);
}

/// An entry dispatches a permitted attempt, or returns the permit unused: as an
/// outcome "not run", or so that another permit can be given.
static void
use_permit(struct run_state *r)
{
	struct permitted_attempt permit;
	struct request_model *model;
	size_t i;

	if (r->n_permits == 0)
		return;
	i = rnd_below(r->rnd, r->n_permits);
	permit = r->permits[i];
	r->permits[i] = r->permits[--r->n_permits];
	if (!holder_is_up(r, &permit))
		return;
	if (rnd_below(r->rnd, 5) == 0) {
		record_outcome(r, &permit, &permit.holder, VERDICT_NOT_RUN);
		return;
	}
	if (rnd_below(r->rnd, 5) == 0) {
		return_permit(r, &permit, &permit.holder);
		return;
	}
	model = g_hash_table_lookup(r->models, permit.id);
	model->runs++;
	r->n_runs++;
	if (model->runs > 1 && !model->idempotent)
		report_violation(r, "runs_at_most_once", permit.id);
	// The response may be lost on its way back to the entry.
	if (rnd_below(r->rnd, 4) != 0)
		record_outcome(r, &permit, &permit.holder, VERDICT_RAN);
}

/// An entry crashes and restarts. Its permits are lost.
static void
crash(struct run_state *r)
{
	r->entries[rnd_below(r->rnd, ENTRIES)].incarnation =
	    1 + rnd_u64(r->rnd) / 2;
	r->n_crashes++;
}

/// Another entry takes over a request, also when its owner is still up.
static void
reassign(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	struct journal_command c = make_command(JOURNAL_CMD_REASSIGN, id);

	if (record == NULL)
		return;
	c.reassign.from = record->owner;
	c.reassign.to = r->entries[rnd_below(r->rnd, ENTRIES)];
	(void)apply(r, &c);
}

/// An entry that doesn't know the outcome reports "may have run", or withdraws
/// the request, which must be refused while a permit is given.
static void
abandon(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	struct journal_command c = make_command(JOURNAL_CMD_WITHDRAW, id);
	struct permitted_attempt permit = { 0 };

	if (rnd_below(r->rnd, 2) == 0)
		return;
	if (record == NULL || rnd_below(r->rnd, 4) == 0) {
		(void)apply(r, &c);
		return;
	}
	(void)g_strlcpy(permit.id, id, sizeof(permit.id));
	permit.attempt = record->attempt;
	record_outcome(r, &permit, &r->entries[rnd_below(r->rnd, ENTRIES)],
	    VERDICT_MAY_HAVE_RUN);
}

/// An entry that doesn't hold the permit reports "not run" or returns it, which
/// must be refused.
static void
claim_not_run(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	const struct journal_node *by = &r->entries[rnd_below(r->rnd, ENTRIES)];
	struct permitted_attempt permit = { 0 };

	if (record == NULL || same_node(&record->holder, by))
		return;
	(void)g_strlcpy(permit.id, id, sizeof(permit.id));
	permit.attempt = record->attempt;
	if (rnd_below(r->rnd, 2) == 0)
		record_outcome(r, &permit, by, VERDICT_NOT_RUN);
	else
		return_permit(r, &permit, by);
}

static void
replay(struct run_state *r)
{
	const struct replay *slot = &r->replays[rnd_below(r->rnd, MAX_REPLAYS)];

	if (slot->bytes != NULL)
		(void)apply_bytes(r, slot->bytes, slot->len);
}

static void
expire(struct run_state *r)
{
	struct journal_command c = { .kind = JOURNAL_CMD_EXPIRE };

	c.expire.keep_us = 100UL * STEP_US;
	c.expire.keep_bytes = rnd_below(r->rnd, 2) * 20000UL;
	(void)apply(r, &c);
}

static void
restore_b(struct run_state *r)
{
	uint8_t *bytes;
	size_t len;

	journal_snapshot(r->a, &bytes, &len);
	journal_free(r->b);
	if (journal_restore(bytes, len, &r->b) != STATUS_OK)
		abort();
	free(bytes);
}

static void
step(struct run_state *r)
{
	r->now_us += rnd_below(r->rnd, 2UL * STEP_US);
	switch (rnd_below(r->rnd, 12)) {
	case 0:
	case 1:
		send_request(r);
		return;
	case 2:
	case 3:
		request_permit(r, random_id(r));
		return;
	case 4:
	case 5:
		use_permit(r);
		return;
	case 6:
		reassign(r, random_id(r));
		return;
	case 7:
		abandon(r, random_id(r));
		return;
	case 8:
		claim_not_run(r, random_id(r));
		return;
	case 9:
		replay(r);
		return;
	case 10:
		if (rnd_below(r->rnd, 5) == 0)
			crash(r);
		return;
	default:
		if (rnd_below(r->rnd, 3) == 0)
			expire(r);
		else if (rnd_below(r->rnd, 5) == 0)
			restore_b(r);
		return;
	}
}

static void
check_all(struct run_state *r)
{
	for (guint i = 0; i < r->ids->len; i++)
		check_record(r, g_ptr_array_index(r->ids, i));
}

/// Uses all permits that are left, then checks the recorded outcomes against
/// what the service ran, and that the replicas are equal.
static void
check_end(struct run_state *r)
{
	uint8_t *x;
	uint8_t *y;
	size_t n;
	size_t m;

	while (r->n_permits > 0)
		use_permit(r);
	check_all(r);
	for (guint i = 0; i < r->ids->len; i++) {
		const char *id = g_ptr_array_index(r->ids, i);
		const struct request_model *model =
		    g_hash_table_lookup(r->models, id);

		if (model->has_outcome &&
		    model->phase == JOURNAL_PHASE_NOT_RUN && model->runs > 0)
			report_violation(r, "not_run_is_true", id);
		if (model->has_outcome &&
		    model->phase == JOURNAL_PHASE_ANSWERED && model->runs == 0)
			report_violation(r, "answered_is_true", id);
	}
	journal_snapshot(r->a, &x, &n);
	journal_snapshot(r->b, &y, &m);
	if (n != m || memcmp(x, y, n) != 0)
		report_violation(r, "replicas_are_equal", "");
	free(x);
	free(y);
}

static void
begin(struct run_state *r, uint64_t seed)
{
	r->rnd = rnd_new(seed);
	r->a = journal_new();
	r->b = journal_new();
	r->now_us = STEP_US;
	r->next_id = 1;
	r->models =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_model);
	r->ids = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < ENTRIES; i++) {
		(void)g_snprintf(
		    r->entries[i].name, sizeof(r->entries[i].name), "e%d", i);
		r->entries[i].incarnation = 1;
	}
	send_request(r);
}

static void
finish(struct run_state *r)
{
	if (r->n_violations == 0)
		check_end(r);
	for (size_t i = 0; i < MAX_REPLAYS; i++) {
		free(r->replays[i].bytes);
		r->replays[i] = (struct replay){ 0 };
	}
	r->n_permits = 0;
	g_hash_table_destroy(r->models);
	g_ptr_array_free(r->ids, TRUE);
	journal_free(r->a);
	journal_free(r->b);
	rnd_free(r->rnd);
}

/// Random operations against a model of a service that counts its runs: callers
/// resend requests; entries crash, take over requests, report wrong or unknown
/// outcomes; commands are applied twice. Guards against a non-idempotent
/// request that runs twice, an outcome that is wrong or changes, a request that
/// is lost, and replicas that diverge.
///
/// @return 0 when no invariant was violated, else 1
int
proof_journal_random(uint64_t seed)
{
	struct run_state r = { 0 };

	for (uint64_t i = 0; i < BLOCKS && r.n_violations == 0; i++) {
		begin(&r, seed + i);
		for (int k = 0; k < STEPS && r.n_violations == 0; k++) {
			step(&r);
			check_all(&r);
		}
		finish(&r);
	}
	(void)printf(
	    "seeds=%d runs=%" G_GUINT64_FORMAT " not_run=%" G_GUINT64_FORMAT
	    " may_have_run=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
	    " crashes=%" G_GUINT64_FORMAT " breaches=%d\n",
	    BLOCKS, r.n_runs, r.n_not_run, r.n_may_have_run, r.n_refused,
	    r.n_crashes, r.n_violations);
	return r.n_violations == 0 ? 0 : 1;
}
