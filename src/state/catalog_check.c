#include "base/inv.h"
#include "state/catalog_draft.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/// Checks of the whole configuration: of a draft, where a problem is a mistake
/// in the note, and of the catalog, where it is a fault of the program.

/// Checks that the item to which an item refers exists. If it doesn't, the
/// problem is attributed to the item when the note changes it, else to the
/// withdrawal of the other one.
static void
check_reference(struct catalog_draft *d, enum spec_kind kind, const char *key,
    const char *field, enum spec_kind target, const char *name)
{
	if (namemap_find(&d->tables[target], name) != NULL)
		return;
	if (catalog_draft_change(d, kind, key) == NULL)
		catalog_draft_problem(d, target, name, NULL,
		    "is in use by '%s' of %s", key, spec_kind_name(kind));
	else
		catalog_draft_problem(d, kind, key, field, "'%s' is not in %s",
		    name, spec_kind_name(target));
}

static void
check_server_versions(struct catalog_draft *d, const struct spec_server *s)
{
	const struct catalog_version *v;

	for (uint32_t i = 0; i < s->n_versions; i++) {
		v = namemap_find(&d->tables[SPEC_KIND_VERSION], s->versions[i]);
		if (v == NULL || strcmp(v->spec.pool, s->pool) != 0)
			catalog_draft_problem(d, SPEC_KIND_BACKEND_SERVER,
			    s->name, "versions", "no version '%s' of pool '%s'",
			    s->versions[i], s->pool);
	}
}

static guint
hash_address(gconstpointer p)
{
	const struct spec_server *s = p;

	return g_str_hash(s->host) ^ s->port;
}

static gboolean
same_address(gconstpointer a, gconstpointer b)
{
	const struct spec_server *x = a;
	const struct spec_server *y = b;

	return x->port == y->port && strcmp(x->host, y->host) == 0;
}

/// Checks that no two backend servers have the same address.
static void
check_addresses(struct catalog_draft *d)
{
	const struct namemap *t = &d->tables[SPEC_KIND_BACKEND_SERVER];
	GHashTable *seen = g_hash_table_new(hash_address, same_address);

	for (size_t i = 0; i < t->n; i++) {
		const struct catalog_server *item = namemap_at(t, i);
		const struct spec_server *s = &item->spec;
		const struct spec_server *other = g_hash_table_lookup(seen, s);
		const char *name = s->name;

		if (other == NULL) {
			g_hash_table_add(seen, (gpointer)s);
			continue;
		}
		if (catalog_draft_change(d, SPEC_KIND_BACKEND_SERVER, name) ==
		    NULL)
			name = other->name;
		catalog_draft_problem(d, SPEC_KIND_BACKEND_SERVER, name,
		    "address", "is that of '%s' and of '%s'", other->name,
		    s->name);
	}
	g_hash_table_destroy(seen);
}

static void
check_servers(struct catalog_draft *d)
{
	const struct namemap *t = &d->tables[SPEC_KIND_BACKEND_SERVER];
	const bool check_all =
	    d->owned[SPEC_KIND_POOL] || d->owned[SPEC_KIND_DATA_CENTRE];

	if (!check_all && !d->owned[SPEC_KIND_BACKEND_SERVER])
		return;
	for (size_t i = 0; i < t->n; i++) {
		const struct catalog_server *item = namemap_at(t, i);
		const struct spec_server *s = &item->spec;
		const bool in_note =
		    catalog_draft_change(
			d, SPEC_KIND_BACKEND_SERVER, s->name) != NULL;

		// A server that the note doesn't change may name a version that
		// was withdrawn since.
		if (in_note)
			check_server_versions(d, s);
		if (!check_all && !in_note)
			continue;
		check_reference(d, SPEC_KIND_BACKEND_SERVER, s->name, "pool",
		    SPEC_KIND_POOL, s->pool);
		check_reference(d, SPEC_KIND_BACKEND_SERVER, s->name,
		    "data_centre", SPEC_KIND_DATA_CENTRE, s->data_centre);
	}
	if (d->owned[SPEC_KIND_BACKEND_SERVER])
		check_addresses(d);
}

static void
check_routes(struct catalog_draft *d)
{
	const struct namemap *t = &d->tables[SPEC_KIND_ROUTE];

	for (size_t i = 0; i < t->n; i++) {
		const struct spec_route *r = namemap_at(t, i);

		check_reference(d, SPEC_KIND_ROUTE, r->path, "pool",
		    SPEC_KIND_POOL, r->pool);
	}
}

static void
check_vm_classes(struct catalog_draft *d)
{
	const struct namemap *t = &d->tables[SPEC_KIND_VM_CLASS];

	for (size_t i = 0; i < t->n; i++) {
		const struct spec_vm_class *c = namemap_at(t, i);

		check_reference(d, SPEC_KIND_VM_CLASS, c->name, "data_centre",
		    SPEC_KIND_DATA_CENTRE, c->data_centre);
	}
}

static void
check_adapters(struct catalog_draft *d)
{
	const struct namemap *t = &d->tables[SPEC_KIND_ADAPTER];

	for (size_t i = 0; i < t->n; i++) {
		const struct spec_adapter *a = namemap_at(t, i);

		check_reference(d, SPEC_KIND_ADAPTER, a->name, "version",
		    SPEC_KIND_VERSION, a->version);
	}
}

/// Checks the field `replaces` of a version that the note adds: only the first
/// version of a pool leaves it out.
static void
check_replaces(struct catalog_draft *d, const struct catalog_version *v)
{
	const struct catalog_version *old =
	    namemap_find(&d->tables[SPEC_KIND_VERSION], v->spec.replaces);
	const char *name = v->spec.name;
	const struct catalog_version *other;

	if (v->in_force) {
		other = catalog_find_in_force(
		    &d->tables[SPEC_KIND_VERSION], v->spec.pool);
		if (other == v)
			other = catalog_find_in_force(
			    &d->s->tables[SPEC_KIND_VERSION], v->spec.pool);
		if (other != NULL)
			catalog_draft_problem(d, SPEC_KIND_VERSION, name,
			    "replaces",
			    "is missing: pool '%s' has version '%s'",
			    v->spec.pool, other->spec.name);
		return;
	}
	if (old == NULL || old == v ||
	    strcmp(old->spec.pool, v->spec.pool) != 0)
		catalog_draft_problem(d, SPEC_KIND_VERSION, name, "replaces",
		    "no other version '%s' of pool '%s'", v->spec.replaces,
		    v->spec.pool);
	else if (old->phase == CATALOG_PHASE_ROLLED_BACK)
		catalog_draft_problem(d, SPEC_KIND_VERSION, name, "replaces",
		    "version '%s' was taken back", v->spec.replaces);
}

static void
check_versions(struct catalog_draft *d)
{
	const struct namemap *t = &d->tables[SPEC_KIND_VERSION];

	for (size_t i = 0; i < t->n; i++) {
		const struct catalog_version *v = namemap_at(t, i);

		check_reference(d, SPEC_KIND_VERSION, v->spec.name, "pool",
		    SPEC_KIND_POOL, v->spec.pool);
		if (v->revision == d->s->revision + 1)
			check_replaces(d, v);
	}
}

/// Checks that the note doesn't withdraw a version in force whose pool remains.
static void
check_withdrawals(struct catalog_draft *d)
{
	for (uint32_t i = 0; i < d->note->n_changes; i++) {
		const struct spec_change *c = &d->note->changes[i];
		const struct catalog_version *v;

		if (c->kind != SPEC_KIND_VERSION || c->op != SPEC_OP_WITHDRAW)
			continue;
		v = namemap_find(
		    &d->s->tables[SPEC_KIND_VERSION], spec_change_key(c));
		if (v->in_force &&
		    namemap_find(&d->tables[SPEC_KIND_POOL], v->spec.pool) !=
			NULL)
			catalog_draft_problem(d, SPEC_KIND_VERSION,
			    v->spec.name, NULL,
			    "is in force in pool '%s': move to another "
			    "version first, or withdraw the pool too",
			    v->spec.pool);
	}
}

/// Checks a draft as a whole; adds what it finds to the draft's problems.
void
catalog_draft_check(struct catalog_draft *d)
{
	check_vm_classes(d);
	check_versions(d);
	check_withdrawals(d);
	check_adapters(d);
	check_servers(d);
	check_routes(d);
}

/// First invariant that the versions of a pool violate, or NULL.
static const char *
pool_violation(const struct namemap *versions, const char *pool)
{
	uint32_t sum = 0;
	size_t n = 0;
	size_t in_force = 0;

	for (size_t i = 0; i < versions->n; i++) {
		const struct catalog_version *v = namemap_at(versions, i);

		if (strcmp(v->spec.pool, pool) != 0)
			continue;
		if (v->phase == CATALOG_PHASE_ROLLED_BACK &&
		    (v->share_permille != 0 || v->in_force))
			return "taken_back_has_no_share";
		n++;
		in_force += v->in_force ? 1 : 0;
		sum += v->share_permille;
	}
	if (n > 0 && sum != CATALOG_FULL_SHARE_PERMILLE)
		return "shares_are_whole";
	if (n > 0 && in_force != 1)
		return "one_in_force";
	return NULL;
}

/// First invariant that the catalog violates, or NULL.
///
/// @param where  receives the name of the item that violates it, "" for none;
///               owned by the catalog
const char *
catalog_find_violation(const struct catalog *s, const char **where)
{
	const struct namemap *versions = &s->tables[SPEC_KIND_VERSION];
	const struct namemap *pools = &s->tables[SPEC_KIND_POOL];
	const char *violation = NULL;

	*where = "";
	if (s->revision > s->sequence)
		return "revision_in_sequence";
	for (size_t i = 0; i < versions->n; i++) {
		const struct catalog_version *v = namemap_at(versions, i);

		*where = v->spec.name;
		if (namemap_find(pools, v->spec.pool) == NULL)
			return "version_has_pool";
	}
	for (size_t i = 0; i < pools->n && violation == NULL; i++) {
		const struct spec_pool *p = namemap_at(pools, i);

		*where = p->name;
		violation = pool_violation(versions, p->name);
	}
	return violation;
}

/// Checks the catalog's invariants; called after every change.
void
catalog_check_invariants(const struct catalog *s)
{
	const char *where;
	const char *violation = catalog_find_violation(s, &where);

	inv_check(violation == NULL, "state.sound",
	    "breach=%s at=%s revision=%" G_GUINT64_FORMAT
	    " sequence=%" G_GUINT64_FORMAT,
	    violation, where, s->revision, s->sequence);
}
