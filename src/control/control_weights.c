#include "control/control_internal.h"

#include <jansson.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/// Orders to runners to load and unload weights. Every order carries a
/// fencing number that was committed in this term. Some runners ignore it:
/// for these the first order waits until the orders of an earlier leader
/// have passed their deadlines, the lease is checked right before sending,
/// and what a runner holds is read back.

#define CONTROL_ORDERS_EVERY_US (100 * USEC_PER_MSEC)
#define CONTROL_READ_EVERY_US (2 * USEC_PER_SEC)
#define CONTROL_ORDER_DEADLINE_MS 3000
#define CONTROL_ORDER_TIMEOUT_US (120 * USEC_PER_SEC)
#define CONTROL_READ_TIMEOUT_US (2 * USEC_PER_SEC)
#define CONTROL_MAX_LOADS 2
/// Requests that a version had begun have ended after so long.
#define CONTROL_UNLOAD_AFTER_US (120 * USEC_PER_SEC)

/// What is known of one runner.
struct control_runner {
	struct control *co;
	char name[SPEC_NAME_BYTES];
	bool reading;
	bool known;   ///< it told what it holds
	bool ordered; ///< an order is under way
	uint64_t read_us;
	uint64_t surplus_us; ///< since when it holds something unwanted
	GHashTable *loaded;  ///< names of versions
};

static void
runner_free(gpointer p)
{
	struct control_runner *r = p;

	g_hash_table_destroy(r->loaded);
	g_free(r);
}

/// Makes the table of runners.
void
control_weights_start(struct control *c)
{
	c->runners =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, runner_free);
}

/// Called when this process becomes the leader or stops to be it.
void
control_weights_reset(struct control *c)
{
	c->fence = 0;
	c->fencing = false;
}

static struct control_runner *
runner_of(struct control *c, const char *name)
{
	struct control_runner *r = g_hash_table_lookup(c->runners, name);

	if (r != NULL)
		return r;
	r = g_new0(struct control_runner, 1);
	r->co = c;
	(void)g_strlcpy(r->name, name, sizeof(r->name));
	r->loaded =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	(void)g_hash_table_insert(c->runners, r->name, r);
	return r;
}

static void
on_fence(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct control *c = arg;
	json_t *o;

	c->fencing = false;
	if (status != STATUS_OK)
		return;
	o = json_loadb((const char *)bytes, len, 0, NULL);
	c->fence = (uint64_t)json_integer_value(json_object_get(o, "fence"));
	json_decref(o);
	logger_event(LOGGER_INFO, "orders.fence", "fence=%" PRIu64, c->fence);
}

/// Takes a fencing number of this term.
static void
take_fence(struct control *c)
{
	struct catalog_command command = { .kind = CATALOG_CMD_FENCE };
	struct replica_status status;

	replica_status(c->groups[CONTROL_CONFIG_GROUP].replica, &status);
	command.fence.term = status.term;
	c->fencing = true;
	control_propose_config(c, &command, on_fence, c);
}

static void
on_read(void *arg, const struct httpc_result *result)
{
	struct control_runner *r = arg;
	json_t *o = NULL;
	json_t *v;
	size_t i;

	r->reading = false;
	if (result->status == STATUS_OK && result->http_status == 200)
		o = json_loadb(
		    (const char *)result->body, result->len, 0, NULL);
	if (o == NULL)
		return;
	r->known = true;
	g_hash_table_remove_all(r->loaded);
	json_array_foreach(json_object_get(o, "versions"), i, v)
	{
		const char *name =
		    json_string_value(json_object_get(v, "name"));

		if (name != NULL && json_is_true(json_object_get(v, "loaded")))
			(void)g_hash_table_add(r->loaded, g_strdup(name));
	}
	json_decref(o);
}

static void
read_runner(
    struct control_runner *r, const struct catalog_server *s, uint64_t now_us)
{
	const struct httpc_request call = {
		.method = "GET",
		.host = s->conf.host,
		.port = s->conf.port,
		.path = "/state",
		.timeout_us = CONTROL_READ_TIMEOUT_US,
		.on_end = on_read,
		.arg = r,
	};

	r->read_us = now_us;
	r->reading = httpc_send(r->co->http, &call) != HANDLE_NONE;
}

static void
on_ordered(void *arg, const struct httpc_result *result)
{
	struct control_runner *r = arg;

	r->ordered = false;
	r->co->n_loads--;
	// Whatever was answered: what counts is what it says that it holds.
	r->read_us = 0;
	logger_event(LOGGER_INFO, "orders.answered",
	    "server=%s status=%s http=%d", r->name, status_name(result->status),
	    result->http_status);
}

/// Sends an order, if this process still leads at this moment.
static void
order(struct control_runner *r, const struct catalog_server *s,
    const char *what, const char *version)
{
	struct control *c = r->co;
	const uint64_t deadline_ms =
	    loop_wall_us() / USEC_PER_MSEC + CONTROL_ORDER_DEADLINE_MS;
	json_t *o = json_pack("{s:I, s:s, s:s, s:I}", "fence",
	    (json_int_t)c->fence, "order", what, "version", version,
	    "deadline_ms", (json_int_t)deadline_ms);
	char *text = json_dumps(o, JSON_COMPACT);
	const struct httpc_request call = {
		.method = "POST",
		.host = s->conf.host,
		.port = s->conf.port,
		.path = "/orders",
		.headers = { { "Content-Type", "application/json" } },
		.body = (const uint8_t *)text,
		.len = strlen(text),
		.timeout_us = CONTROL_ORDER_TIMEOUT_US,
		.fresh = true,
		.on_end = on_ordered,
		.arg = r,
	};

	if (control_is_leader(c, CONTROL_CONFIG_GROUP) &&
	    httpc_send(c->http, &call) != HANDLE_NONE) {
		r->ordered = true;
		c->n_loads++;
		logger_event(LOGGER_INFO, "orders.sent",
		    "server=%s order=%s version=%s fence=%" PRIu64, r->name,
		    what, version, c->fence);
	}
	free(text);
	json_decref(o);
}

static bool
is_wanted(const struct catalog_version *v)
{
	return v != NULL && v->phase != CATALOG_PHASE_ROLLED_BACK &&
	    v->phase != CATALOG_PHASE_WITHDRAWN;
}

static bool
names_version(const struct catalog_server *s, const char *version)
{
	for (uint32_t i = 0; i < s->conf.n_versions; i++) {
		if (strcmp(s->conf.versions[i], version) == 0)
			return true;
	}
	return s->conf.n_versions == 0;
}

/// The version that a runner should load next: the one whose traffic must
/// have moved the earliest; NULL when it has all.
static const struct catalog_version *
missing(const struct control *c, const struct control_runner *r,
    const struct catalog_server *s)
{
	const struct catalog_version *best = NULL;

	for (uint32_t i = 0; i < s->conf.n_versions; i++) {
		const struct catalog_version *v =
		    catalog_version(c->config, s->conf.versions[i]);

		if (!is_wanted(v) ||
		    g_hash_table_contains(r->loaded, v->conf.name))
			continue;
		if (best == NULL ||
		    v->conf.complete_by_s < best->conf.complete_by_s)
			best = v;
	}
	return best;
}

/// A version that a runner holds and nobody will ask for again, or NULL.
static const char *
surplus(const struct control *c, const struct control_runner *r,
    const struct catalog_server *s)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, r->loaded);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct catalog_version *v =
		    catalog_version(c->config, key);

		if (v != NULL && (!is_wanted(v) || !names_version(s, key)))
			return key;
	}
	return NULL;
}

static void
tend(struct control_runner *r, const struct catalog_server *s, uint64_t now_us)
{
	struct control *c = r->co;
	const struct catalog_version *load;
	const char *unload;

	if (!r->reading && now_us >= r->read_us + CONTROL_READ_EVERY_US)
		read_runner(r, s, now_us);
	if (!r->known || r->reading || r->ordered ||
	    c->n_loads >= CONTROL_MAX_LOADS)
		return;
	load = missing(c, r, s);
	unload = surplus(c, r, s);
	if (load != NULL)
		order(r, s, "load", load->conf.name);
	else if (unload != NULL && r->surplus_us == 0)
		r->surplus_us = now_us;
	else if (unload != NULL &&
	    now_us >= r->surplus_us + CONTROL_UNLOAD_AFTER_US)
		order(r, s, "unload", unload);
	else if (unload == NULL)
		r->surplus_us = 0;
}

/// Whether a server holds a version, as it says itself; what it hasn't told
/// yet counts as the note states it.
bool
control_weights_loaded(const struct control *c, const struct catalog_server *s,
    const char *version)
{
	const struct control_runner *r =
	    g_hash_table_lookup(c->runners, s->conf.name);

	if (!names_version(s, version))
		return false;
	if (r == NULL || !r->known)
		return true;
	return g_hash_table_contains(r->loaded, version);
}

/// Brings what runners hold in line with the configuration (leader only).
void
control_weights_tick(struct control *c, uint64_t now_us)
{
	const uint64_t quiet_us = c->settings.config_lease_ms * USEC_PER_MSEC +
	    CONTROL_ORDER_DEADLINE_MS * USEC_PER_MSEC;
	size_t n;
	const struct catalog_server *s = catalog_servers(c->config, &n);

	if (now_us < c->next_weights_us)
		return;
	c->next_weights_us = now_us + CONTROL_ORDERS_EVERY_US;
	if (c->fence == 0) {
		if (!c->fencing)
			take_fence(c);
		return;
	}
	for (size_t i = 0; i < n; i++) {
		const struct spec_pool *pool =
		    catalog_pool(c->config, s[i].conf.pool);

		if (pool == NULL || pool->kind != SPEC_SERVER_RUNNER ||
		    s[i].draining)
			continue;
		if (!s[i].conf.fenced && now_us < c->ready_since_us + quiet_us)
			continue;
		tend(runner_of(c, s[i].conf.name), &s[i], now_us);
	}
}
