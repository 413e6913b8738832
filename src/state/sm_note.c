#include "conf/pb.h"
#include "state/sm_draft.h"
#include "state/sm_state.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Answers a note whose name was accepted before.
static void
answer_known(const struct sm_note *known, const struct nt_note *note,
    struct sm_result *out)
{
	out->revision = known->revision;
	out->sequence = known->sequence;
	if (known->content_hash == note->content_hash) {
		out->outcome = SM_SAME;
		return;
	}
	(void)g_strlcpy(out->winner, known->name, sizeof(out->winner));
	sm_set_message(out, SM_CONFLICT,
	    "note '%s' was accepted with other content as revision "
	    "%" G_GUINT64_FORMAT,
	    known->name, known->revision);
}

/// Answers a note that builds on an old revision.
static void
answer_old(
    const struct sm *s, const struct nt_note *note, struct sm_result *out)
{
	struct sm_note winner = { 0 };

	for (size_t i = 0; i < s->notes.n; i++) {
		(void)sm_note_at(s, i, &winner);
		// The first one on the same base won, if it is still kept.
		if (winner.revision > note->base)
			break;
	}
	(void)g_strlcpy(out->winner, winner.name, sizeof(out->winner));
	sm_set_message(out, SM_CONFLICT,
	    "builds on revision %" G_GUINT64_FORMAT
	    ", but note '%s' was accepted as revision %" G_GUINT64_FORMAT
	    "; the current one is %" G_GUINT64_FORMAT,
	    note->base, winner.name, winner.revision, s->revision);
}

/// Checks name and base of a note.
///
/// @return whether the note may be applied; else the answer is set
static bool
may_apply(const struct sm *s, const struct nt_note *note, struct sm_result *out)
{
	struct sm_note known;

	if (sm_note(s, note->name, &known)) {
		answer_known(&known, note, out);
		return false;
	}
	if (note->base < s->revision) {
		answer_old(s, note, out);
		return false;
	}
	if (note->base > s->revision) {
		pb_add(&out->problems, "$.base", 0,
		    "must be the current revision, %" G_GUINT64_FORMAT,
		    s->revision);
		sm_set_message(out, SM_INVALID,
		    "builds on a revision that does not exist");
		return false;
	}
	return true;
}

/// Builds what the configuration would be after a note.
///
/// @return whether the note is accepted; the draft has to be released
static bool
try_note(const struct sm *s, const struct nt_note *note, struct sm_draft *draft,
    struct sm_result *out)
{
	sm_draft_new(draft, s, note, &out->problems);
	sm_draft_fill(draft);
	if (out->problems.n == 0)
		sm_draft_check(draft);
	if (out->problems.n > 0) {
		sm_set_message(out, SM_INVALID, "the note has %zu mistakes",
		    out->problems.n);
		return false;
	}
	out->outcome = SM_ACCEPTED;
	out->revision = s->revision + 1;
	out->sequence = s->sequence + 1;
	return true;
}

/// Tells what a note would be answered now, without doing it.
void
sm_try_note(
    const struct sm *s, const struct nt_note *note, struct sm_result *out)
{
	struct sm_draft draft;

	memset(out, 0, sizeof(*out));
	out->revision = s->revision;
	out->sequence = s->sequence;
	if (!may_apply(s, note, out))
		return;
	(void)try_note(s, note, &draft, out);
	sm_draft_free(&draft);
}

static void
keep_moves(struct sm *s, const struct sm_draft *draft)
{
	for (uint32_t i = 0; i < draft->note->n_changes; i++) {
		const struct nt_change *c = &draft->note->changes[i];
		const struct sm_version *v;
		struct sm_move move = { 0 };

		if (c->kind != NT_VERSION || c->op != NT_ADD)
			continue;
		v = tb_find(&draft->tables[NT_VERSION], nt_change_key(c));
		move.revision = v->revision;
		(void)g_strlcpy(
		    move.version, v->conf.name, sizeof(move.version));
		(void)g_strlcpy(move.pool, v->conf.pool, sizeof(move.pool));
		move.phase = v->phase;
		move.share_permille = v->share_permille;
		move.as_of = v->as_of;
		sm_keep_move(s, &move);
	}
}

/// Ends the moves to versions that a note withdraws.
static void
end_moves(struct sm *s, const struct nt_note *note)
{
	for (uint32_t i = 0; i < note->n_changes; i++) {
		const struct nt_change *c = &note->changes[i];
		const struct sm_version *old;
		struct sm_version v;

		if (c->kind != NT_VERSION || c->op != NT_WITHDRAW)
			continue;
		old = tb_find(&s->tables[NT_VERSION], nt_change_key(c));
		if (old->phase == SM_TAKEN_BACK)
			continue;
		v = *old;
		v.phase = v.phase == SM_DONE ? SM_WITHDRAWN : SM_TAKEN_BACK;
		v.share_permille = 0;
		v.as_of = s->sequence + 1;
		(void)g_snprintf(v.reason, sizeof(v.reason),
		    "withdrawn by note %s", note->name);
		sm_record_move(s, &v);
	}
}

static void
keep_note(struct sm *s, const struct nt_note *note)
{
	struct sm_note *kept = g_new0(struct sm_note, 1);

	(void)g_strlcpy(kept->name, note->name, sizeof(kept->name));
	kept->content_hash = note->content_hash;
	kept->revision = s->revision;
	kept->sequence = s->sequence + 1;
	kept->text = nt_canonical(note);
	sm_keep_note(s, kept);
}

static void
apply(struct sm *s, const struct nt_note *note, struct sm_result *out)
{
	struct sm_draft draft;

	if (!may_apply(s, note, out))
		return;
	if (try_note(s, note, &draft, out)) {
		s->revision++;
		end_moves(s, note);
		keep_moves(s, &draft);
		keep_note(s, note);
		sm_draft_put(&draft, s);
	}
	sm_draft_free(&draft);
}

/// Applies a release note.
void
sm_apply_note(struct sm *s, const char *text, size_t len, struct sm_result *out)
{
	struct nt_note *note;

	if (nt_parse(text, len, &note, &out->problems) != STATUS_OK) {
		sm_set_message(out, SM_INVALID, "%s", status_last());
		return;
	}
	apply(s, note, out);
	nt_note_free(note);
}
