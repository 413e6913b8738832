#include "proof/state_proofs.h"

#include "base/rnd.h"
#include "state/journal.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BLOCKS 200
#define STEPS 400
#define ENTRIES 3
#define KEYS 12
#define MAX_SENDS 64
#define MAX_REPLAYS 32
#define BODY_KINDS 2
#define RECENT 6U
#define STEP_US 1000

/// What the model knows of a request.
struct fate {
	uint32_t runs; ///< how often the service ran it
	bool idempotent;
	gchar *answer;           ///< recorded answer, once there is one
	enum journal_phase told; ///< recorded outcome, once there is one
	bool ended;
};

/// A permitted attempt that its entry has not sent yet.
struct send {
	char id[JOURNAL_ID_BYTES];
	uint32_t attempt;
	struct journal_node holder;
};

struct replay {
	uint8_t *bytes;
	size_t len;
};

struct run_state {
	struct rnd *rnd;
	struct journal *a;
	struct journal *b; ///< now and then restored from a's snapshot
	uint64_t now_us;
	uint64_t next_id;
	struct journal_node entries[ENTRIES]; ///< present start of each entry
	GHashTable *fates;                    ///< id -> struct fate
	GPtrArray *ids;                       ///< keys of `fates`, in order
	struct send sends[MAX_SENDS];
	size_t n_sends;
	struct replay replays[MAX_REPLAYS]; ///< commands to come once more
	uint64_t n_runs;
	uint64_t n_not_run;
	uint64_t n_may_have_run;
	uint64_t n_crashes;
	uint64_t n_refused;
	int breaches;
};

static void
breach(struct run_state *r, const char *what, const char *id)
{
	r->breaches++;
	(void)printf("breach=%s request=%s\n", what, id);
}

static void
free_fate(gpointer p)
{
	struct fate *f = p;

	g_free(f->answer);
	g_free(f);
}

static bool
same_entry(const struct journal_node *a, const struct journal_node *b)
{
	return a->incarnation == b->incarnation &&
	    strcmp(a->name, b->name) == 0;
}

/// Checks what was recorded of a request against what was recorded before
/// and against what the service did.
static void
check_record(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	struct fate *f = g_hash_table_lookup(r->fates, id);
	gchar *answer;

	if (record == NULL) {
		if (!f->ended)
			breach(r, "unfinished_is_kept", id);
		return;
	}
	if (record->ended_us == 0) {
		if (f->ended)
			breach(r, "outcome_is_final", id);
		return;
	}
	answer = record->answer == NULL
	    ? g_strdup("")
	    : g_strndup((const char *)record->answer, record->answer_len);
	if (!f->ended) {
		f->ended = true;
		f->told = record->phase;
		f->answer = answer;
		r->n_not_run += f->told == JOURNAL_PHASE_NOT_RUN ? 1 : 0;
		r->n_may_have_run +=
		    f->told == JOURNAL_PHASE_MAY_HAVE_RUN ? 1 : 0;
		return;
	}
	if (f->told != record->phase || strcmp(f->answer, answer) != 0)
		breach(r, "answer_is_stable", id);
	g_free(answer);
}

/// Applies a command's bytes to both replicas.
static struct journal_result
apply_bytes(struct run_state *r, const uint8_t *bytes, size_t len)
{
	struct journal_result x;
	struct journal_result y;

	journal_apply(r->a, bytes, len, &x);
	journal_apply(r->b, bytes, len, &y);
	if (x.outcome != y.outcome)
		breach(r, "replicas_answer_alike", "");
	r->n_refused += x.outcome == JOURNAL_REFUSED ? 1 : 0;
	return x;
}

/// Applies a command; now and then it will come once more, as a proposal
/// does whose answer was lost.
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
command_for(enum journal_command_kind kind, const char *id)
{
	struct journal_command c = { .kind = kind };

	(void)g_strlcpy(c.id, id, sizeof(c.id));
	return c;
}

/// A caller sends a request, or sends it again, through some entry.
static void
call(struct run_state *r)
{
	static const char *const bodies[BODY_KINDS] = { "one", "two" };
	const unsigned key = (unsigned)rnd_below(r->rnd, KEYS);
	const char *body = bodies[rnd_below(r->rnd, 6) == 0 ? 1 : 0];
	struct journal_command c = { .kind = JOURNAL_CMD_ACCEPT };
	struct journal_result result;
	struct fate *f;

	journal_make_id(rnd_u64(r->rnd), r->next_id++, 1, c.id);
	(void)g_snprintf(c.accept.key, sizeof(c.accept.key), "k%u", key);
	(void)g_strlcpy(c.accept.customer, "depot", sizeof(c.accept.customer));
	c.accept.idempotent = key % 3 == 0;
	c.accept.body = (const uint8_t *)body;
	c.accept.len = strlen(body);
	c.accept.body_hash = journal_body_hash(c.accept.body, c.accept.len);
	c.accept.owner = r->entries[rnd_below(r->rnd, ENTRIES)];
	result = apply(r, &c);
	if (result.outcome == JOURNAL_KEY_REUSED &&
	    result.record->body_hash == c.accept.body_hash)
		breach(r, "same_body_is_no_conflict", c.id);
	if (result.outcome != JOURNAL_APPLIED)
		return;
	f = g_new0(struct fate, 1);
	f->idempotent = c.accept.idempotent;
	g_hash_table_insert(r->fates, g_strdup(c.id), f);
	g_ptr_array_add(r->ids, g_strdup(c.id));
}

/// One of the latest requests: the others mostly have their outcome.
static const char *
some_id(struct run_state *r)
{
	const guint n = MIN(r->ids->len, RECENT);

	return g_ptr_array_index(
	    r->ids, r->ids->len - 1 - rnd_below(r->rnd, n));
}

/// An entry asks for a permission, and keeps it to send later.
static void
ask_permit(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	struct journal_command c = command_for(JOURNAL_CMD_PERMIT, id);
	struct journal_result result;
	struct send *s;

	if (record == NULL || r->n_sends == MAX_SENDS)
		return;
	c.permit.attempt = record->attempt + (uint32_t)rnd_below(r->rnd, 3);
	c.permit.holder = rnd_below(r->rnd, 3) == 0
	    ? r->entries[rnd_below(r->rnd, ENTRIES)]
	    : record->owner;
	(void)g_strlcpy(c.permit.server, "b1", sizeof(c.permit.server));
	result = apply(r, &c);
	if (result.outcome != JOURNAL_APPLIED)
		return;
	s = &r->sends[r->n_sends++];
	(void)g_strlcpy(s->id, id, sizeof(s->id));
	s->attempt = c.permit.attempt;
	s->holder = c.permit.holder;
}

/// Whether the entry of a kept permission still runs.
static bool
alive(const struct run_state *r, const struct send *s)
{
	for (int i = 0; i < ENTRIES; i++) {
		if (same_entry(&r->entries[i], &s->holder))
			return true;
	}
	return false;
}

static void
record_outcome(struct run_state *r, const struct send *s,
    const struct journal_node *by, enum verdict verdict)
{
	struct journal_command c = command_for(JOURNAL_CMD_OUTCOME, s->id);
	char answer[32];

	(void)g_snprintf(answer, sizeof(answer), "answer %u of %s",
	    (unsigned)rnd_below(r->rnd, 1000), s->id);
	c.outcome.attempt = s->attempt;
	c.outcome.by = *by;
	c.outcome.verdict = verdict;
	c.outcome.answer = (const uint8_t *)answer;
	c.outcome.len = verdict == VERDICT_RAN ? strlen(answer) : 0;
	(void)apply(r, &c);
}

static void
give_back(
    struct run_state *r, const struct send *s, const struct journal_node *by)
{
	struct journal_command c =
	    command_for(JOURNAL_CMD_RETURN_PERMIT, s->id);

	c.give_back.attempt = s->attempt;
	c.give_back.by = *by;
	(void)apply(r, &c);
}

/// An entry sends what it may send, or gives the permission back unused.
static void
use_permit(struct run_state *r)
{
	struct send s;
	struct fate *f;
	size_t i;

	if (r->n_sends == 0)
		return;
	i = rnd_below(r->rnd, r->n_sends);
	s = r->sends[i];
	r->sends[i] = r->sends[--r->n_sends];
	if (!alive(r, &s))
		return;
	if (rnd_below(r->rnd, 5) == 0) {
		record_outcome(r, &s, &s.holder, VERDICT_NOT_RUN);
		return;
	}
	if (rnd_below(r->rnd, 5) == 0) {
		give_back(r, &s, &s.holder);
		return;
	}
	f = g_hash_table_lookup(r->fates, s.id);
	f->runs++;
	r->n_runs++;
	if (f->runs > 1 && !f->idempotent)
		breach(r, "runs_at_most_once", s.id);
	// The answer may be lost on the way back.
	if (rnd_below(r->rnd, 4) != 0)
		record_outcome(r, &s, &s.holder, VERDICT_RAN);
}

/// An entry dies and starts again; its permissions are forgotten.
static void
crash(struct run_state *r)
{
	r->entries[rnd_below(r->rnd, ENTRIES)].incarnation =
	    1 + rnd_u64(r->rnd) / 2;
	r->n_crashes++;
}

/// Another entry takes over a request, whether its owner lives or not.
static void
take_over(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	struct journal_command c = command_for(JOURNAL_CMD_REASSIGN, id);

	if (record == NULL)
		return;
	c.reassign.from = record->owner;
	c.reassign.to = r->entries[rnd_below(r->rnd, ENTRIES)];
	(void)apply(r, &c);
}

/// An entry that doesn't know says what it may: it may have run, or (which
/// is to be refused, unless nobody can send) not run.
static void
give_up(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	struct journal_command c = command_for(JOURNAL_CMD_WITHDRAW, id);
	struct send s = { 0 };

	if (rnd_below(r->rnd, 2) == 0)
		return;
	if (record == NULL || rnd_below(r->rnd, 4) == 0) {
		(void)apply(r, &c);
		return;
	}
	(void)g_strlcpy(s.id, id, sizeof(s.id));
	s.attempt = record->attempt;
	record_outcome(r, &s, &r->entries[rnd_below(r->rnd, ENTRIES)],
	    VERDICT_MAY_HAVE_RUN);
}

/// An entry other than the holder claims that nothing ran, or gives back
/// what it doesn't hold.
static void
claim_not_run(struct run_state *r, const char *id)
{
	const struct journal_record *record = journal_by_id(r->a, id);
	const struct journal_node *by = &r->entries[rnd_below(r->rnd, ENTRIES)];
	struct send s = { 0 };

	if (record == NULL || same_entry(&record->holder, by))
		return;
	(void)g_strlcpy(s.id, id, sizeof(s.id));
	s.attempt = record->attempt;
	if (rnd_below(r->rnd, 2) == 0)
		record_outcome(r, &s, by, VERDICT_NOT_RUN);
	else
		give_back(r, &s, by);
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
		call(r);
		return;
	case 2:
	case 3:
		ask_permit(r, some_id(r));
		return;
	case 4:
	case 5:
		use_permit(r);
		return;
	case 6:
		take_over(r, some_id(r));
		return;
	case 7:
		give_up(r, some_id(r));
		return;
	case 8:
		claim_not_run(r, some_id(r));
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

/// Checks what is told at the end, when all that was permitted is sent.
static void
check_end(struct run_state *r)
{
	uint8_t *x;
	uint8_t *y;
	size_t n;
	size_t m;

	while (r->n_sends > 0)
		use_permit(r);
	check_all(r);
	for (guint i = 0; i < r->ids->len; i++) {
		const char *id = g_ptr_array_index(r->ids, i);
		const struct fate *f = g_hash_table_lookup(r->fates, id);

		if (f->ended && f->told == JOURNAL_PHASE_NOT_RUN && f->runs > 0)
			breach(r, "not_run_is_true", id);
		if (f->ended && f->told == JOURNAL_PHASE_ANSWERED &&
		    f->runs == 0)
			breach(r, "answered_is_true", id);
	}
	journal_snapshot(r->a, &x, &n);
	journal_snapshot(r->b, &y, &m);
	if (n != m || memcmp(x, y, n) != 0)
		breach(r, "replicas_are_equal", "");
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
	r->fates =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_fate);
	r->ids = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < ENTRIES; i++) {
		(void)g_snprintf(
		    r->entries[i].name, sizeof(r->entries[i].name), "e%d", i);
		r->entries[i].incarnation = 1;
	}
	call(r);
}

static void
finish(struct run_state *r)
{
	if (r->breaches == 0)
		check_end(r);
	for (size_t i = 0; i < MAX_REPLAYS; i++) {
		free(r->replays[i].bytes);
		r->replays[i] = (struct replay){ 0 };
	}
	r->n_sends = 0;
	g_hash_table_destroy(r->fates);
	g_ptr_array_free(r->ids, TRUE);
	journal_free(r->a);
	journal_free(r->b);
	rnd_free(r->rnd);
}

/// Requests of callers who send again, entries that crash, take over, give
/// up and claim, commands that come twice: against a service that counts.
int
proof_journal_random(uint64_t seed)
{
	struct run_state r = { 0 };

	for (uint64_t i = 0; i < BLOCKS && r.breaches == 0; i++) {
		begin(&r, seed + i);
		for (int k = 0; k < STEPS && r.breaches == 0; k++) {
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
	    r.n_crashes, r.breaches);
	return r.breaches == 0 ? 0 : 1;
}
