#include "conf/problem.h"
#include "state/catalog_draft.h"
#include "state/catalog_internal.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Sets the result for a note whose name was accepted before.
static void
report_known_note(const struct catalog_note *known,
    const struct spec_note *note, struct catalog_result *out)
{
	out->revision = known->revision;
	out->sequence = known->sequence;
	if (known->content_hash == note->content_hash) {
		out->status = CATALOG_UNCHANGED;
		return;
	}
	(void)g_strlcpy(out->winner, known->name, sizeof(out->winner));
	catalog_set_message(out, CATALOG_CONFLICT,
	    "note '%s' was accepted with other content as revision "
	    "%" G_GUINT64_FORMAT,
	    known->name, known->revision);
}

/// Sets the result for a note whose base is an old revision.
static void
report_stale_note(const struct catalog *s, const struct spec_note *note,
    struct catalog_result *out)
{
	struct catalog_note winner = { 0 };

	for (size_t i = 0; i < s->notes.n; i++) {
		(void)catalog_note_at(s, i, &winner);
		// This is the note that was accepted on the same base, or the
		// oldest one that is still kept.
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

/// Checks name and base revision of a note.
///
/// @return whether the note may be applied; otherwise the result is set
static bool
check_name_and_base(const struct catalog *s, const struct spec_note *note,
    struct catalog_result *out)
{
	struct catalog_note known;

	if (catalog_note(s, note->name, &known)) {
		report_known_note(&known, note, out);
		return false;
	}
	if (note->base < s->revision) {
		report_stale_note(s, note, out);
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

/// Builds and checks the configuration after a note, and sets the result.
///
/// @param draft  release with catalog_draft_clear() in any case
/// @return whether the note is acceptable
static bool
build_draft(const struct catalog *s, const struct spec_note *note,
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
	out->status = CATALOG_ACCEPTED;
	out->revision = s->revision + 1;
	out->sequence = s->sequence + 1;
	return true;
}

void
catalog_dry_run_note(const struct catalog *s, const struct spec_note *note,
    struct catalog_result *out)
{
	struct catalog_draft draft;

	memset(out, 0, sizeof(*out));
	out->revision = s->revision;
	out->sequence = s->sequence;
	if (!check_name_and_base(s, note, out))
		return;
	(void)build_draft(s, note, &draft, out);
	catalog_draft_clear(&draft);
}

/// Records a rollout for each version that a note adds.
static void
store_rollouts(struct catalog *s, const struct catalog_draft *draft)
{
	for (uint32_t i = 0; i < draft->note->n_changes; i++) {
		const struct spec_change *c = &draft->note->changes[i];
		const struct catalog_version *v;
		struct catalog_rollout rollout = { 0 };

		if (c->kind != SPEC_KIND_VERSION || c->op != SPEC_OP_ADD)
			continue;
		v = namemap_find(
		    &draft->tables[SPEC_KIND_VERSION], spec_change_key(c));
		rollout.revision = v->revision;
		(void)g_strlcpy(
		    rollout.version, v->spec.name, sizeof(rollout.version));
		(void)g_strlcpy(
		    rollout.pool, v->spec.pool, sizeof(rollout.pool));
		rollout.phase = v->phase;
		rollout.share_permille = v->share_permille;
		rollout.changed_sequence = v->changed_sequence;
		catalog_store_rollout(s, &rollout);
	}
}

/// Ends the rollouts of versions that a note withdraws: sets their final phase,
/// a share of 0 and the reason.
static void
end_rollouts(struct catalog *s, const struct spec_note *note)
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
store_note(struct catalog *s, const struct spec_note *note)
{
	struct catalog_note *stored = g_new0(struct catalog_note, 1);

	(void)g_strlcpy(stored->name, note->name, sizeof(stored->name));
	stored->content_hash = note->content_hash;
	stored->revision = s->revision;
	stored->sequence = s->sequence + 1;
	stored->text = spec_canonical_json(note);
	catalog_store_note(s, stored);
}

static void
apply_parsed(
    struct catalog *s, const struct spec_note *note, struct catalog_result *out)
{
	struct catalog_draft draft;

	if (!check_name_and_base(s, note, out))
		return;
	if (build_draft(s, note, &draft, out)) {
		s->revision++;
		end_rollouts(s, note);
		store_rollouts(s, &draft);
		store_note(s, note);
		catalog_draft_commit(&draft, s);
	}
	catalog_draft_clear(&draft);
}

/// Applies a release note to the catalog.
///
/// @param out  receives the result, set to zero before
void
catalog_apply_note(
    struct catalog *s, const char *text, size_t len, struct catalog_result *out)
{
	struct spec_note *note;

	if (spec_parse_note(text, len, &note, &out->problems) != STATUS_OK) {
		catalog_set_message(out, CATALOG_INVALID, "%s", status_last());
		return;
	}
	apply_parsed(s, note, out);
	spec_note_free(note);
}
