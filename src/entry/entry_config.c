#include "entry/entry_internal.h"

#include <string.h>

/// One-way network delay: within a data centre, between data centres of a
/// region, and between regions.
#define ENTRY_DISTANCE_SAME_US 100
#define ENTRY_DISTANCE_REGION_US 500
#define ENTRY_DISTANCE_FAR_US 15000

static void
intern_name(struct entry *e, const char *name)
{
	const uint64_t key = rollout_key(name);
	uint64_t *copy;

	if (g_hash_table_contains(e->version_names, &key))
		return;
	copy = g_new(uint64_t, 1);
	*copy = key;
	(void)g_hash_table_insert(e->version_names, copy, g_strdup(name));
}

/// Name of a version by its rollout_key(), or NULL. Owned by the entry.
const char *
entry_version_name(const struct entry *e, uint64_t key)
{
	return g_hash_table_lookup(e->version_names, &key);
}

static void
on_pool_wake(void *arg, uint64_t now_us)
{
	(void)now_us;
	req_admission_wake(arg);
}

/// Pool of this name, made on first use and owned by the entry.
struct entry_pool *
entry_pool(struct entry *e, const char *name)
{
	struct entry_pool *pool = g_hash_table_lookup(e->pools, name);

	if (pool != NULL)
		return pool;
	pool = g_new0(struct entry_pool, 1);
	pool->entry = e;
	(void)g_strlcpy(pool->name, name, sizeof(pool->name));
	pool->admission = admit_new(&admit_defaults);
	pool->wake = timerq_timer_new(loop_timers(e->loop), on_pool_wake, pool);
	(void)g_hash_table_insert(e->pools, pool->name, pool);
	return pool;
}

static void
apply_data_centres(struct entry *e)
{
	const struct spec_data_centre *own_centre;
	size_t n;
	const struct spec_data_centre *d = catalog_data_centres(e->config, &n);

	own_centre = catalog_data_centre(e->config, e->settings.data_centre);
	for (size_t i = 0; i < n; i++) {
		uint64_t distance_us = ENTRY_DISTANCE_FAR_US;

		if (strcmp(d[i].name, e->settings.data_centre) == 0)
			distance_us = ENTRY_DISTANCE_SAME_US;
		else if (own_centre != NULL &&
		    strcmp(d[i].region, own_centre->region) == 0)
			distance_us = ENTRY_DISTANCE_REGION_US;
		balancer_set_data_centre(
		    e->router, d[i].name, distance_us, d[i].reclaiming);
	}
}

static enum balancer_drain_source
source_of(enum catalog_source source)
{
	switch (source) {
	case CATALOG_SOURCE_NOTICE:
		return BALANCER_BY_NOTICE;
	case CATALOG_SOURCE_VM_LIST:
		return BALANCER_BY_LIST;
	case CATALOG_SOURCE_SERVER:
		return BALANCER_BY_SERVER;
	case CATALOG_SOURCE_NOTE:
		return BALANCER_BY_NOTE;
	}
	return BALANCER_BY_NOTE;
}

/// Given to a server that has no version loaded. No version has this name.
#define ENTRY_NO_VERSION "-"

/// Whether a server has a version loaded. Until it has been polled, all the
/// versions that its note lists count as loaded.
static bool
is_loaded(const struct entry_poller *p, const char *version)
{
	if (p == NULL || !p->loaded_known)
		return true;
	for (uint32_t i = 0; i < p->n_versions; i++) {
		if (strcmp(p->versions[i], version) == 0)
			return true;
	}
	return false;
}

/// Sets the versions of a server: those that its note lists and that it has
/// loaded.
static void
set_versions(struct balancer_server_conf *out, const struct catalog_server *s,
    const struct entry_poller *p)
{
	for (uint32_t i = 0; i < s->spec.n_versions; i++) {
		if (is_loaded(p, s->spec.versions[i]))
			(void)g_strlcpy(out->versions[out->n_versions++],
			    s->spec.versions[i], BALANCER_NAME_BYTES);
	}
	if (s->spec.n_versions > 0 && out->n_versions == 0)
		(void)g_strlcpy(out->versions[out->n_versions++],
		    ENTRY_NO_VERSION, BALANCER_NAME_BYTES);
}

/// Updates a server in the balancer from the configuration and its polls, and
/// makes its poller if there is none.
void
entry_config_server(struct entry *e, const struct catalog_server *s)
{
	const struct spec_pool *pool = catalog_pool(e->config, s->spec.pool);
	struct balancer_server_conf server = {
		.kind = BALANCER_SERVICE,
		.incarnation = s->incarnation,
	};
	struct entry_poller *p = g_hash_table_lookup(e->pollers, s->spec.name);
	handle_t handle;

	if (pool != NULL && pool->kind == SPEC_SERVER_RUNNER)
		server.kind = BALANCER_RUNNER;
	(void)g_strlcpy(server.name, s->spec.name, sizeof(server.name));
	(void)g_strlcpy(server.pool, s->spec.pool, sizeof(server.pool));
	(void)g_strlcpy(server.data_centre, s->spec.data_centre,
	    sizeof(server.data_centre));
	set_versions(&server, s, p);
	handle = balancer_set_server(e->router, loop_now_us(e->loop), &server);
	if (s->draining)
		balancer_set_draining(e->router, loop_now_us(e->loop), handle,
		    source_of(s->source));
	if (p == NULL) {
		p = g_new0(struct entry_poller, 1);
		p->entry = e;
		(void)g_strlcpy(p->name, s->spec.name, sizeof(p->name));
		(void)g_hash_table_insert(e->pollers, p->name, p);
	}
	p->server = handle;
	p->in_subset = true;
}

/// Most servers of a pool that one entry uses: a stable subset by the names,
/// so that what an entry polls doesn't grow with the fleet.
#define ENTRY_MAX_SERVERS_PER_POOL 64

/// For g_hash_table_foreach_remove(): removes a server from the balancer if it
/// is no longer in this entry's subset or in the configuration.
static gboolean
drop_if_unused(gpointer key, gpointer value, gpointer arg)
{
	struct entry *e = arg;
	const struct entry_poller *p = value;

	if (catalog_server(e->config, key) != NULL && p->in_subset)
		return FALSE;
	balancer_remove_server(e->router, p->server);
	// A poll in flight still refers to the poller; it is removed by a later
	// configuration.
	return !p->polling_load && !p->polling_cache;
}

static gboolean
clear_in_subset(gpointer key, gpointer value, gpointer arg)
{
	struct entry_poller *p = value;

	(void)key;
	(void)arg;
	p->in_subset = false;
	return FALSE;
}

/// Applies the servers of one pool that are in this entry's subset.
static void
apply_pool_servers(struct entry *e, const char *pool)
{
	const char **names;
	const struct catalog_server **of_pool;
	size_t picked[ENTRY_MAX_SERVERS_PER_POOL];
	size_t n;
	size_t n_pool = 0;
	size_t n_picked;
	const struct catalog_server *s = catalog_servers(e->config, &n);

	names = g_new(const char *, n + 1);
	of_pool = g_new(const struct catalog_server *, n + 1);
	for (size_t i = 0; i < n; i++) {
		if (strcmp(s[i].spec.pool, pool) != 0)
			continue;
		of_pool[n_pool] = &s[i];
		names[n_pool++] = s[i].spec.name;
	}
	n_picked = balancer_subset(e->settings.node, names, n_pool,
	    ENTRY_MAX_SERVERS_PER_POOL, picked);
	for (size_t i = 0; i < n_picked; i++)
		entry_config_server(e, of_pool[picked[i]]);
	g_free(names);
	g_free(of_pool);
}

static void
apply_servers(struct entry *e)
{
	size_t n;
	const struct spec_pool *pools = catalog_pools(e->config, &n);

	(void)g_hash_table_foreach_remove(e->pollers, clear_in_subset, NULL);
	for (size_t i = 0; i < n; i++)
		apply_pool_servers(e, pools[i].name);
	(void)g_hash_table_foreach_remove(e->pollers, drop_if_unused, e);
}

/// While the version in force has all requests, adds the version before it with
/// a share of 0: as the baseline that it is compared with, and that gets the
/// requests if this entry stops the version in force.
static void
add_baseline(struct entry *e, const struct catalog_version *in_force,
    struct rollout_split *split)
{
	const struct catalog_version *previous;

	if (in_force == NULL || in_force->previous[0] == '\0' || split->n != 1)
		return;
	previous = catalog_version(e->config, in_force->previous);
	if (previous == NULL || previous->phase != CATALOG_PHASE_DONE)
		return;
	split->baseline = rollout_key(previous->spec.name);
	split->shares[split->n++].version = split->baseline;
}

static void
apply_pool(struct entry *e, const struct spec_pool *pool)
{
	const struct catalog_version *in_force = NULL;
	struct rollout_split split = {
		.pool = rollout_key(pool->name),
		.sequence = catalog_sequence(e->config),
	};
	size_t n;
	const struct catalog_version *v = catalog_versions(e->config, &n);

	for (size_t i = 0; i < n && split.n < ROLLOUT_MAX_VERSIONS; i++) {
		if (strcmp(v[i].spec.pool, pool->name) != 0)
			continue;
		intern_name(e, v[i].spec.name);
		if (v[i].in_force) {
			in_force = &v[i];
			split.baseline = rollout_key(v[i].spec.name);
		}
		if (v[i].share_permille == 0)
			continue;
		split.shares[split.n].version = rollout_key(v[i].spec.name);
		split.shares[split.n].permille = v[i].share_permille;
		split.n++;
	}
	add_baseline(e, in_force, &split);
	(void)entry_pool(e, pool->name);
	if (split.n > 0)
		rollout_entry_set_split(e->versions, &split);
}

static void
apply_pools(struct entry *e)
{
	size_t n;
	const struct spec_pool *pools = catalog_pools(e->config, &n);

	for (size_t i = 0; i < n; i++)
		apply_pool(e, &pools[i]);
}

static void
apply_customers(struct entry *e)
{
	GHashTableIter it;
	gpointer value;
	size_t n;
	const struct spec_customer *c = catalog_customers(e->config, &n);

	g_hash_table_iter_init(&it, e->pools);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct entry_pool *pool = value;

		for (size_t i = 0; i < n; i++)
			admit_set_customer(
			    pool->admission, c[i].name, c[i].weight);
	}
}

/// Applies the current configuration to routing, admission and versions.
void
entry_config_apply(struct entry *e)
{
	apply_data_centres(e);
	apply_servers(e);
	apply_pools(e);
	apply_customers(e);
	logger_event(LOGGER_INFO, "config.in_force",
	    "revision=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT,
	    catalog_revision(e->config), catalog_sequence(e->config));
}
