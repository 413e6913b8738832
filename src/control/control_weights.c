#include "control/control_internal.h"

#include <jansson.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/// Orders to runners to load and unload weights. Every order carries a
/// fencing number that was committed in this term. Some runners ignore it:
/// for these the first order waits until the orders of an earlier leader
/// have passed their deadlines, the lease is checked right before sending,
/// and the runner is polled for the versions that it has loaded.

#define CONTROL_WEIGHTS_EVERY_US (100 * USEC_PER_MSEC)
#define CONTROL_RUNNER_POLL_US (2 * USEC_PER_SEC)
#define CONTROL_WEIGHTS_DEADLINE_MS 3000
#define CONTROL_WEIGHTS_TIMEOUT_US (120 * USEC_PER_SEC)
#define CONTROL_RUNNER_POLL_TIMEOUT_US (2 * USEC_PER_SEC)
#define CONTROL_MAX_WEIGHT_LOADS 2
/// A surplus version is unloaded after this time, when the requests that it
/// was serving have ended.
#define CONTROL_WEIGHTS_UNLOAD_AFTER_US (120 * USEC_PER_SEC)

/// State of one runner as polled from it.
struct control_runner {
	struct control *control;
	char name[SPEC_NAME_BYTES];
	bool polling;
	bool loaded_known;   ///< `loaded` was polled at least once
	bool order_pending;  ///< an order is in flight
	uint64_t polled_us;  ///< when last polled; 0: poll at once
	uint64_t surplus_us; ///< since when one is to be unloaded; 0: none
	GHashTable *loaded;  ///< names of the loaded versions
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

/// Drops the fencing number, so that the next tick proposes one of the new
/// term. Called when this process becomes the leader.
void
control_weights_reset(struct control *c)
{
	c->fencing_number = 0;
	c->fence_pending = false;
}

static struct control_runner *
runner_get_or_add(struct control *c, const char *name)
{
	struct control_runner *r = g_hash_table_lookup(c->runners, name);

	if (r != NULL)
		return r;
	r = g_new0(struct control_runner, 1);
	r->control = c;
	(void)g_strlcpy(r->name, name, sizeof(r->name));
	r->loaded =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	(void)g_hash_table_insert(c->runners, r->name, r);
	return r;
}

/// Takes the fencing number from the JSON result of the proposal. After a
/// failure the number stays 0 and the next tick proposes again.
static void
on_fence_proposed(
    void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct control *c = arg;
	json_t *o;

	c->fence_pending = false;
	if (status != STATUS_OK)
		return;
	o = json_loadb((const char *)bytes, len, 0, NULL);
	c->fencing_number =
	    (uint64_t)json_integer_value(json_object_get(o, "fence"));
	json_decref(o);
	logger_event(
	    LOGGER_INFO, "orders.fence", "fence=%" PRIu64, c->fencing_number);
}

/// Proposes a fencing number of this term.
static void
propose_fence(struct control *c)
{
	struct catalog_command command = { .kind = CATALOG_CMD_FENCE };
	struct replica_status status;

	replica_status(c->groups[CONTROL_CONFIG_GROUP].replica, &status);
	command.fence.term = status.term;
	c->fence_pending = true;
	control_propose_config(c, &command, on_fence_proposed, c);
}

/// Takes the loaded versions from a runner's `/state`. A failed poll leaves
/// those of the last one.
static void
on_runner_state(void *arg, const struct httpc_result *result)
{
	struct control_runner *r = arg;
	json_t *o = NULL;
	json_t *v;
	size_t i;

	r->polling = false;
	if (result->status == STATUS_OK && result->http_status == 200)
		o = json_loadb(
		    (const char *)result->body, result->len, 0, NULL);
	if (o == NULL)
		return;
	r->loaded_known = true;
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
poll_runner(
    struct control_runner *r, const struct catalog_server *s, uint64_t now_us)
{
	const struct httpc_request call = {
		.method = "GET",
		.host = s->spec.host,
		.port = s->spec.port,
		.path = "/state",
		.timeout_us = CONTROL_RUNNER_POLL_TIMEOUT_US,
		.on_end = on_runner_state,
		.arg = r,
	};

	r->polled_us = now_us;
	r->polling = httpc_send(r->control->http, &call) != HANDLE_NONE;
}

/// Ends an order. `orders.answered` is also logged without a response;
/// http=0: no response head arrived.
static void
on_order_done(void *arg, const struct httpc_result *result)
{
	struct control_runner *r = arg;

	r->order_pending = false;
	r->control->n_weight_loads--;
	// Whatever the response, the runner is polled at once: only what it
	// reports as loaded counts.
	r->polled_us = 0;
	logger_event(LOGGER_INFO, "orders.answered",
	    "server=%s status=%s http=%d", r->name, status_name(result->status),
	    result->http_status);
}

/// Sends a runner the order to load or unload the weights of a version, if this
/// process still leads and holds the lease.
///
/// @param action  "load" or "unload"
static void
send_order(struct control_runner *r, const struct catalog_server *s,
    const char *action, const char *version)
{
	struct control *c = r->control;
	const uint64_t deadline_ms =
	    loop_wall_us() / USEC_PER_MSEC + CONTROL_WEIGHTS_DEADLINE_MS;
	json_t *o = json_pack("{s:I, s:s, s:s, s:I}", "fence",
	    (json_int_t)c->fencing_number, "order", action, "version", version,
	    "deadline_ms", (json_int_t)deadline_ms);
	char *text = json_dumps(o, JSON_COMPACT);
	const struct httpc_request call = {
		.method = "POST",
		.host = s->spec.host,
		.port = s->spec.port,
		.path = "/orders",
		.headers = { { "Content-Type", "application/json" } },
		.body = (const uint8_t *)text,
		.len = strlen(text),
		.timeout_us = CONTROL_WEIGHTS_TIMEOUT_US,
		.new_connection = true,
		.on_end = on_order_done,
		.arg = r,
	};

	if (control_is_leader(c, CONTROL_CONFIG_GROUP) &&
	    httpc_send(c->http, &call) != HANDLE_NONE) {
		r->order_pending = true;
		c->n_weight_loads++;
		logger_event(LOGGER_INFO, "orders.sent",
		    "server=%s order=%s version=%s fence=%" PRIu64, r->name,
		    action, version, c->fencing_number);
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

/// Whether a note gives the server the version; a server without a list of
/// versions has all.
static bool
is_assigned(const struct catalog_server *s, const char *version)
{
	for (uint32_t i = 0; i < s->spec.n_versions; i++) {
		if (strcmp(s->spec.versions[i], version) == 0)
			return true;
	}
	return s->spec.n_versions == 0;
}

/// The version that a runner should load next: of those that it lacks the one
/// whose rollout has the earliest deadline. NULL when it lacks none.
static const struct catalog_version *
next_load(const struct control *c, const struct control_runner *r,
    const struct catalog_server *s)
{
	const struct catalog_version *best = NULL;

	for (uint32_t i = 0; i < s->spec.n_versions; i++) {
		const struct catalog_version *v =
		    catalog_version(c->config, s->spec.versions[i]);

		if (!is_wanted(v) ||
		    g_hash_table_contains(r->loaded, v->spec.name))
			continue;
		if (best == NULL ||
		    v->spec.complete_by_s < best->spec.complete_by_s)
			best = v;
	}
	return best;
}

/// A version that a runner has loaded and that gets no more requests there, or
/// NULL.
static const char *
next_unload(const struct control *c, const struct control_runner *r,
    const struct catalog_server *s)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, r->loaded);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct catalog_version *v =
		    catalog_version(c->config, key);

		if (v != NULL && (!is_wanted(v) || !is_assigned(s, key)))
			return key;
	}
	return NULL;
}

static void
update_runner(
    struct control_runner *r, const struct catalog_server *s, uint64_t now_us)
{
	struct control *c = r->control;
	const struct catalog_version *load;
	const char *unload;

	if (!r->polling && now_us >= r->polled_us + CONTROL_RUNNER_POLL_US)
		poll_runner(r, s, now_us);
	if (!r->loaded_known || r->polling || r->order_pending ||
	    c->n_weight_loads >= CONTROL_MAX_WEIGHT_LOADS)
		return;
	load = next_load(c, r, s);
	unload = next_unload(c, r, s);
	if (load != NULL)
		send_order(r, s, "load", load->spec.name);
	else if (unload != NULL && r->surplus_us == 0)
		r->surplus_us = now_us;
	else if (unload != NULL &&
	    now_us >= r->surplus_us + CONTROL_WEIGHTS_UNLOAD_AFTER_US)
		send_order(r, s, "unload", unload);
	else if (unload == NULL)
		r->surplus_us = 0;
}

/// Whether a server has a version loaded, by its own report. Until it has been
/// polled, the versions that its note lists count as loaded.
bool
control_weights_loaded(const struct control *c, const struct catalog_server *s,
    const char *version)
{
	const struct control_runner *r =
	    g_hash_table_lookup(c->runners, s->spec.name);

	if (!is_assigned(s, version))
		return false;
	if (r == NULL || !r->loaded_known)
		return true;
	return g_hash_table_contains(r->loaded, version);
}

/// Polls the runners and orders them to load and unload versions as the
/// configuration requires (leader only).
void
control_weights_tick(struct control *c, uint64_t now_us)
{
	const uint64_t quiet_us = c->settings.config_lease_ms * USEC_PER_MSEC +
	    CONTROL_WEIGHTS_DEADLINE_MS * USEC_PER_MSEC;
	size_t n;
	const struct catalog_server *s = catalog_servers(c->config, &n);

	if (now_us < c->next_weights_us)
		return;
	c->next_weights_us = now_us + CONTROL_WEIGHTS_EVERY_US;
	if (c->fencing_number == 0) {
		if (!c->fence_pending)
			propose_fence(c);
		return;
	}
	for (size_t i = 0; i < n; i++) {
		const struct spec_pool *pool =
		    catalog_pool(c->config, s[i].spec.pool);

		if (pool == NULL || pool->kind != SPEC_SERVER_RUNNER ||
		    s[i].draining)
			continue;
		if (!s[i].spec.fenced && now_us < c->leader_since_us + quiet_us)
			continue;
		update_runner(
		    runner_get_or_add(c, s[i].spec.name), &s[i], now_us);
	}
}
