#include "state/catalog_internal.h"

#include <glib.h>
#include <string.h>

/// The version in force of a pool, or NULL.
struct catalog_version *
catalog_find_in_force(const struct namemap *versions, const char *pool)
{
	for (size_t i = 0; i < versions->n; i++) {
		struct catalog_version *v = namemap_at(versions, i);

		if (v->in_force && strcmp(v->conf.pool, pool) == 0)
			return v;
	}
	return NULL;
}

/// Writes the state of a version to the record of its move.
void
catalog_record_rollout(struct catalog *s, const struct catalog_version *v)
{
	for (size_t i = s->moves.n; i > 0; i--) {
		struct catalog_rollout *m = s->moves.items[i - 1];

		if (m->revision != v->revision ||
		    strcmp(m->version, v->conf.name) != 0)
			continue;
		m->phase = v->phase;
		m->share_permille = v->share_permille;
		(void)g_strlcpy(m->reason, v->reason, sizeof(m->reason));
		m->changed_sequence = v->changed_sequence;
		return;
	}
}

static void
change(struct catalog *s, struct catalog_version *v, enum catalog_phase phase,
    uint32_t share_permille, const char *reason)
{
	v->phase = phase;
	v->share_permille = share_permille;
	(void)g_strlcpy(v->reason, reason, sizeof(v->reason));
	v->changed_sequence = s->sequence + 1;
	catalog_record_rollout(s, v);
}

/// Gives a version more or less of its pool.
static void
set_share(struct catalog *s, struct catalog_version *v,
    struct catalog_version *donor, const struct catalog_command *c,
    struct catalog_result *out)
{
	const uint32_t share = c->version.share_permille;
	const uint32_t room = donor->share_permille + v->share_permille;

	if (v == donor ||
	    (v->phase != CATALOG_PHASE_WAITING &&
		v->phase != CATALOG_PHASE_ROLLING_OUT)) {
		catalog_set_message(out, CATALOG_INVALID, "version '%s' is %s",
		    v->conf.name, catalog_phase_name(v->phase));
		return;
	}
	if (share > room) {
		catalog_set_message(out, CATALOG_INVALID,
		    "version '%s' can have at most %u permille now",
		    v->conf.name, room);
		return;
	}
	change(s, donor, donor->phase, room - share, donor->reason);
	change(s, v, CATALOG_PHASE_ROLLING_OUT, share, c->version.reason);
}

/// Makes a version the one in force of its pool.
static void
complete(struct catalog *s, struct catalog_version *v,
    struct catalog_version *donor, const struct catalog_command *c,
    struct catalog_result *out)
{
	const uint32_t share = donor->share_permille + v->share_permille;

	if (v->phase != CATALOG_PHASE_ROLLING_OUT) {
		catalog_set_message(out, CATALOG_INVALID, "version '%s' is %s",
		    v->conf.name, catalog_phase_name(v->phase));
		return;
	}
	change(s, donor, donor->phase, 0, donor->reason);
	donor->in_force = false;
	(void)g_strlcpy(v->previous, donor->conf.name, sizeof(v->previous));
	v->in_force = true;
	change(s, v, CATALOG_PHASE_DONE, share, c->version.reason);
}

/// Where the share of a version in force can go back to.
static struct catalog_version *
way_back(struct catalog *s, const struct catalog_version *from)
{
	const struct namemap *versions = &s->tables[SPEC_KIND_VERSION];
	const char *name = from->previous;

	for (size_t i = 0; i < versions->n; i++) {
		struct catalog_version *v = namemap_find(versions, name);

		if (v == NULL || strcmp(v->conf.pool, from->conf.pool) != 0)
			return NULL;
		if (v->phase == CATALOG_PHASE_DONE && v != from)
			return v;
		name = v->previous;
	}
	return NULL;
}

static void
take_back(struct catalog *s, struct catalog_version *v,
    struct catalog_version *donor, const struct catalog_command *c,
    struct catalog_result *out)
{
	struct catalog_version *to = v == donor ? way_back(s, v) : donor;

	if (to == NULL || v->phase == CATALOG_PHASE_ROLLED_BACK ||
	    (v != donor && v->phase == CATALOG_PHASE_DONE)) {
		catalog_set_message(out, CATALOG_INVALID,
		    "version '%s' is %s and has no share to give back",
		    v->conf.name, catalog_phase_name(v->phase));
		return;
	}
	v->in_force = false;
	to->in_force = true;
	change(s, to, to->phase, to->share_permille + v->share_permille,
	    to->reason);
	change(s, v, CATALOG_PHASE_ROLLED_BACK, 0, c->version.reason);
}

/// Whether the version is already as a decision wants it.
static bool
already_so(const struct catalog_version *v, const struct catalog_command *c)
{
	if (v->phase != c->version.phase)
		return false;
	if (v->phase == CATALOG_PHASE_ROLLING_OUT &&
	    v->share_permille != c->version.share_permille)
		return false;
	return strcmp(v->reason, c->version.reason) == 0;
}

static void
decide(struct catalog *s, struct catalog_version *v,
    const struct catalog_command *c, struct catalog_result *out)
{
	struct catalog_version *donor =
	    catalog_find_in_force(&s->tables[SPEC_KIND_VERSION], v->conf.pool);

	out->outcome = CATALOG_ACCEPTED;
	switch (c->version.phase) {
	case CATALOG_PHASE_WAITING:
		if (v->phase == CATALOG_PHASE_WAITING)
			change(
			    s, v, CATALOG_PHASE_WAITING, 0, c->version.reason);
		else
			catalog_set_message(out, CATALOG_INVALID,
			    "version '%s' waits no longer", v->conf.name);
		return;
	case CATALOG_PHASE_ROLLING_OUT:
		set_share(s, v, donor, c, out);
		return;
	case CATALOG_PHASE_DONE:
		complete(s, v, donor, c, out);
		return;
	case CATALOG_PHASE_ROLLED_BACK:
		take_back(s, v, donor, c, out);
		return;
	case CATALOG_PHASE_WITHDRAWN:
		catalog_set_message(
		    out, CATALOG_INVALID, "only a note withdraws a version");
		return;
	}
}

/// Applies a decision about the share of a version.
void
catalog_apply_version(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	struct catalog_version *v =
	    namemap_find(&s->tables[SPEC_KIND_VERSION], c->version.version);

	if (v == NULL) {
		catalog_set_message(out, CATALOG_INVALID, "no version '%s'",
		    c->version.version);
		return;
	}
	if (already_so(v, c)) {
		out->outcome = CATALOG_UNCHANGED;
		return;
	}
	if (v->phase != c->version.expect_phase ||
	    v->share_permille != c->version.expect_share_permille) {
		catalog_set_message(out, CATALOG_CONFLICT,
		    "stale decision: version '%s' is %s at %u permille",
		    v->conf.name, catalog_phase_name(v->phase),
		    v->share_permille);
		return;
	}
	decide(s, v, c, out);
}
