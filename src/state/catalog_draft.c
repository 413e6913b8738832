#include "conf/problem.h"
#include "state/catalog_draft.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/// Starts a draft of the configuration after a note. Catalog, note and problems
/// must outlive it.
///
/// @param d         release with catalog_draft_clear()
/// @param problems  receives every mistake in the note
void
catalog_draft_init(struct catalog_draft *d, const struct catalog *s,
    const struct spec_note *note, struct spec_problems *problems)
{
	*d = (struct catalog_draft){
		.s = s,
		.note = note,
		.problems = problems,
	};
	for (int kind = 0; kind < SPEC_KIND_COUNT; kind++)
		d->tables[kind] = s->tables[kind];
	for (uint32_t i = 0; i < note->n_changes; i++) {
		const enum spec_kind kind = note->changes[i].kind;

		if (d->owned[kind])
			continue;
		namemap_copy(&d->tables[kind], &s->tables[kind]);
		d->owned[kind] = true;
	}
}

/// Releases the tables that a draft owns.
void
catalog_draft_clear(struct catalog_draft *d)
{
	for (int kind = 0; kind < SPEC_KIND_COUNT; kind++) {
		if (d->owned[kind])
			namemap_free(&d->tables[kind]);
	}
}

/// Makes the tables of a draft those of the catalog.
void
catalog_draft_commit(struct catalog_draft *d, struct catalog *s)
{
	for (int kind = 0; kind < SPEC_KIND_COUNT; kind++) {
		const struct namemap old = s->tables[kind];

		if (!d->owned[kind])
			continue;
		s->tables[kind] = d->tables[kind];
		d->tables[kind] = old;
	}
}

/// Compares a change with kind, operation and key, in the order in which a note
/// is sorted.
static int
compare_change(const struct spec_change *c, enum spec_kind kind,
    enum spec_change_op op, const char *key)
{
	if (c->kind != kind)
		return c->kind < kind ? -1 : 1;
	if (c->op != op)
		return c->op < op ? -1 : 1;
	return strcmp(spec_change_key(c), key);
}

static const struct spec_change *
find_change(const struct spec_note *note, enum spec_kind kind,
    enum spec_change_op op, const char *key)
{
	uint32_t low = 0;
	uint32_t high = note->n_changes;

	while (low < high) {
		const uint32_t middle = low + (high - low) / 2;
		const struct spec_change *c = &note->changes[middle];
		const int order = compare_change(c, kind, op, key);

		if (order == 0)
			return c;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

/// The change that the note makes to an item, or NULL.
const struct spec_change *
catalog_draft_change(
    const struct catalog_draft *d, enum spec_kind kind, const char *key)
{
	const struct spec_change *c =
	    find_change(d->note, kind, SPEC_OP_ADD, key);

	if (c == NULL)
		c = find_change(d->note, kind, SPEC_OP_CHANGE, key);
	if (c == NULL)
		c = find_change(d->note, kind, SPEC_OP_WITHDRAW, key);
	return c;
}

/// Adds a problem with an item that the note names. The path contains the
/// item's name, since its position in the note's text isn't known here.
///
/// @param field  key within the item, or NULL
void
catalog_draft_problem(struct catalog_draft *d, enum spec_kind kind,
    const char *key, const char *field, const char *fmt, ...)
{
	static const char *const ops[] = { "add", "change", "withdraw" };
	const struct spec_change *c = catalog_draft_change(d, kind, key);
	char path[SPEC_PATH_BYTES * 2];
	gchar *message;
	va_list ap;

	(void)g_snprintf(path, sizeof(path), "$.%s.%s[%s]%s%s",
	    spec_kind_name(kind), c == NULL ? "?" : ops[c->op], key,
	    field == NULL ? "" : ".", field == NULL ? "" : field);
	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	problem_add(d->problems, path, 0, "%s", message);
	g_free(message);
}

/// Adds a backend server or replaces its configuration. It stays draining if it
/// was, unless it becomes another incarnation.
static void
put_server(struct catalog_draft *d, const struct spec_server *conf)
{
	struct namemap *t = &d->tables[SPEC_KIND_BACKEND_SERVER];
	const struct catalog_server *old = namemap_find(t, conf->name);
	struct catalog_server item;

	memset(&item, 0, sizeof(item));
	if (old != NULL)
		item = *old;
	// With another address, pool or data centre it is another incarnation.
	if (old == NULL || strcmp(old->spec.host, conf->host) != 0 ||
	    old->spec.port != conf->port ||
	    strcmp(old->spec.pool, conf->pool) != 0 ||
	    strcmp(old->spec.data_centre, conf->data_centre) != 0) {
		memset(&item, 0, sizeof(item));
		item.incarnation = d->s->sequence + 1;
	}
	item.spec = *conf;
	(void)namemap_put(t, &item);
}

static void
add_version(struct catalog_draft *d, const struct spec_version *conf)
{
	const bool first = conf->replaces[0] == '\0';
	struct catalog_version item;

	memset(&item, 0, sizeof(item));
	item.spec = *conf;
	item.phase = first ? CATALOG_PHASE_DONE : CATALOG_PHASE_WAITING;
	item.share_permille = first ? CATALOG_FULL_SHARE_PERMILLE : 0;
	item.in_force = first;
	item.revision = d->s->revision + 1;
	item.changed_sequence = d->s->sequence + 1;
	(void)namemap_put(&d->tables[SPEC_KIND_VERSION], &item);
}

static void
change_version(struct catalog_draft *d, const struct spec_version *conf)
{
	struct catalog_version *v =
	    namemap_find(&d->tables[SPEC_KIND_VERSION], conf->name);

	if (strcmp(v->spec.pool, conf->pool) != 0)
		catalog_draft_problem(d, SPEC_KIND_VERSION, conf->name, "pool",
		    "can't change; it is '%s'", v->spec.pool);
	if (strcmp(v->spec.replaces, conf->replaces) != 0)
		catalog_draft_problem(d, SPEC_KIND_VERSION, conf->name,
		    "replaces", "can't change; it is '%s'", v->spec.replaces);
	v->spec = *conf;
}

/// Removes a version. If it has a share, the baseline gets it.
static void
withdraw_version(struct catalog_draft *d, const char *name)
{
	struct namemap *t = &d->tables[SPEC_KIND_VERSION];
	const struct catalog_version *v = namemap_find(t, name);
	struct catalog_version *baseline =
	    catalog_find_in_force(t, v->spec.pool);

	if (baseline != NULL && !v->in_force && v->share_permille > 0) {
		baseline->share_permille += v->share_permille;
		baseline->changed_sequence = d->s->sequence + 1;
	}
	namemap_remove(t, name);
}

static void
change_pool(struct catalog_draft *d, const struct spec_pool *pool)
{
	struct spec_pool *old =
	    namemap_find(&d->tables[SPEC_KIND_POOL], pool->name);

	if (old->kind != pool->kind)
		catalog_draft_problem(d, SPEC_KIND_POOL, pool->name, "kind",
		    "can't change; add another pool");
}

static void
put_item(struct catalog_draft *d, const struct spec_change *c)
{
	if (c->kind == SPEC_KIND_BACKEND_SERVER)
		put_server(d, &c->server);
	else if (c->kind == SPEC_KIND_VERSION && c->op == SPEC_OP_ADD)
		add_version(d, &c->version);
	else if (c->kind == SPEC_KIND_VERSION)
		change_version(d, &c->version);
	else if (c->kind == SPEC_KIND_POOL && c->op == SPEC_OP_CHANGE)
		change_pool(d, &c->pool);
	else
		(void)namemap_put(&d->tables[c->kind], &c->data_centre);
}

/// Applies the changes of the note to the draft, one by one; adds what is wrong
/// with each to the draft's problems.
void
catalog_draft_apply_note(struct catalog_draft *d)
{
	for (uint32_t i = 0; i < d->note->n_changes; i++) {
		const struct spec_change *c = &d->note->changes[i];
		const char *key = spec_change_key(c);
		const bool exists =
		    namemap_find(&d->s->tables[c->kind], key) != NULL;

		if (c->op == SPEC_OP_ADD && exists)
			catalog_draft_problem(
			    d, c->kind, key, NULL, "exists already");
		else if (c->op != SPEC_OP_ADD && !exists)
			catalog_draft_problem(
			    d, c->kind, key, NULL, "does not exist");
		else if (c->op != SPEC_OP_WITHDRAW)
			put_item(d, c);
		else if (c->kind == SPEC_KIND_VERSION)
			withdraw_version(d, key);
		else
			namemap_remove(&d->tables[c->kind], key);
	}
}
