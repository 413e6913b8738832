#include "state/catalog_internal.h"

#include <glib.h>
#include <string.h>

/// The version in force of a pool, or NULL.
struct catalog_version *
catalog_find_in_force(const struct namemap *versions, const char *pool)
{
	for (size_t i = 0; i < versions->n; i++) {
		struct catalog_version *v = namemap_at(versions, i);

		if (v->in_force && strcmp(v->spec.pool, pool) == 0)
			return v;
	}
	return NULL;
}

/// Copies the state of a version to the record of its rollout, if that is
/// still kept.
void
catalog_record_rollout(struct catalog *s, const struct catalog_version *v)
{
	for (size_t i = s->rollouts.n; i > 0; i--) {
		struct catalog_rollout *m = s->rollouts.items[i - 1];

		if (m->revision != v->revision ||
		    strcmp(m->version, v->spec.name) != 0)
			continue;
		m->phase = v->phase;
		m->share_permille = v->share_permille;
		(void)g_strlcpy(m->reason, v->reason, sizeof(m->reason));
		m->changed_sequence = v->changed_sequence;
		return;
	}
}

static void
update_version(struct catalog *s, struct catalog_version *v,
    enum catalog_phase phase, uint32_t share_permille, const char *reason)
{
	v->phase = phase;
	v->share_permille = share_permille;
	(void)g_strlcpy(v->reason, reason, sizeof(v->reason));
	v->changed_sequence = s->sequence + 1;
	catalog_record_rollout(s, v);
}

/// Sets the share of a version; the baseline gets the rest.
static void
set_share(struct catalog *s, struct catalog_version *v,
    struct catalog_version *baseline, const struct catalog_command *c,
    struct catalog_result *out)
{
	const uint32_t share = c->version_share.share_permille;
	const uint32_t available = baseline->share_permille + v->share_permille;

	if (v == baseline ||
	    (v->phase != CATALOG_PHASE_WAITING &&
		v->phase != CATALOG_PHASE_ROLLING_OUT)) {
		catalog_set_message(out, CATALOG_INVALID, "version '%s' is %s",
		    v->spec.name, catalog_phase_name(v->phase));
		return;
	}
	if (share > available) {
		catalog_set_message(out, CATALOG_INVALID,
		    "version '%s' can have at most %u permille now",
		    v->spec.name, available);
		return;
	}
	update_version(
	    s, baseline, baseline->phase, available - share, baseline->reason);
	update_version(
	    s, v, CATALOG_PHASE_ROLLING_OUT, share, c->version_share.reason);
}

/// Makes a version the one in force of its pool, with the share of both.
static void
complete_rollout(struct catalog *s, struct catalog_version *v,
    struct catalog_version *baseline, const struct catalog_command *c,
    struct catalog_result *out)
{
	const uint32_t share = baseline->share_permille + v->share_permille;

	if (v->phase != CATALOG_PHASE_ROLLING_OUT) {
		catalog_set_message(out, CATALOG_INVALID, "version '%s' is %s",
		    v->spec.name, catalog_phase_name(v->phase));
		return;
	}
	update_version(s, baseline, baseline->phase, 0, baseline->reason);
	baseline->in_force = false;
	(void)g_strlcpy(v->previous, baseline->spec.name, sizeof(v->previous));
	v->in_force = true;
	update_version(
	    s, v, CATALOG_PHASE_DONE, share, c->version_share.reason);
}

/// The version that gets the share when a version in force is rolled back: the
/// nearest one that was in force before it and was not rolled back itself.
///
/// @return NULL when there is none
static struct catalog_version *
find_rollback_target(struct catalog *s, const struct catalog_version *from)
{
	const struct namemap *versions = &s->tables[SPEC_KIND_VERSION];
	const char *name = from->previous;

	for (size_t i = 0; i < versions->n; i++) {
		struct catalog_version *v = namemap_find(versions, name);

		if (v == NULL || strcmp(v->spec.pool, from->spec.pool) != 0)
			return NULL;
		if (v->phase == CATALOG_PHASE_DONE && v != from)
			return v;
		name = v->previous;
	}
	return NULL;
}

/// Takes the share of a version away and gives it to the baseline or, if the
/// version is the baseline, to find_rollback_target(), the baseline from now
/// on.
static void
roll_back(struct catalog *s, struct catalog_version *v,
    struct catalog_version *baseline, const struct catalog_command *c,
    struct catalog_result *out)
{
	struct catalog_version *target =
	    v == baseline ? find_rollback_target(s, v) : baseline;

	if (target == NULL || v->phase == CATALOG_PHASE_ROLLED_BACK ||
	    (v != baseline && v->phase == CATALOG_PHASE_DONE)) {
		catalog_set_message(out, CATALOG_INVALID,
		    "version '%s' is %s and has no share to give back",
		    v->spec.name, catalog_phase_name(v->phase));
		return;
	}
	v->in_force = false;
	target->in_force = true;
	update_version(s, target, target->phase,
	    target->share_permille + v->share_permille, target->reason);
	update_version(
	    s, v, CATALOG_PHASE_ROLLED_BACK, 0, c->version_share.reason);
}

/// Whether a decision is already applied to the version.
static bool
is_applied(const struct catalog_version *v, const struct catalog_command *c)
{
	if (v->phase != c->version_share.phase)
		return false;
	if (v->phase == CATALOG_PHASE_ROLLING_OUT &&
	    v->share_permille != c->version_share.share_permille)
		return false;
	return strcmp(v->reason, c->version_share.reason) == 0;
}

/// Moves a version to the phase of a decision, with the change of shares that
/// belongs to it. The result is CATALOG_INVALID when the version's present
/// phase or the available share does not allow it.
static void
apply_decision(struct catalog *s, struct catalog_version *v,
    const struct catalog_command *c, struct catalog_result *out)
{
	struct catalog_version *baseline =
	    catalog_find_in_force(&s->tables[SPEC_KIND_VERSION], v->spec.pool);

	out->status = CATALOG_ACCEPTED;
	switch (c->version_share.phase) {
	case CATALOG_PHASE_WAITING:
		if (v->phase == CATALOG_PHASE_WAITING)
			update_version(s, v, CATALOG_PHASE_WAITING, 0,
			    c->version_share.reason);
		else
			catalog_set_message(out, CATALOG_INVALID,
			    "version '%s' waits no longer", v->spec.name);
		return;
	case CATALOG_PHASE_ROLLING_OUT:
		set_share(s, v, baseline, c, out);
		return;
	case CATALOG_PHASE_DONE:
		complete_rollout(s, v, baseline, c, out);
		return;
	case CATALOG_PHASE_ROLLED_BACK:
		roll_back(s, v, baseline, c, out);
		return;
	case CATALOG_PHASE_WITHDRAWN:
		catalog_set_message(
		    out, CATALOG_INVALID, "only a note withdraws a version");
		return;
	}
}

/// Applies a decision about the phase or share of a version.
void
catalog_apply_version(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	struct catalog_version *v = namemap_find(
	    &s->tables[SPEC_KIND_VERSION], c->version_share.version);

	if (v == NULL) {
		catalog_set_message(out, CATALOG_INVALID, "no version '%s'",
		    c->version_share.version);
		return;
	}
	if (is_applied(v, c)) {
		out->status = CATALOG_UNCHANGED;
		return;
	}
	if (v->phase != c->version_share.expect_phase ||
	    v->share_permille != c->version_share.expect_share_permille) {
		catalog_set_message(out, CATALOG_CONFLICT,
		    "stale decision: version '%s' is %s at %u permille",
		    v->spec.name, catalog_phase_name(v->phase),
		    v->share_permille);
		return;
	}
	apply_decision(s, v, c, out);
}
