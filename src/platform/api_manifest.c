#include "platform/api_manifest.h"

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <string.h>

/// An object that is being read, and where it is in the manifest.
struct json_item {
	const json_t *object;
	const char *list; ///< key of its list or section, for messages
	size_t index;
};

static enum status
invalid_field(const struct json_item *p, const char *key, const char *problem)
{
	return status_fail(
	    STATUS_INVALID, "%s[%zu].%s: %s", p->list, p->index, key, problem);
}

/// Reads a whole number; a fraction is truncated.
static enum status
get_u32(const struct json_item *p, const char *key, bool required,
    uint32_t default_value, uint32_t *out)
{
	const json_t *v = json_object_get(p->object, key);
	double n;

	if (v == NULL || json_is_null(v)) {
		*out = default_value;
		return required ? invalid_field(p, key, "is missing")
				: STATUS_OK;
	}
	if (!json_is_number(v))
		return invalid_field(p, key, "is not a number");
	n = json_number_value(v);
	if (!(n >= 0 && n <= UINT32_MAX))
		return invalid_field(p, key, "is out of range");
	*out = (uint32_t)n;
	return STATUS_OK;
}

static enum status
get_real(const struct json_item *p, const char *key, double default_value,
    double *out)
{
	const json_t *v = json_object_get(p->object, key);

	*out = default_value;
	if (v == NULL || json_is_null(v))
		return STATUS_OK;
	if (!json_is_number(v))
		return invalid_field(p, key, "is not a number");
	*out = json_number_value(v);
	if (!(*out >= 0 && isfinite(*out)))
		return invalid_field(p, key, "is out of range");
	return STATUS_OK;
}

static enum status
get_bool(const struct json_item *p, const char *key, bool *out)
{
	const json_t *v = json_object_get(p->object, key);

	*out = json_is_true(v);
	if (v == NULL || json_is_boolean(v) || json_is_null(v))
		return STATUS_OK;
	return invalid_field(p, key, "is not true or false");
}

static enum status
get_text(const struct json_item *p, const char *key, const char **out)
{
	*out = json_string_value(json_object_get(p->object, key));
	return *out == NULL ? invalid_field(p, key, "is missing or not a text")
			    : STATUS_OK;
}

/// Returns the first of two statuses that is a failure. The second call is made
/// in any case, so status_last() explains the last failure, not the first.
static enum status
first_failure(enum status first, enum status second)
{
	return first != STATUS_OK ? first : second;
}

static enum status
read_engine(const struct json_item *service, struct fleetcfg_engine *e)
{
	const struct json_item p = {
		.object = json_object_get(service->object, "engine"),
		.list = "services.engine",
		.index = service->index,
	};
	double kv_tokens;
	double handle_s;
	double pin_ms;
	double hold_ms;
	enum status st = STATUS_OK;

	if (p.object == NULL || json_is_null(p.object))
		return STATUS_OK;
	if (!json_is_object(p.object))
		return invalid_field(service, "engine", "is not an object");
	e->enabled = true;
	st = first_failure(st, get_u32(&p, "slots", true, 1, &e->slots));
	st = first_failure(st, get_real(&p, "kv_capacity", 0, &kv_tokens));
	st = first_failure(st, get_real(&p, "kv_bytes", 0, &e->kv_token_bytes));
	st = first_failure(st, get_real(&p, "link_mbps", 0, &e->link_mbps));
	st = first_failure(st, get_bool(&p, "moves", &e->can_migrate));
	st = first_failure(st, get_bool(&p, "backups", &e->kv_backups));
	// "stride": number of tokens in one event of a stream.
	st = first_failure(
	    st, get_u32(&p, "stride", false, 1, &e->tokens_per_event));
	st = first_failure(st, get_real(&p, "pin_ms", 0, &pin_ms));
	st = first_failure(st, get_real(&p, "hold_ms", 0, &hold_ms));
	st = first_failure(st, get_real(&p, "handle_s", 0, &handle_s));
	if (st != STATUS_OK)
		return st;
	e->kv_tokens = (uint64_t)kv_tokens;
	e->pin_ms = (uint32_t)MIN(pin_ms, UINT32_MAX);
	e->hold_ms = (uint32_t)MIN(hold_ms, UINT32_MAX);
	e->copy_ttl_ms = (uint32_t)MIN(handle_s * 1000, UINT32_MAX);
	return STATUS_OK;
}

static enum status
read_autoscale(const struct json_item *service, struct fleetcfg_scaling *s)
{
	const struct json_item p = {
		.object = json_object_get(service->object, "autoscale"),
		.list = "services.autoscale",
		.index = service->index,
	};
	json_t *prices;
	const char *zone;
	json_t *price;
	enum status st = STATUS_OK;

	if (p.object == NULL || json_is_null(p.object))
		return STATUS_OK;
	if (!json_is_object(p.object))
		return invalid_field(service, "autoscale", "is not an object");
	s->enabled = true;
	st = first_failure(
	    st, get_u32(&p, "min_replicas", false, 0, &s->min_servers));
	st = first_failure(
	    st, get_u32(&p, "max_replicas", true, 0, &s->max_servers));
	st = first_failure(st, get_real(&p, "boot_s", 0, &s->boot_s));
	st = first_failure(st, get_real(&p, "spot_price", 0, &s->spot_price));
	prices = json_object_get(p.object, "zone_prices");
	json_object_foreach(prices, zone, price)
	{
		struct fleetcfg_zone_price *z = &s->zones[s->n_zones];

		if (!json_is_number(price) || s->n_zones == FLEETCFG_MAX_ZONES)
			return invalid_field(
			    &p, "zone_prices", "can't be read");
		(void)g_strlcpy(z->zone, zone, sizeof(z->zone));
		z->price = json_number_value(price);
		s->n_zones++;
	}
	return st;
}

static enum status
read_service(struct fleetcfg *c, const struct json_item *p)
{
	const char *name;
	const char *health_path;
	struct fleetcfg_service *s;
	enum status st = get_text(p, "name", &name);

	if (st != STATUS_OK)
		return st;
	s = fleetcfg_add_service(c, name);
	if (s == NULL)
		return STATUS_INVALID;
	health_path =
	    json_string_value(json_object_get(p->object, "health_path"));
	(void)g_strlcpy(s->health_path, health_path != NULL ? health_path : "",
	    sizeof(s->health_path));
	st = get_u32(p, "max_conns", false, 0, &s->max_connections);
	st =
	    first_failure(st, get_real(p, "cold_start_s", 0, &s->cold_start_s));
	st = first_failure(st, get_real(p, "cold_per_s", 0, &s->cold_per_s));
	st = first_failure(st, read_engine(p, &s->engine));
	return first_failure(st, read_autoscale(p, &s->scaling));
}

static enum status
read_kind(const struct json_item *p, struct fleetcfg_route *r)
{
	static const char *const names[] = { "idempotent", "non_idempotent",
		"streaming" };
	const char *kind;
	const enum status st = get_text(p, "kind", &kind);

	if (st != STATUS_OK)
		return st;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(kind, names[i]) != 0)
			continue;
		r->kind = (enum fleetcfg_request_kind)i;
		return STATUS_OK;
	}
	return invalid_field(p, "kind", "is none that is known");
}

static enum status
read_splits(
    struct fleetcfg *c, const struct json_item *p, struct fleetcfg_route *r)
{
	const json_t *list = json_object_get(p->object, "traffic_split");
	const char *service;
	const json_t *o;
	size_t i;
	enum status st;

	if (list == NULL || json_is_null(list)) {
		st = get_text(p, "service", &service);
		return st != STATUS_OK ? st
				       : fleetcfg_add_split(c, r, service, 1);
	}
	if (!json_is_array(list))
		return invalid_field(p, "traffic_split", "is not a list");
	json_array_foreach(list, i, o)
	{
		const struct json_item split = { o, "traffic_split", i };
		uint32_t weight;

		st = get_text(&split, "service", &service);
		st = first_failure(
		    st, get_u32(&split, "weight", true, 0, &weight));
		st = first_failure(st,
		    st == STATUS_OK ? fleetcfg_add_split(c, r, service, weight)
				    : st);
		if (st != STATUS_OK)
			return st;
	}
	return STATUS_OK;
}

/// Reads the regions where requests of a route or a customer may run.
static enum status
read_regions(const struct json_item *p, struct fleetcfg_regions **out)
{
	static const char key[] = "allowed_regions";
	const json_t *list = json_object_get(p->object, key);
	const json_t *region;
	size_t i;

	if (list == NULL || json_is_null(list))
		return STATUS_OK;
	if (!json_is_array(list))
		return invalid_field(p, key, "is not a list");
	fleetcfg_restrict_regions(out);
	json_array_foreach(list, i, region)
	{
		if (!json_is_string(region))
			return invalid_field(p, key, "holds what is no text");
		if (fleetcfg_add_region(out, json_string_value(region)) !=
		    STATUS_OK)
			return invalid_field(
			    p, key, "holds an unfit name, or too many");
	}
	return STATUS_OK;
}

static enum status
read_route(struct fleetcfg *c, const struct json_item *p)
{
	const char *name;
	const char *host;
	const char *prefix;
	struct fleetcfg_route *r;
	enum status st = get_text(p, "name", &name);

	st = first_failure(st, get_text(p, "host", &host));
	st = first_failure(st, get_text(p, "path_prefix", &prefix));
	if (st != STATUS_OK)
		return st;
	r = fleetcfg_add_route(c, host, prefix);
	if (r == NULL)
		return STATUS_INVALID;
	(void)g_strlcpy(r->name, name, sizeof(r->name));
	st = first_failure(st, read_kind(p, r));
	st = first_failure(
	    st, get_u32(p, "timeout_ms", true, 0, &r->timeout_ms));
	st = first_failure(
	    st, get_u32(p, "target_latency_ms", false, 0, &r->target_ms));
	st = first_failure(st, get_u32(p, "gap_aim_ms", false, 0, &r->gap_ms));
	st = first_failure(st, get_u32(p, "priority", false, 0, &r->priority));
	st = first_failure(
	    st, get_u32(p, "max_attempts", false, 1, &r->max_attempts));
	st = first_failure(st, get_bool(p, "public", &r->no_auth));
	// "sticky": requests name the parts of their prompts in a header.
	st = first_failure(st, get_bool(p, "sticky", &r->has_prompt_parts));
	st = first_failure(st, get_bool(p, "resumable", &r->resumable));
	st = first_failure(st, read_regions(p, &r->regions));
	return first_failure(st, read_splits(c, p, r));
}

static enum status
read_keys(
    struct fleetcfg *c, const struct json_item *p, struct fleetcfg_customer *u)
{
	const json_t *list = json_object_get(p->object, "api_keys");
	const json_t *key;
	size_t i;

	if (list != NULL && !json_is_array(list))
		return invalid_field(p, "api_keys", "is not a list");
	json_array_foreach(list, i, key)
	{
		if (!json_is_string(key))
			return invalid_field(
			    p, "api_keys", "holds what is no text");
		if (fleetcfg_add_key(c, u, json_string_value(key)) != STATUS_OK)
			return STATUS_INVALID;
	}
	return STATUS_OK;
}

static enum status
read_customer(struct fleetcfg *c, const struct json_item *p)
{
	const char *name;
	const char *unit;
	struct fleetcfg_customer *u;
	enum status st = get_text(p, "name", &name);

	if (st != STATUS_OK)
		return st;
	u = fleetcfg_add_customer(c, name);
	if (u == NULL)
		return STATUS_INVALID;
	u->has_priority =
	    json_is_number(json_object_get(p->object, "priority"));
	st = first_failure(st, get_u32(p, "priority", false, 0, &u->priority));
	unit = json_string_value(json_object_get(p->object, "unit"));
	u->quota_in_tokens = unit != NULL && strcmp(unit, "token_count") == 0;
	st = first_failure(
	    st, get_u32(p, "plain_tokens", false, 1, &u->default_tokens));
	st = first_failure(st, get_real(p, "rate_per_s", 0, &u->rate_per_s));
	st = first_failure(st, get_real(p, "burst", 0, &u->burst));
	st = first_failure(st, read_regions(p, &u->regions));
	return first_failure(st, read_keys(c, p, u));
}

static enum status
read_list(struct fleetcfg *c, const json_t *root, const char *key,
    bool required,
    enum status (*read_item)(struct fleetcfg *, const struct json_item *))
{
	const json_t *list = json_object_get(root, key);
	struct json_item p = { .list = key };

	if (list == NULL && !required)
		return STATUS_OK;
	if (!json_is_array(list))
		return status_fail(
		    STATUS_INVALID, "%s: is missing or no list", key);
	for (p.index = 0; p.index < json_array_size(list); p.index++) {
		enum status st;

		p.object = json_array_get(list, p.index);
		if (!json_is_object(p.object))
			return status_fail(STATUS_INVALID,
			    "%s[%zu]: is no object", key, p.index);
		st = read_item(c, &p);
		if (st != STATUS_OK)
			return st;
	}
	return STATUS_OK;
}

static enum status
read_limits(struct fleetcfg *c, const json_t *root)
{
	const struct json_item p = { json_object_get(root, "limits"), "limits",
		0 };
	struct fleetcfg_limits *l = fleetcfg_limits(c);
	enum status st = STATUS_OK;

	if (p.object == NULL)
		return STATUS_OK;
	if (!json_is_object(p.object))
		return status_fail(STATUS_INVALID, "limits: is no object");
	st = first_failure(st,
	    get_u32(&p, "max_header_bytes", false, l->max_header_bytes,
		&l->max_header_bytes));
	st = first_failure(st,
	    get_u32(&p, "max_body_bytes", false, l->max_body_bytes,
		&l->max_body_bytes));
	st = first_failure(st,
	    get_u32(&p, "header_timeout_ms", false, l->header_timeout_ms,
		&l->header_timeout_ms));
	return first_failure(st,
	    get_u32(&p, "idle_timeout_ms", false, l->idle_timeout_ms,
		&l->idle_timeout_ms));
}

static enum status
read_manifest(const json_t *root, struct fleetcfg **out)
{
	const json_t *version = json_object_get(root, "version");
	struct fleetcfg *c;
	enum status st;

	if (!json_is_integer(version) || json_integer_value(version) < 0)
		return status_fail(
		    STATUS_INVALID, "version: is missing or no number");
	c = fleetcfg_new((uint64_t)json_integer_value(version));
	st = read_list(c, root, "services", true, read_service);
	st = first_failure(st,
	    st == STATUS_OK ? read_list(c, root, "routes", true, read_route)
			    : st);
	// An empty list takes all keys away; without the field none are needed.
	if (json_object_get(root, "tenants") != NULL)
		fleetcfg_require_keys(c);
	st = first_failure(st,
	    st == STATUS_OK
		? read_list(c, root, "tenants", false, read_customer)
		: st);
	st = first_failure(st, st == STATUS_OK ? read_limits(c, root) : st);
	st = first_failure(st, st == STATUS_OK ? fleetcfg_validate(c) : st);
	if (st == STATUS_OK)
		*out = c;
	else
		fleetcfg_unref(c);
	return st;
}

/// Checks the service that a route names beside a traffic_split, which doesn't
/// use it.
static enum status
check_unused_services(const json_t *root, const struct fleetcfg *c)
{
	struct json_item p = { .list = "routes" };

	json_array_foreach(json_object_get(root, "routes"), p.index, p.object)
	{
		const json_t *service = json_object_get(p.object, "service");

		if (service == NULL || json_is_null(service))
			continue;
		if (!json_is_string(service))
			return invalid_field(&p, "service", "is no text");
		if (fleetcfg_find_service(c, json_string_value(service)) < 0)
			return invalid_field(&p, "service", "names no service");
	}
	return STATUS_OK;
}

/// Parses a manifest's text.
///
/// @return NULL with the problem in status_last(), else released by the caller
static json_t *
parse(const char *text, size_t len)
{
	json_error_t error;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);

	if (json_is_object(root))
		return root;
	(void)status_fail(STATUS_INVALID, "line %d, column %d: %s", error.line,
	    error.column, root == NULL ? error.text : "no object");
	json_decref(root);
	return NULL;
}

/// Reads a manifest that was accepted, by this version of the program or an
/// earlier one that checked less.
///
/// @param out  receives the configuration with one reference; unchanged after a
///             failure
/// @return STATUS_OK, or STATUS_INVALID with a problem in status_last()
enum status
api_manifest_read(const char *text, size_t len, struct fleetcfg **out)
{
	json_t *root = parse(text, len);
	enum status st;

	if (root == NULL)
		return STATUS_INVALID;
	st = read_manifest(root, out);
	json_decref(root);
	return st;
}

/// Reads a new manifest, the operator's whole configuration, and checks it.
/// Parameters and result as of api_manifest_read().
enum status
api_manifest_check(const char *text, size_t len, struct fleetcfg **out)
{
	json_t *root = parse(text, len);
	struct fleetcfg *c = NULL;
	enum status st;

	if (root == NULL)
		return STATUS_INVALID;
	st = read_manifest(root, &c);
	if (st == STATUS_OK) {
		st = check_unused_services(root, c);
		if (st == STATUS_OK)
			*out = c;
		else
			fleetcfg_unref(c);
	}
	json_decref(root);
	return st;
}
