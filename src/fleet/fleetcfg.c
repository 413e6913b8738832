#include "fleet/fleetcfg.h"

#include <glib.h>
#include <string.h>

#define FLEETCFG_DEFAULT_HEADER_BYTES 16384
#define FLEETCFG_DEFAULT_BODY_BYTES (4U << 20)
#define FLEETCFG_DEFAULT_HEADER_MS 3000
#define FLEETCFG_DEFAULT_IDLE_MS 15000

struct fleetcfg {
	gint refs;
	uint64_t version;
	bool requires_keys;
	struct fleetcfg_limits limits;
	GPtrArray *services;
	GPtrArray *routes;
	GPtrArray *customers;
	GHashTable *by_service; ///< name -> index + 1
	GHashTable *by_host;    ///< host -> GPtrArray of routes
	GHashTable *by_key;     ///< API key -> struct fleetcfg_customer
	GHashTable *by_name;    ///< customer -> struct fleetcfg_customer
};

static void
route_free(gpointer p)
{
	struct fleetcfg_route *r = p;

	g_free(r->host);
	g_free(r->prefix);
	g_free(r->regions);
	g_free(r->splits);
	g_free(r);
}

static void
customer_free(gpointer p)
{
	struct fleetcfg_customer *u = p;

	for (uint32_t i = 0; i < u->n_keys; i++)
		g_free(u->keys[i]);
	g_free(u->keys);
	g_free(u->regions);
	g_free(u);
}

static void
routes_of_host_free(gpointer p)
{
	g_ptr_array_unref(p);
}

/// Makes an empty configuration with default limits. The caller owns the first
/// reference.
struct fleetcfg *
fleetcfg_new(uint64_t version)
{
	struct fleetcfg *c = g_new0(struct fleetcfg, 1);

	c->refs = 1;
	c->version = version;
	c->limits.max_header_bytes = FLEETCFG_DEFAULT_HEADER_BYTES;
	c->limits.max_body_bytes = FLEETCFG_DEFAULT_BODY_BYTES;
	c->limits.header_timeout_ms = FLEETCFG_DEFAULT_HEADER_MS;
	c->limits.idle_timeout_ms = FLEETCFG_DEFAULT_IDLE_MS;
	c->services = g_ptr_array_new_with_free_func(g_free);
	c->routes = g_ptr_array_new_with_free_func(route_free);
	c->customers = g_ptr_array_new_with_free_func(customer_free);
	c->by_service = g_hash_table_new(g_str_hash, g_str_equal);
	c->by_host = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, routes_of_host_free);
	c->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	c->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return c;
}

/// Takes another reference; NULL is allowed.
struct fleetcfg *
fleetcfg_ref(struct fleetcfg *c)
{
	if (c != NULL)
		c->refs++;
	return c;
}

/// Drops a reference and frees the configuration with the last one; NULL is
/// allowed.
void
fleetcfg_unref(struct fleetcfg *c)
{
	if (c == NULL || --c->refs > 0)
		return;
	g_hash_table_destroy(c->by_key);
	g_hash_table_destroy(c->by_name);
	g_hash_table_destroy(c->by_host);
	g_hash_table_destroy(c->by_service);
	g_ptr_array_unref(c->customers);
	g_ptr_array_unref(c->routes);
	g_ptr_array_unref(c->services);
	g_free(c);
}

/// Adds a service.
///
/// @return the service to be filled in; NULL when the name is taken, empty or
///         too long
struct fleetcfg_service *
fleetcfg_add_service(struct fleetcfg *c, const char *name)
{
	struct fleetcfg_service *s;

	if (name[0] == '\0' || strlen(name) >= FLEETCFG_NAME_BYTES) {
		(void)status_fail(
		    STATUS_INVALID, "service name '%.80s' is unfit", name);
		return NULL;
	}
	if (fleetcfg_find_service(c, name) >= 0) {
		(void)status_fail(
		    STATUS_INVALID, "service '%s' stands twice", name);
		return NULL;
	}
	s = g_new0(struct fleetcfg_service, 1);
	(void)g_strlcpy(s->name, name, sizeof(s->name));
	g_ptr_array_add(c->services, s);
	(void)g_hash_table_insert(
	    c->by_service, s->name, GUINT_TO_POINTER(c->services->len));
	return s;
}

/// Adds a route.
///
/// @param prefix  of the path; begins and ends with a slash
/// @return the route to be filled in; NULL when the prefix is malformed or a
///         route has the same host and prefix
struct fleetcfg_route *
fleetcfg_add_route(struct fleetcfg *c, const char *host, const char *prefix)
{
	GPtrArray *host_routes = g_hash_table_lookup(c->by_host, host);
	const size_t len = strlen(prefix);
	struct fleetcfg_route *r;

	if (len == 0 || prefix[0] != '/' || prefix[len - 1] != '/') {
		(void)status_fail(STATUS_INVALID,
		    "prefix '%.80s' doesn't begin and end with a slash",
		    prefix);
		return NULL;
	}
	if (host_routes == NULL) {
		host_routes = g_ptr_array_new();
		(void)g_hash_table_insert(
		    c->by_host, g_strdup(host), host_routes);
	}
	for (guint i = 0; i < host_routes->len; i++) {
		const struct fleetcfg_route *o =
		    g_ptr_array_index(host_routes, i);

		if (strcmp(o->prefix, prefix) != 0)
			continue;
		(void)status_fail(STATUS_INVALID,
		    "routes '%s' share host and prefix", o->name);
		return NULL;
	}
	r = g_new0(struct fleetcfg_route, 1);
	r->host = g_strdup(host);
	r->prefix = g_strdup(prefix);
	g_ptr_array_add(c->routes, r);
	g_ptr_array_add(host_routes, r);
	return r;
}

/// Sends a share of a route's requests to a service.
///
/// @param weight  the share, relative to the sum of the route's weights
/// @return STATUS_INVALID when there is no such service
enum status
fleetcfg_add_split(struct fleetcfg *c, struct fleetcfg_route *r,
    const char *service, uint32_t weight)
{
	const int i = fleetcfg_find_service(c, service);

	if (i < 0)
		return status_fail(STATUS_INVALID,
		    "route '%s' names no service: '%s'", r->name, service);
	r->splits = g_renew(struct fleetcfg_split, r->splits, r->n_splits + 1);
	r->splits[r->n_splits].service = (uint32_t)i;
	r->splits[r->n_splits].weight = weight;
	r->n_splits++;
	return STATUS_OK;
}

/// Requires an API key of a customer for all routes that aren't public. Without
/// customers no request has one.
void
fleetcfg_require_keys(struct fleetcfg *c)
{
	c->requires_keys = true;
}

/// Adds a customer, and requires API keys.
///
/// @return the customer to be filled in; NULL when the name is taken, empty or
///         too long
struct fleetcfg_customer *
fleetcfg_add_customer(struct fleetcfg *c, const char *name)
{
	struct fleetcfg_customer *u;

	if (name[0] == '\0' || strlen(name) >= FLEETCFG_NAME_BYTES ||
	    fleetcfg_find_customer(c, name) != NULL) {
		(void)status_fail(
		    STATUS_INVALID, "customer '%.80s': unfit or twice", name);
		return NULL;
	}
	fleetcfg_require_keys(c);
	u = g_new0(struct fleetcfg_customer, 1);
	(void)g_strlcpy(u->name, name, sizeof(u->name));
	g_ptr_array_add(c->customers, u);
	(void)g_hash_table_insert(c->by_name, u->name, u);
	return u;
}

/// Adds an API key to a customer.
///
/// @return STATUS_INVALID when the key is in use already
enum status
fleetcfg_add_key(
    struct fleetcfg *c, struct fleetcfg_customer *u, const char *key)
{
	if (g_hash_table_contains(c->by_key, key))
		return status_fail(STATUS_INVALID, "customers share a key");
	u->keys = g_renew(char *, u->keys, u->n_keys + 1);
	u->keys[u->n_keys] = g_strdup(key);
	(void)g_hash_table_insert(c->by_key, u->keys[u->n_keys], u);
	u->n_keys++;
	return STATUS_OK;
}

/// Restricts a route or a customer to the regions added later; until then it
/// allows none.
///
/// @param regions  of the route or customer; the first call makes them
void
fleetcfg_restrict_regions(struct fleetcfg_regions **regions)
{
	if (*regions == NULL)
		*regions = g_new0(struct fleetcfg_regions, 1);
}

/// Adds a region to those that a route or a customer allows; a repeated one
/// changes nothing.
///
/// @param regions  of the route or customer; the first call makes them
/// @return STATUS_OK, or STATUS_INVALID when the name is empty or too long, or
///         there are too many
enum status
fleetcfg_add_region(struct fleetcfg_regions **regions, const char *name)
{
	struct fleetcfg_regions *r;

	if (name[0] == '\0' || strlen(name) >= FLEETCFG_NAME_BYTES)
		return status_fail(
		    STATUS_INVALID, "region name '%.80s' is unfit", name);
	fleetcfg_restrict_regions(regions);
	r = *regions;
	for (uint32_t i = 0; i < r->n; i++) {
		if (strcmp(r->names[i], name) == 0)
			return STATUS_OK;
	}
	if (r->n == FLEETCFG_MAX_REGIONS)
		return status_fail(STATUS_INVALID, "too many regions");
	(void)g_strlcpy(r->names[r->n++], name, FLEETCFG_NAME_BYTES);
	return STATUS_OK;
}

static bool
names_region(const struct fleetcfg_regions *r, const char *region)
{
	if (r == NULL)
		return true;
	for (uint32_t i = 0; i < r->n; i++) {
		if (strcmp(r->names[i], region) == 0)
			return true;
	}
	return false;
}

/// Whether a request may run in a region: both its route and its customer must
/// allow it.
///
/// @param u  NULL: the request has no customer
bool
fleetcfg_allows_region(const struct fleetcfg_route *r,
    const struct fleetcfg_customer *u, const char *region)
{
	return names_region(r->regions, region) &&
	    (u == NULL || names_region(u->regions, region));
}

/// Limits on what callers may send, to be filled in.
struct fleetcfg_limits *
fleetcfg_limits(struct fleetcfg *c)
{
	return &c->limits;
}

static gint
compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct fleetcfg_route *x = *(struct fleetcfg_route *const *)a;
	const struct fleetcfg_route *y = *(struct fleetcfg_route *const *)b;
	const size_t n = strlen(x->prefix);
	const size_t m = strlen(y->prefix);

	return n > m ? -1 : (n < m ? 1 : 0);
}

static enum status
check_route(const struct fleetcfg_route *r)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < r->n_splits; i++)
		sum += r->splits[i].weight;
	if (sum == 0)
		return status_fail(STATUS_INVALID,
		    "route '%s': no service has a weight", r->name);
	if (r->timeout_ms == 0)
		return status_fail(
		    STATUS_INVALID, "route '%s': time-out 0", r->name);
	return STATUS_OK;
}

/// Checks the finished configuration and sorts its routes for
/// fleetcfg_match_route().
///
/// @return STATUS_INVALID when a route has no weight or no timeout
enum status
fleetcfg_validate(struct fleetcfg *c)
{
	GHashTableIter it;
	gpointer routes;

	for (guint i = 0; i < c->routes->len; i++) {
		const enum status st =
		    check_route(g_ptr_array_index(c->routes, i));

		if (st != STATUS_OK)
			return st;
	}
	g_hash_table_iter_init(&it, c->by_host);
	while (g_hash_table_iter_next(&it, NULL, &routes))
		g_ptr_array_sort(routes, compare_prefix_length);
	return STATUS_OK;
}

/// The operator's version number.
uint64_t
fleetcfg_version(const struct fleetcfg *c)
{
	return c->version;
}

/// Number of services.
size_t
fleetcfg_n_services(const struct fleetcfg *c)
{
	return c->services->len;
}

/// A service by its index.
const struct fleetcfg_service *
fleetcfg_service(const struct fleetcfg *c, size_t i)
{
	return g_ptr_array_index(c->services, i);
}

/// Index of a service, or -1.
int
fleetcfg_find_service(const struct fleetcfg *c, const char *name)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(c->by_service, name)) - 1;
}

/// Number of routes.
size_t
fleetcfg_n_routes(const struct fleetcfg *c)
{
	return c->routes->len;
}

/// A route by its index.
const struct fleetcfg_route *
fleetcfg_route(const struct fleetcfg *c, size_t i)
{
	return g_ptr_array_index(c->routes, i);
}

/// Whether requests carry API keys of customers. If not, their Authorization
/// header is meant for the backend servers.
bool
fleetcfg_has_keys(const struct fleetcfg *c)
{
	return c->requires_keys;
}

/// Whether a request of a route must carry the API key of a customer.
bool
fleetcfg_requires_key(const struct fleetcfg *c, const struct fleetcfg_route *r)
{
	return c->requires_keys && !r->no_auth;
}

/// Number of customers. Without any, keys may still be required, see
/// fleetcfg_requires_key().
size_t
fleetcfg_n_customers(const struct fleetcfg *c)
{
	return c->customers->len;
}

/// A customer by its index.
const struct fleetcfg_customer *
fleetcfg_customer(const struct fleetcfg *c, size_t i)
{
	return g_ptr_array_index(c->customers, i);
}

/// The route of a request: the longest prefix of its path among the routes of
/// its host.
///
/// @param path  without the query
/// @return NULL when there is none
const struct fleetcfg_route *
fleetcfg_match_route(
    const struct fleetcfg *c, const char *host, const char *path)
{
	const GPtrArray *host_routes = g_hash_table_lookup(c->by_host, host);

	for (guint i = 0; host_routes != NULL && i < host_routes->len; i++) {
		const struct fleetcfg_route *r =
		    g_ptr_array_index(host_routes, i);

		if (g_str_has_prefix(path, r->prefix))
			return r;
	}
	return NULL;
}

/// The customer that holds an API key, or NULL.
const struct fleetcfg_customer *
fleetcfg_customer_by_key(const struct fleetcfg *c, const char *key)
{
	return g_hash_table_lookup(c->by_key, key);
}

/// A customer by its name, or NULL.
const struct fleetcfg_customer *
fleetcfg_find_customer(const struct fleetcfg *c, const char *name)
{
	return g_hash_table_lookup(c->by_name, name);
}

/// Chooses the service of a request by the weights of its route.
///
/// @param hash  of the request, uniformly distributed
/// @return index of the service
uint32_t
fleetcfg_pick_service(const struct fleetcfg_route *r, uint64_t hash)
{
	uint64_t sum = 0;
	uint64_t at;

	for (uint32_t i = 0; i < r->n_splits; i++)
		sum += r->splits[i].weight;
	g_assert(sum > 0);
	at = hash % sum;
	for (uint32_t i = 0; i < r->n_splits; i++) {
		if (at < r->splits[i].weight)
			return r->splits[i].service;
		at -= r->splits[i].weight;
	}
	g_assert_not_reached();
}

/// Whether a request of a route may run more than once.
bool
fleetcfg_is_retryable(const struct fleetcfg_route *r)
{
	return r->kind == FLEETCFG_IDEMPOTENT ||
	    (r->kind == FLEETCFG_STREAM && r->resumable);
}

/// What a customer's quota allows, as configured.
struct quota_limit
fleetcfg_quota_limit(
    const struct fleetcfg_customer *c, const struct bootstrap_bounds *bounds)
{
	const struct quota_limit limit = {
		.rate_per_s = c->rate_per_s,
		.burst = c->burst,
		.window_s = bounds->quota_window_s,
		.tolerance = bounds->quota_over,
		.slack_units = bounds->quota_slack,
	};

	return limit;
}
