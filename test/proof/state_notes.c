#include "proof/state_proofs.h"

#include "base/rnd.h"
#include "state/sm.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BLOCKS 200
#define STEPS 300
#define KEPT_NOTES 32
#define MAX_VIEWS 16
#define TEXT_BYTES 512

/// What the model knows of an accepted note.
struct known {
	gchar *text;
	uint64_t revision;
	uint64_t sequence;
};

/// One run: replicas that apply the same commands, a follower, and a model.
struct run_state {
	struct rnd *rnd;
	struct sm *a;
	struct sm *b;            ///< now and then restored from a's snapshot
	struct sm *follower;     ///< through sm_changes() and sm_load()
	GHashTable *known;       ///< note name -> struct known
	GHashTable *left;        ///< "server/incarnation"
	gchar *kept[KEPT_NOTES]; ///< to be sent again later
	struct sm_version views[MAX_VIEWS]; ///< old looks at versions
	uint64_t revision;
	uint64_t notice;
	uint64_t n_accepted;
	uint64_t n_same;
	uint64_t n_conflicts;
	uint64_t n_invalid;
	int breaches;
};

static void
breach(struct run_state *r, const char *what)
{
	r->breaches++;
	(void)printf("breach=%s sequence=%" G_GUINT64_FORMAT "\n", what,
	    sm_sequence(r->a));
}

static void
free_known(gpointer p)
{
	struct known *k = p;

	g_free(k->text);
	g_free(k);
}

/// One section of a note, often one that the configuration refuses.
static void
random_section(struct run_state *r, char *out, size_t size)
{
	const unsigned n = (unsigned)rnd_below(r->rnd, 6);
	const unsigned m = (unsigned)rnd_below(r->rnd, 6);
	const char *op = rnd_below(r->rnd, 3) == 0 ? "change" : "add";
	const struct sm_version *now = sm_in_force(r->a, "p");

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
		    n, now == NULL ? "v9" : now->conf.name);
		return;
	}
}

/// A note of an operator, who may have an old view of the revision. Names
/// are few, so that operators race under equal ones.
static struct sm_command
random_note(struct run_state *r, char text[TEXT_BYTES])
{
	const uint64_t revision = sm_revision(r->a);
	const uint64_t back = rnd_below(r->rnd, 5) == 0 ? 1 : 0;
	const uint64_t base = revision - MIN(back, revision);
	char section[TEXT_BYTES / 2];
	struct sm_command c = { .kind = SM_NOTE };

	random_section(r, section, sizeof(section));
	(void)g_snprintf(text, TEXT_BYTES,
	    "{\"note\":\"n%u-%u\",\"base\":%u,%s}", (unsigned)base,
	    (unsigned)rnd_below(r->rnd, 2), (unsigned)base, section);
	c.note.text = text;
	c.note.len = strlen(text);
	return c;
}

/// A decision from a look at the version that may be old.
static struct sm_command
random_decision(struct run_state *r)
{
	const struct sm_version *view = &r->views[rnd_below(r->rnd, MAX_VIEWS)];
	struct sm_command c = { .kind = SM_VERSION };

	(void)g_strlcpy(
	    c.version.version, view->conf.name, sizeof(c.version.version));
	c.version.phase = (enum sm_phase)rnd_below(r->rnd, 5);
	c.version.share_permille = (uint32_t)rnd_below(r->rnd, 1100);
	c.version.expect_phase = view->phase;
	c.version.expect_share_permille = view->share_permille;
	(void)g_strlcpy(c.version.reason,
	    rnd_below(r->rnd, 2) == 0 ? "evidence" : "deadline",
	    sizeof(c.version.reason));
	return c;
}

/// Word that a server leaves or is back, possibly of an old incarnation.
static struct sm_command
random_server_word(struct run_state *r)
{
	struct sm_command c = { .kind = SM_LEAVING };
	const struct sm_server *s;
	size_t n;

	s = sm_servers(r->a, &n);
	if (n == 0 || rnd_below(r->rnd, 40) == 0) {
		(void)g_strlcpy(c.leaving.name, "d1", sizeof(c.leaving.name));
		c.leaving.data_centre = true;
		c.leaving.notice = 1 + rnd_below(r->rnd, 60);
		return c;
	}
	s = &s[rnd_below(r->rnd, n)];
	if (rnd_below(r->rnd, 2) == 0) {
		c.kind = SM_RETURNED;
		(void)g_strlcpy(
		    c.returned.server, s->conf.name, sizeof(c.returned.server));
		c.returned.incarnation = s->incarnation;
		return c;
	}
	(void)g_strlcpy(c.leaving.name, s->conf.name, sizeof(c.leaving.name));
	c.leaving.incarnation = s->incarnation;
	c.leaving.source = (enum sm_source)rnd_below(r->rnd, 4);
	c.leaving.at_ms = rnd_below(r->rnd, 1000);
	return c;
}

/// Checks the answer to a note against the model.
static void
check_note(struct run_state *r, const struct sm_command *c,
    const struct sm_result *out)
{
	struct nt_problems problems = { 0 };
	struct nt_note *note = NULL;
	struct known *k;
	char *text;

	if (nt_parse(c->note.text, c->note.len, &note, &problems) != STATUS_OK)
		abort();
	text = nt_canonical(note);
	k = g_hash_table_lookup(r->known, note->name);
	if (k != NULL && strcmp(k->text, text) == 0) {
		if (out->outcome != SM_SAME || out->revision != k->revision ||
		    out->sequence != k->sequence)
			breach(r, "resend_gets_first_answer");
	} else if (k != NULL) {
		if (out->outcome != SM_CONFLICT ||
		    strcmp(out->winner, note->name) != 0)
			breach(r, "other_content_is_a_conflict");
	} else if (note->base != r->revision) {
		if (out->outcome != SM_CONFLICT && out->outcome != SM_INVALID)
			breach(r, "base_is_the_current_revision");
	} else if (out->outcome == SM_ACCEPTED) {
		k = g_new0(struct known, 1);
		k->text = g_strdup(text);
		k->revision = out->revision;
		k->sequence = out->sequence;
		g_hash_table_insert(r->known, g_strdup(note->name), k);
		if (out->revision != ++r->revision)
			breach(r, "revision_counts_notes");
	} else if (out->outcome != SM_INVALID) {
		breach(r, "unexpected_outcome");
	}
	free(text);
	nt_note_free(note);
}

/// Checks that a decision counted only if its view was the current one.
static void
check_decision(struct run_state *r, const struct sm_command *c,
    const struct sm_version *before, const struct sm_result *out)
{
	if (out->outcome != SM_ACCEPTED)
		return;
	if (before->phase != c->version.expect_phase ||
	    before->share_permille != c->version.expect_share_permille)
		breach(r, "stale_decision_is_refused");
	if (before->phase == SM_TAKEN_BACK)
		breach(r, "taken_back_is_final");
}

/// Checks that a notice counts once, and none after a later one.
static void
check_notice(struct run_state *r, const struct sm_command *c,
    const struct sm_result *out)
{
	const uint64_t notice = c->leaving.notice;

	if (notice == 0)
		return;
	if ((out->outcome == SM_ACCEPTED) != (notice > r->notice))
		breach(r, "a_notice_counts_once");
	r->notice = MAX(r->notice, notice);
}

/// Checks that an incarnation that has left is never back.
static void
check_left(struct run_state *r)
{
	const struct sm_server *s;
	size_t n;

	s = sm_servers(r->a, &n);
	for (size_t i = 0; i < n; i++) {
		gchar *key = g_strdup_printf(
		    "%s/%" G_GUINT64_FORMAT, s[i].conf.name, s[i].incarnation);

		if (!s[i].leaving && g_hash_table_contains(r->left, key))
			breach(r, "an_incarnation_leaves_for_good");
		if (s[i].leaving)
			(void)g_hash_table_add(r->left, key);
		else
			g_free(key);
	}
}

static void
check_equal(struct run_state *r, const struct sm *other, const char *what)
{
	uint8_t *x;
	uint8_t *y;
	size_t n;
	size_t m;

	sm_save(r->a, &x, &n);
	sm_save(other, &y, &m);
	if (n != m || memcmp(x, y, n) != 0)
		breach(r, what);
	free(x);
	free(y);
}

/// Compares what sm_save() of both could have left out alike.
static void
check_items(struct run_state *r, const struct sm *other)
{
	const struct sm_server *s;
	const struct sm_version *v;
	size_t n;

	s = sm_servers(r->a, &n);
	for (size_t i = 0; i < n; i++) {
		const struct sm_server *t = sm_server(other, s[i].conf.name);

		if (t->incarnation != s[i].incarnation ||
		    t->leaving != s[i].leaving || t->source != s[i].source ||
		    t->leaving_at_ms != s[i].leaving_at_ms ||
		    t->leaving_as_of != s[i].leaving_as_of)
			breach(r, "servers_are_equal");
	}
	v = sm_versions(r->a, &n);
	for (size_t i = 0; i < n; i++) {
		const struct sm_version *w = sm_version(other, v[i].conf.name);

		if (w->phase != v[i].phase || w->as_of != v[i].as_of ||
		    w->share_permille != v[i].share_permille ||
		    w->in_force != v[i].in_force ||
		    w->revision != v[i].revision ||
		    strcmp(w->previous, v[i].previous) != 0 ||
		    strcmp(w->reason, v[i].reason) != 0)
			breach(r, "versions_are_equal");
	}
}

/// Brings the follower nearer, by pieces of changes or by a snapshot.
static void
follow(struct run_state *r)
{
	const uint64_t at = sm_sequence(r->follower);
	const uint64_t from = at - MIN(at, rnd_below(r->rnd, 3));
	uint8_t *bytes;
	size_t len;
	uint64_t to;
	enum status st;

	st = sm_changes(r->a, from, rnd_below(r->rnd, 2000), &bytes, &len, &to);
	if (rnd_below(r->rnd, 20) == 0 || st != STATUS_OK) {
		if (st == STATUS_OK)
			free(bytes);
		sm_free(r->follower);
		sm_save(r->a, &bytes, &len);
		st = sm_load(bytes, len, &r->follower);
		to = sm_sequence(r->a);
	} else {
		st = sm_follow(r->follower, bytes, len);
	}
	free(bytes);
	if (st != STATUS_OK || sm_sequence(r->follower) < at ||
	    sm_sequence(r->follower) < to)
		breach(r, "follower_never_goes_back");
}

static void
restore_b(struct run_state *r)
{
	uint8_t *bytes;
	size_t len;

	sm_save(r->a, &bytes, &len);
	sm_free(r->b);
	if (sm_load(bytes, len, &r->b) != STATUS_OK)
		abort();
	free(bytes);
}

static void
count(struct run_state *r, enum sm_outcome outcome)
{
	switch (outcome) {
	case SM_ACCEPTED:
		r->n_accepted++;
		return;
	case SM_SAME:
		r->n_same++;
		return;
	case SM_CONFLICT:
		r->n_conflicts++;
		return;
	case SM_INVALID:
		r->n_invalid++;
		return;
	}
}

/// Applies a command to both replicas and checks the answer.
static void
apply(struct run_state *r, const struct sm_command *c)
{
	const uint64_t sequence = sm_sequence(r->a);
	const struct sm_version *v =
	    c->kind == SM_VERSION ? sm_version(r->a, c->version.version) : NULL;
	struct sm_version before = { 0 };
	struct sm_result x;
	struct sm_result y;
	uint8_t *bytes;
	size_t len;

	if (v != NULL)
		before = *v;
	sm_encode(c, &bytes, &len);
	sm_apply(r->a, bytes, len, &x);
	sm_apply(r->b, bytes, len, &y);
	if (x.outcome != y.outcome || x.sequence != y.sequence)
		breach(r, "replicas_answer_alike");
	if (sm_sequence(r->a) != sequence + (x.outcome == SM_ACCEPTED ? 1 : 0))
		breach(r, "sequence_counts_changes");
	if (c->kind == SM_NOTE)
		check_note(r, c, &x);
	if (c->kind == SM_VERSION)
		check_decision(r, c, &before, &x);
	if (c->kind == SM_LEAVING)
		check_notice(r, c, &x);
	check_left(r);
	count(r, x.outcome);
	sm_result_clear(&x);
	sm_result_clear(&y);
	free(bytes);
}

/// Keeps a note to send it again later, in place of an older one.
static void
keep(struct run_state *r, const char *text)
{
	gchar **slot = &r->kept[rnd_below(r->rnd, KEPT_NOTES)];

	g_free(*slot);
	*slot = g_strdup(text);
}

/// Sends a kept note again.
static void
resend(struct run_state *r)
{
	const char *text = r->kept[rnd_below(r->rnd, KEPT_NOTES)];
	struct sm_command c = { .kind = SM_NOTE };

	if (text == NULL)
		return;
	c.note.text = text;
	c.note.len = strlen(text);
	apply(r, &c);
}

static void
look(struct run_state *r)
{
	const struct sm_version *v;
	size_t n;

	v = sm_versions(r->a, &n);
	if (n > 0)
		r->views[rnd_below(r->rnd, MAX_VIEWS)] =
		    v[rnd_below(r->rnd, n)];
}

static void
step(struct run_state *r)
{
	char text[TEXT_BYTES];
	struct sm_command c;

	look(r);
	switch (rnd_below(r->rnd, 8)) {
	case 0:
	case 1:
		c = random_note(r, text);
		keep(r, text);
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
		c = random_server_word(r);
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
	const struct sm_command c = {
		.kind = SM_NOTE,
		.note = { .text = first, .len = strlen(first) },
	};

	r->rnd = rnd_new(seed);
	r->a = sm_new();
	r->b = sm_new();
	r->follower = sm_new();
	r->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_known);
	r->left = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->revision = 0;
	r->notice = 0;
	apply(r, &c);
}

static void
finish(struct run_state *r)
{
	while (sm_sequence(r->follower) < sm_sequence(r->a) && r->breaches == 0)
		follow(r);
	if (r->breaches == 0) {
		check_equal(r, r->b, "replicas_are_equal");
		check_equal(r, r->follower, "follower_is_equal");
		check_items(r, r->b);
		check_items(r, r->follower);
	}
	if (g_hash_table_size(r->known) != sm_revision(r->a))
		breach(r, "each_note_counts_once");
	for (size_t i = 0; i < KEPT_NOTES; i++)
		g_clear_pointer(&r->kept[i], g_free);
	memset(r->views, 0, sizeof(r->views));
	g_hash_table_destroy(r->known);
	g_hash_table_destroy(r->left);
	sm_free(r->a);
	sm_free(r->b);
	sm_free(r->follower);
	rnd_free(r->rnd);
}

/// Racing and resent notes, stale decisions and words about servers against
/// a model; replicas, one restored midway, and a follower stay equal.
int
proof_state_notes_random(uint64_t seed)
{
	struct run_state r = { 0 };

	for (uint64_t i = 0; i < BLOCKS && r.breaches == 0; i++) {
		begin(&r, seed + i);
		for (int k = 0; k < STEPS && r.breaches == 0; k++)
			step(&r);
		finish(&r);
	}
	(void)printf("seeds=%d accepted=%" G_GUINT64_FORMAT
		     " same=%" G_GUINT64_FORMAT " conflicts=%" G_GUINT64_FORMAT
		     " invalid=%" G_GUINT64_FORMAT " breaches=%d\n",
	    BLOCKS, r.n_accepted, r.n_same, r.n_conflicts, r.n_invalid,
	    r.breaches);
	return r.breaches == 0 ? 0 : 1;
}
