#include "conf/problem.h"
#include "state/catalog_draft.h"
#include "state/catalog_internal.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Answers a note whose name was accepted before.
static void
answer_known(const struct catalog_note *known, const struct spec_note *note,
    struct catalog_result *out)
{
	out->revision = known->revision;
	out->sequence = known->sequence;
	if (known->content_hash == note->content_hash) {
		out->outcome = CATALOG_UNCHANGED;
		return;
	}
	(void)g_strlcpy(out->winner, known->name, sizeof(out->winner));
	catalog_set_message(out, CATALOG_CONFLICT,
	    "note '%s' was accepted with other content as revision "
	    "%" G_GUINT64_FORMAT,
	    known->name, known->revision);
}

/// Answers a note that builds on an old revision.
static void
answer_old(const struct catalog *s, const struct spec_note *note,
    struct catalog_result *out)
{
	struct catalog_note winner = { 0 };

	for (size_t i = 0; i < s->notes.n; i++) {
		(void)catalog_note_at(s, i, &winner);
		// The first one on the same base won, if it is still kept.
		if (winner.revision > note->base)
			break;
	}
	(void)g_strlcpy(out->winner, winner.name, sizeof(out->winner));
	catalog_set_message(out, CATALOG_CONFLICT,
	    "builds on revision %" G_GUINT64_FORMAT
	    ", but note '%s' was accepted as revision %" G_GUINT64_FORMAT
	    "; the current one is %" G_GUINT64_FORMAT,
	    note->base, winner.name, winner.revision, s->revision);
}

/// Checks name and base of a note.
///
/// @return whether the note may be applied; else the answer is set
static bool
may_apply(const struct catalog *s, const struct spec_note *note,
    struct catalog_result *out)
{
	struct catalog_note known;

	if (catalog_note(s, note->name, &known)) {
		answer_known(&known, note, out);
		return false;
	}
	if (note->base < s->revision) {
		answer_old(s, note, out);
		return false;
	}
	if (note->base > s->revision) {
		problem_add(&out->problems, "$.base", 0,
		    "must be the current revision, %" G_GUINT64_FORMAT,
		    s->revision);
		catalog_set_message(out, CATALOG_INVALID,
		    "builds on a revision that does not exist");
		return false;
	}
	return true;
}

/// Builds what the configuration would be after a note.
///
/// @return whether the note is accepted; the draft has to be released
static bool
try_note(const struct catalog *s, const struct spec_note *note,
    struct catalog_draft *draft, struct catalog_result *out)
{
	catalog_draft_init(draft, s, note, &out->problems);
	catalog_draft_apply_note(draft);
	if (out->problems.n == 0)
		catalog_draft_check(draft);
	if (out->problems.n > 0) {
		catalog_set_message(out, CATALOG_INVALID,
		    "the note has %zu mistakes", out->problems.n);
		return false;
	}
	out->outcome = CATALOG_ACCEPTED;
	out->revision = s->revision + 1;
	out->sequence = s->sequence + 1;
	return true;
}

/// Tells what a note would be answered now, without doing it.
void
catalog_dry_run_note(const struct catalog *s, const struct spec_note *note,
    struct catalog_result *out)
{
	struct catalog_draft draft;

	memset(out, 0, sizeof(*out));
	out->revision = s->revision;
	out->sequence = s->sequence;
	if (!may_apply(s, note, out))
		return;
	(void)try_note(s, note, &draft, out);
	catalog_draft_clear(&draft);
}

static void
keep_moves(struct catalog *s, const struct catalog_draft *draft)
{
	for (uint32_t i = 0; i < draft->note->n_changes; i++) {
		const struct spec_change *c = &draft->note->changes[i];
		const struct catalog_version *v;
		struct catalog_rollout move = { 0 };

		if (c->kind != SPEC_KIND_VERSION || c->op != SPEC_OP_ADD)
			continue;
		v = namemap_find(
		    &draft->tables[SPEC_KIND_VERSION], spec_change_key(c));
		move.revision = v->revision;
		(void)g_strlcpy(
		    move.version, v->conf.name, sizeof(move.version));
		(void)g_strlcpy(move.pool, v->conf.pool, sizeof(move.pool));
		move.phase = v->phase;
		move.share_permille = v->share_permille;
		move.changed_sequence = v->changed_sequence;
		catalog_store_rollout(s, &move);
	}
}

/// Ends the moves to versions that a note withdraws.
static void
end_moves(struct catalog *s, const struct spec_note *note)
{
	for (uint32_t i = 0; i < note->n_changes; i++) {
		const struct spec_change *c = &note->changes[i];
		const struct catalog_version *old;
		struct catalog_version v;

		if (c->kind != SPEC_KIND_VERSION || c->op != SPEC_OP_WITHDRAW)
			continue;
		old = namemap_find(
		    &s->tables[SPEC_KIND_VERSION], spec_change_key(c));
		if (old->phase == CATALOG_PHASE_ROLLED_BACK)
			continue;
		v = *old;
		v.phase = v.phase == CATALOG_PHASE_DONE
		    ? CATALOG_PHASE_WITHDRAWN
		    : CATALOG_PHASE_ROLLED_BACK;
		v.share_permille = 0;
		v.changed_sequence = s->sequence + 1;
		(void)g_snprintf(v.reason, sizeof(v.reason),
		    "withdrawn by note %s", note->name);
		catalog_record_rollout(s, &v);
	}
}

static void
keep_note(struct catalog *s, const struct spec_note *note)
{
	struct catalog_note *kept = g_new0(struct catalog_note, 1);

	(void)g_strlcpy(kept->name, note->name, sizeof(kept->name));
	kept->content_hash = note->content_hash;
	kept->revision = s->revision;
	kept->sequence = s->sequence + 1;
	kept->text = spec_canonical_json(note);
	catalog_store_note(s, kept);
}

static void
apply(
    struct catalog *s, const struct spec_note *note, struct catalog_result *out)
{
	struct catalog_draft draft;

	if (!may_apply(s, note, out))
		return;
	if (try_note(s, note, &draft, out)) {
		s->revision++;
		end_moves(s, note);
		keep_moves(s, &draft);
		keep_note(s, note);
		catalog_draft_commit(&draft, s);
	}
	catalog_draft_clear(&draft);
}

/// Applies a release note.
void
catalog_apply_note(
    struct catalog *s, const char *text, size_t len, struct catalog_result *out)
{
	struct spec_note *note;

	if (spec_parse_note(text, len, &note, &out->problems) != STATUS_OK) {
		catalog_set_message(out, CATALOG_INVALID, "%s", status_last());
		return;
	}
	apply(s, note, out);
	spec_note_free(note);
}
