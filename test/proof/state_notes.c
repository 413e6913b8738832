#include "proof/state_proofs.h"

#include "base/rnd.h"
#include "state/catalog.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Runs, each with its own seed, and steps of a run.
#define BLOCKS 200
#define STEPS 300
#define SENT_NOTES 32
#define MAX_VIEWS 16
#define TEXT_BYTES 512

/// What the model knows of an accepted note.
struct note_model {
	gchar *text; ///< Canonical JSON.
	uint64_t revision;
	uint64_t sequence;
};

/// One run: two replicas that apply the same commands, a follower, and a model.
struct run_state {
	struct rnd *rnd;
	struct catalog *a;
	struct catalog *b; ///< At times restored from a's snapshot.
	/// Updated by catalog_changes() or catalog_restore().
	struct catalog *follower;
	GHashTable *models;      ///< note name -> struct note_model
	GHashTable *draining;    ///< Set of "server/incarnation".
	gchar *sent[SENT_NOTES]; ///< Notes that may be sent again.
	/// Copies of versions, possibly out of date, to decide on.
	struct catalog_version views[MAX_VIEWS];
	uint64_t revision; ///< Number of accepted notes.
	uint64_t notice;   ///< Highest number of a notice.
	uint64_t n_accepted;
	uint64_t n_unchanged;
	uint64_t n_conflicts;
	uint64_t n_invalid;
	int n_violations;
};

static void
report_violation(struct run_state *r, const char *what)
{
	r->n_violations++;
	(void)printf("breach=%s sequence=%" G_GUINT64_FORMAT "\n", what,
	    catalog_sequence(r->a));
}

static void
free_note_model(gpointer p)
{
	struct note_model *model = p;

	g_free(model->text);
	g_free(model);
}

/// Writes one section of a note, often one that the catalog must refuse.
static void
random_section(struct run_state *r, char *out, size_t size)
{
	const unsigned n = (unsigned)rnd_below(r->rnd, 6);
	const unsigned m = (unsigned)rnd_below(r->rnd, 6);
	const char *op = rnd_below(r->rnd, 3) == 0 ? "change" : "add";
	const struct catalog_version *baseline =
	    catalog_version_in_force(r->a, "p");

	switch (rnd_below(r->rnd, 5)) {
	case 0:
		(void)g_snprintf(out, size,
		    "\"customers\":{\"%s\":[{\"name\":\"c%u\","
		    "\"weight\":%u}]}",
		    op, n, m + 1);
		return;
	case 1:
		(void)g_snprintf(out, size,
		    "\"backend_servers\":{\"%s\":[{\"name\":\"s%u\","
		    "\"pool\":\"p\",\"data_centre\":\"d%u\","
		    "\"address\":\"127.0.0.1:%u\"}]}",
		    op, n, m % 3, 9000 + m);
		return;
	case 2:
		(void)g_snprintf(out, size,
		    "\"backend_servers\":{\"withdraw\":[\"s%u\"]}", n);
		return;
	case 3:
		(void)g_snprintf(
		    out, size, "\"versions\":{\"withdraw\":[\"v%u\"]}", n);
		return;
	default:
		(void)g_snprintf(out, size,
		    "\"versions\":{\"add\":[{\"name\":\"v%u\","
		    "\"pool\":\"p\",\"replaces\":\"%s\"}]}",
		    n, baseline == NULL ? "v9" : baseline->spec.name);
		return;
	}
}

/// A note of an operator, whose base revision may be out of date. There are few
/// names, so that operators often race with the same name.
static struct catalog_command
random_note(struct run_state *r, char text[TEXT_BYTES])
{
	const uint64_t revision = catalog_revision(r->a);
	const uint64_t lag = rnd_below(r->rnd, 5) == 0 ? 1 : 0;
	const uint64_t base = revision - MIN(lag, revision);
	char section[TEXT_BYTES / 2];
	struct catalog_command c = { .kind = CATALOG_CMD_NOTE };

	random_section(r, section, sizeof(section));
	(void)g_snprintf(text, TEXT_BYTES,
	    "{\"note\":\"n%u-%u\",\"base\":%u,%s}", (unsigned)base,
	    (unsigned)rnd_below(r->rnd, 2), (unsigned)base, section);
	c.note.text = text;
	c.note.len = strlen(text);
	return c;
}

/// A decision on a version, based on a copy that may be out of date.
static struct catalog_command
random_decision(struct run_state *r)
{
	const struct catalog_version *view =
	    &r->views[rnd_below(r->rnd, MAX_VIEWS)];
	struct catalog_command c = { .kind = CATALOG_CMD_VERSION_SHARE };

	(void)g_strlcpy(c.version_share.version, view->spec.name,
	    sizeof(c.version_share.version));
	c.version_share.phase = (enum catalog_phase)rnd_below(r->rnd, 5);
	c.version_share.share_permille = (uint32_t)rnd_below(r->rnd, 1100);
	c.version_share.expect_phase = view->phase;
	c.version_share.expect_share_permille = view->share_permille;
	(void)g_strlcpy(c.version_share.reason,
	    rnd_below(r->rnd, 2) == 0 ? "evidence" : "deadline",
	    sizeof(c.version_share.reason));
	return c;
}

/// A report that a server is draining or has returned, or in one case of 40 a
/// reclaim notice for a data centre.
static struct catalog_command
random_server_report(struct run_state *r)
{
	struct catalog_command c = { .kind = CATALOG_CMD_DRAINING };
	const struct catalog_server *s;
	size_t n;

	s = catalog_servers(r->a, &n);
	if (n == 0 || rnd_below(r->rnd, 40) == 0) {
		(void)g_strlcpy(c.draining.name, "d1", sizeof(c.draining.name));
		c.draining.data_centre = true;
		c.draining.notice = 1 + rnd_below(r->rnd, 60);
		return c;
	}
	s = &s[rnd_below(r->rnd, n)];
	if (rnd_below(r->rnd, 2) == 0) {
		c.kind = CATALOG_CMD_RETURNED;
		(void)g_strlcpy(
		    c.returned.server, s->spec.name, sizeof(c.returned.server));
		c.returned.incarnation = s->incarnation;
		return c;
	}
	(void)g_strlcpy(c.draining.name, s->spec.name, sizeof(c.draining.name));
	c.draining.incarnation = s->incarnation;
	c.draining.source = (enum catalog_source)rnd_below(r->rnd, 4);
	c.draining.deadline_ms = rnd_below(r->rnd, 1000);
	return c;
}

/// Checks the result of a note against the model.
static void
check_note(struct run_state *r, const struct catalog_command *c,
    const struct catalog_result *out)
{
	struct spec_problems problems = { 0 };
	struct spec_note *note = NULL;
	struct note_model *model;
	char *text;

	if (spec_parse_note(c->note.text, c->note.len, &note, &problems) !=
	    STATUS_OK)
		abort();
	text = spec_canonical_json(note);
	model = g_hash_table_lookup(r->models, note->name);
	if (model != NULL && strcmp(model->text, text) == 0) {
		if (out->status != CATALOG_UNCHANGED ||
		    out->revision != model->revision ||
		    out->sequence != model->sequence)
			report_violation(r, "resend_gets_first_answer");
	} else if (model != NULL) {
		if (out->status != CATALOG_CONFLICT ||
		    strcmp(out->winner, note->name) != 0)
			report_violation(r, "other_content_is_a_conflict");
	} else if (note->base != r->revision) {
		if (out->status != CATALOG_CONFLICT &&
		    out->status != CATALOG_INVALID)
			report_violation(r, "base_is_the_current_revision");
	} else if (out->status == CATALOG_ACCEPTED) {
		model = g_new0(struct note_model, 1);
		model->text = g_strdup(text);
		model->revision = out->revision;
		model->sequence = out->sequence;
		g_hash_table_insert(r->models, g_strdup(note->name), model);
		if (out->revision != ++r->revision)
			report_violation(r, "revision_counts_notes");
	} else if (out->status != CATALOG_INVALID) {
		report_violation(r, "unexpected_outcome");
	}
	free(text);
	spec_note_free(note);
}

/// Checks that a decision was accepted only if the phase and share it expected
/// were the current ones.
static void
check_decision(struct run_state *r, const struct catalog_command *c,
    const struct catalog_version *before, const struct catalog_result *out)
{
	if (out->status != CATALOG_ACCEPTED)
		return;
	if (before->phase != c->version_share.expect_phase ||
	    before->share_permille != c->version_share.expect_share_permille)
		report_violation(r, "stale_decision_is_refused");
	if (before->phase == CATALOG_PHASE_ROLLED_BACK)
		report_violation(r, "taken_back_is_final");
}

/// Checks that a notice is applied once, and never after a later one.
static void
check_notice(struct run_state *r, const struct catalog_command *c,
    const struct catalog_result *out)
{
	const uint64_t notice = c->draining.notice;

	if (notice == 0)
		return;
	if ((out->status == CATALOG_ACCEPTED) != (notice > r->notice))
		report_violation(r, "a_notice_counts_once");
	r->notice = MAX(r->notice, notice);
}

/// Checks that an incarnation that was draining never stops draining.
static void
check_draining(struct run_state *r)
{
	const struct catalog_server *s;
	size_t n;

	s = catalog_servers(r->a, &n);
	for (size_t i = 0; i < n; i++) {
		gchar *key = g_strdup_printf(
		    "%s/%" G_GUINT64_FORMAT, s[i].spec.name, s[i].incarnation);

		if (!s[i].draining && g_hash_table_contains(r->draining, key))
			report_violation(r, "an_incarnation_leaves_for_good");
		if (s[i].draining)
			(void)g_hash_table_add(r->draining, key);
		else
			g_free(key);
	}
}

static void
check_equal(struct run_state *r, const struct catalog *other, const char *what)
{
	uint8_t *x;
	uint8_t *y;
	size_t n;
	size_t m;

	catalog_snapshot(r->a, &x, &n);
	catalog_snapshot(other, &y, &m);
	if (n != m || memcmp(x, y, n) != 0)
		report_violation(r, what);
	free(x);
	free(y);
}

/// Compares servers and versions by field: a field that catalog_snapshot() left
/// out would not show in equal snapshots.
static void
check_items(struct run_state *r, const struct catalog *other)
{
	const struct catalog_server *s;
	const struct catalog_version *v;
	size_t n;

	s = catalog_servers(r->a, &n);
	for (size_t i = 0; i < n; i++) {
		const struct catalog_server *t =
		    catalog_server(other, s[i].spec.name);

		if (t->incarnation != s[i].incarnation ||
		    t->draining != s[i].draining || t->source != s[i].source ||
		    t->drain_deadline_ms != s[i].drain_deadline_ms ||
		    t->drain_sequence != s[i].drain_sequence)
			report_violation(r, "servers_are_equal");
	}
	v = catalog_versions(r->a, &n);
	for (size_t i = 0; i < n; i++) {
		const struct catalog_version *w =
		    catalog_version(other, v[i].spec.name);

		if (w->phase != v[i].phase ||
		    w->changed_sequence != v[i].changed_sequence ||
		    w->share_permille != v[i].share_permille ||
		    w->in_force != v[i].in_force ||
		    w->revision != v[i].revision ||
		    strcmp(w->previous, v[i].previous) != 0 ||
		    strcmp(w->reason, v[i].reason) != 0)
			report_violation(r, "versions_are_equal");
	}
}

/// Updates the follower by some changes or by a snapshot.
static void
follow(struct run_state *r)
{
	const uint64_t at = catalog_sequence(r->follower);
	const uint64_t from = at - MIN(at, rnd_below(r->rnd, 3));
	uint8_t *bytes;
	size_t len;
	uint64_t to;
	enum status st;

	st = catalog_changes(
	    r->a, from, rnd_below(r->rnd, 2000), &bytes, &len, &to);
	if (rnd_below(r->rnd, 20) == 0 || st != STATUS_OK) {
		if (st == STATUS_OK)
			free(bytes);
		catalog_free(r->follower);
		catalog_snapshot(r->a, &bytes, &len);
		st = catalog_restore(bytes, len, &r->follower);
		to = catalog_sequence(r->a);
	} else {
		st = catalog_apply_changes(r->follower, bytes, len);
	}
	free(bytes);
	if (st != STATUS_OK || catalog_sequence(r->follower) < at ||
	    catalog_sequence(r->follower) < to)
		report_violation(r, "follower_never_goes_back");
}

static void
restore_b(struct run_state *r)
{
	uint8_t *bytes;
	size_t len;

	catalog_snapshot(r->a, &bytes, &len);
	catalog_free(r->b);
	if (catalog_restore(bytes, len, &r->b) != STATUS_OK)
		abort();
	free(bytes);
}

static void
count_result(struct run_state *r, enum catalog_status outcome)
{
	switch (outcome) {
	case CATALOG_ACCEPTED:
		r->n_accepted++;
		return;
	case CATALOG_UNCHANGED:
		r->n_unchanged++;
		return;
	case CATALOG_CONFLICT:
		r->n_conflicts++;
		return;
	case CATALOG_INVALID:
		r->n_invalid++;
		return;
	}
}

/// Applies a command to both replicas and checks the result.
static void
apply(struct run_state *r, const struct catalog_command *c)
{
	const uint64_t sequence = catalog_sequence(r->a);
	const struct catalog_version *v = c->kind == CATALOG_CMD_VERSION_SHARE
	    ? catalog_version(r->a, c->version_share.version)
	    : NULL;
	struct catalog_version before = { 0 };
	struct catalog_result x;
	struct catalog_result y;
	uint8_t *bytes;
	size_t len;

	if (v != NULL)
		before = *v;
	catalog_encode(c, &bytes, &len);
	catalog_apply(r->a, bytes, len, &x);
	catalog_apply(r->b, bytes, len, &y);
	if (x.status != y.status || x.sequence != y.sequence)
		report_violation(r, "replicas_answer_alike");
	if (catalog_sequence(r->a) !=
	    sequence + (x.status == CATALOG_ACCEPTED ? 1 : 0))
		report_violation(r, "sequence_counts_changes");
	if (c->kind == CATALOG_CMD_NOTE)
		check_note(r, c, &x);
	if (c->kind == CATALOG_CMD_VERSION_SHARE)
		check_decision(r, c, &before, &x);
	if (c->kind == CATALOG_CMD_DRAINING)
		check_notice(r, c, &x);
	check_draining(r);
	count_result(r, x.status);
	catalog_result_clear(&x);
	catalog_result_clear(&y);
	free(bytes);
}

/// Stores a note to send it again later, in place of an older one.
static void
remember_note(struct run_state *r, const char *text)
{
	gchar **slot = &r->sent[rnd_below(r->rnd, SENT_NOTES)];

	g_free(*slot);
	*slot = g_strdup(text);
}

/// Sends a stored note again.
static void
resend(struct run_state *r)
{
	const char *text = r->sent[rnd_below(r->rnd, SENT_NOTES)];
	struct catalog_command c = { .kind = CATALOG_CMD_NOTE };

	if (text == NULL)
		return;
	c.note.text = text;
	c.note.len = strlen(text);
	apply(r, &c);
}

/// Stores a copy of a random version.
static void
view_version(struct run_state *r)
{
	const struct catalog_version *v;
	size_t n;

	v = catalog_versions(r->a, &n);
	if (n > 0)
		r->views[rnd_below(r->rnd, MAX_VIEWS)] =
		    v[rnd_below(r->rnd, n)];
}

static void
step(struct run_state *r)
{
	char text[TEXT_BYTES];
	struct catalog_command c;

	view_version(r);
	switch (rnd_below(r->rnd, 8)) {
	case 0:
	case 1:
		c = random_note(r, text);
		remember_note(r, text);
		apply(r, &c);
		return;
	case 2:
		resend(r);
		return;
	case 3:
	case 4:
		c = random_decision(r);
		apply(r, &c);
		return;
	case 5:
		c = random_server_report(r);
		apply(r, &c);
		return;
	case 6:
		follow(r);
		return;
	default:
		if (rnd_below(r->rnd, 20) == 0)
			restore_b(r);
		return;
	}
}

static void
begin(struct run_state *r, uint64_t seed)
{
	static const char *const first =
	    "{\"note\":\"first\",\"base\":0,\"data_centres\":{\"add\":["
	    "{\"name\":\"d0\",\"region\":\"x\"},"
	    "{\"name\":\"d1\",\"region\":\"x\"}]},"
	    "\"pools\":{\"add\":[{\"name\":\"p\",\"kind\":\"runner\"}]},"
	    "\"versions\":{\"add\":[{\"name\":\"v0\",\"pool\":\"p\"}]}}";
	const struct catalog_command c = {
		.kind = CATALOG_CMD_NOTE,
		.note = { .text = first, .len = strlen(first) },
	};

	r->rnd = rnd_new(seed);
	r->a = catalog_new();
	r->b = catalog_new();
	r->follower = catalog_new();
	r->models = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_note_model);
	r->draining =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->revision = 0;
	r->notice = 0;
	apply(r, &c);
}

static void
finish(struct run_state *r)
{
	while (catalog_sequence(r->follower) < catalog_sequence(r->a) &&
	    r->n_violations == 0)
		follow(r);
	if (r->n_violations == 0) {
		check_equal(r, r->b, "replicas_are_equal");
		check_equal(r, r->follower, "follower_is_equal");
		check_items(r, r->b);
		check_items(r, r->follower);
	}
	if (g_hash_table_size(r->models) != catalog_revision(r->a))
		report_violation(r, "each_note_counts_once");
	for (size_t i = 0; i < SENT_NOTES; i++)
		g_clear_pointer(&r->sent[i], g_free);
	memset(r->views, 0, sizeof(r->views));
	g_hash_table_destroy(r->models);
	g_hash_table_destroy(r->draining);
	catalog_free(r->a);
	catalog_free(r->b);
	catalog_free(r->follower);
	rnd_free(r->rnd);
}

/// Random commands against a model: racing and resent notes, stale decisions,
/// reports about servers and notices that come again. Guards against a note or
/// notice that is applied twice, a decision based on stale state, and replicas
/// or followers that diverge, also after a restored snapshot.
///
/// @return 0 when no invariant was violated, else 1
int
proof_state_notes_random(uint64_t seed)
{
	struct run_state r = { 0 };

	for (uint64_t i = 0; i < BLOCKS && r.n_violations == 0; i++) {
		begin(&r, seed + i);
		for (int k = 0; k < STEPS && r.n_violations == 0; k++)
			step(&r);
		finish(&r);
	}
	(void)printf("seeds=%d accepted=%" G_GUINT64_FORMAT
		     " same=%" G_GUINT64_FORMAT " conflicts=%" G_GUINT64_FORMAT
		     " invalid=%" G_GUINT64_FORMAT " breaches=%d\n",
	    BLOCKS, r.n_accepted, r.n_unchanged, r.n_conflicts, r.n_invalid,
	    r.n_violations);
	return r.n_violations == 0 ? 0 : 1;
}
