#include "conf/bootstrap.h"
#include "base/fileio.h"
#include "conf/schema.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define BOOTSTRAP_DEFAULT_MEMORY_MB 256
#define JSON_PATH_BYTES 64

static const char *const roles[] = { "gateway", "hub", NULL };
static const char *const log_levels[] = { "error", "warn", "info", "debug",
	NULL };

#define AT(f) .offset = offsetof(struct bootstrap_settings, f)
#define NAME(k, f, is_required)                                             \
	{                                                                   \
		.key = (k), .type = SCHEMA_NAME, .required = (is_required), \
		AT(f)                                                       \
	}
#define ADDR(k, f, is_required)                                             \
	{                                                                   \
		.key = (k), .type = SCHEMA_ADDR, .required = (is_required), \
		AT(f),                                                      \
		.offset2 = offsetof(struct bootstrap_settings, f) +         \
		    offsetof(struct settings_addr, port)                    \
	}
#define REAL(k, f, a, b, d)                                                \
	{                                                                  \
		.key = (k), .type = SCHEMA_DOUBLE, AT(f), .real_min = (a), \
		.real_max = (b), .real_default = (d)                       \
	}
#define U32(k, f, a, b, d)                                                     \
	{                                                                      \
		.key = (k), .type = SCHEMA_U32, AT(f), .min = (a), .max = (b), \
		.default_value = (d)                                           \
	}

/// Fields of "bounds". The defaults suit a deployment in one region.
static const struct schema_field bounds_fields[] = {
	REAL("contact_ms", bounds.contact_ms, 100, 60000, 3000),
	REAL("ack_ms", bounds.ack_ms, 100, 60000, 4000),
	REAL("catch_up_s", bounds.catch_up_s, 0.1, 600, 4),
	REAL("drain_ms", bounds.drain_ms, 100, 600000, 3000),
	REAL("stop_s", bounds.stop_s, 0.5, 600, 8),
	REAL("apply_ms", bounds.apply_ms, 100, 60000, 2000),
	REAL("revoke_ms", bounds.revoke_ms, 200, 600000, 5000),
	REAL("evacuate_ms", bounds.evacuate_ms, 200, 600000, 5000),
	REAL("retry_ratio", bounds.retry_ratio, 0, 1, 0.1),
	REAL("retry_window_s", bounds.retry_window_s, 0.1, 600, 10),
	REAL("retry_slack", bounds.retry_slack, 0, 1e9, 10),
	REAL("quota_window_s", bounds.quota_window_s, 0.1, 600, 8),
	REAL("quota_over", bounds.quota_over, 0, 10, 0.1),
	REAL("quota_slack", bounds.quota_slack, 0, 1e12, 0),
	REAL("duty_lease_ms", bounds.duty_lease_ms, 100, 60000, 3000),
	REAL("usage_window_s", bounds.usage_window_s, 0.1, 3600, 5),
	REAL("usage_late_s", bounds.usage_late_s, 0.1, 3600, 10),
	REAL("canary_share", bounds.canary_share, 0.001, 1, 0.1),
	REAL("canary_slack", bounds.canary_slack, 0, 1e6, 50),
	REAL("take_back_ms", bounds.rollback_ms, 100, 600000, 5000),
	REAL("cold_over", bounds.cold_over, 0, 100, 1.5),
	REAL("cold_slack", bounds.cold_slack, 0, 1e6, 5),
	REAL("pass_ms", bounds.event_relay_ms, 1, 60000, 120),
	{ .key = NULL },
};

static const struct schema_field settings_fields[] = {
	{ "role", SCHEMA_ENUM, true, AT(role), .names = roles },
	NAME("node", node, true),
	{ "host", SCHEMA_TEXT, true, AT(host), .size = SPEC_HOST_BYTES },
	NAME("data_centre", data_centre, true),
	NAME("region", region, false),
	{ "data_folder", SCHEMA_TEXT, false, AT(data_folder),
	    .size = SETTINGS_PATH_BYTES },
	ADDR("callers", callers, false),
	ADDR("ready", ready, false),
	ADDR("operators", operators, false),
	{ "peer_port", SCHEMA_U16, true, AT(peer_port), .min = 1,
	    .max = UINT16_MAX },
	ADDR("peer_listen", peer_listen, false),
	{ "metrics_port", SCHEMA_U16, false, AT(metrics_port),
	    .max = UINT16_MAX },
	{ "first_start", SCHEMA_BOOL, false, AT(first_start) },
	U32("memory_mb", memory_mb, 0, UINT32_MAX, BOOTSTRAP_DEFAULT_MEMORY_MB),
	U32("max_fds", max_fds, 0, UINT32_MAX, 1024),
	U32("tolerated_vms", tolerance.vms, 0, 100, 1),
	U32("tolerated_data_centres", tolerance.data_centres, 0, 100, 0),
	U32("tolerated_regions", tolerance.regions, 0, 100, 0),
	ADDR("cloud", cloud, true),
	REAL("list_calls_per_s", list_calls_per_s, 0.1, 1e6, 10),
	REAL("duty_calls_per_s", duty_calls_per_s, 0.1, 1e6, 10),
	{ "log_level", SCHEMA_ENUM, false, AT(log_level),
	    .default_value = LOGGER_INFO, .names = log_levels },
	{ .key = "seeds", .type = SCHEMA_CUSTOM, .required = true },
	{ .key = "zones", .type = SCHEMA_CUSTOM, .required = true },
	{ .key = "duties", .type = SCHEMA_CUSTOM },
	{ .key = "bounds", .type = SCHEMA_CUSTOM },
	{ .key = NULL },
};

#undef AT

static void
read_seeds(struct schema_doc *d, struct bootstrap_settings *s)
{
	const json_t *list = json_object_get(d->root, "seeds");
	const json_t *v;
	char path[JSON_PATH_BYTES];
	size_t i;

	if (list == NULL)
		return;
	if (!json_is_array(list) ||
	    json_array_size(list) > BOOTSTRAP_MAX_SEEDS) {
		schema_problem(d, "$.seeds",
		    "must be a list of up to %d addresses",
		    BOOTSTRAP_MAX_SEEDS);
		return;
	}
	json_array_foreach(list, i, v)
	{
		(void)g_snprintf(path, sizeof(path), "$.seeds[%zu]", i);
		(void)schema_read_address(
		    d, path, v, s->seeds[i].host, &s->seeds[i].port);
	}
	s->n_seeds = (uint32_t)json_array_size(list);
}

/// Reads the data centres, an object of data centre name to region.
static void
read_zones(struct schema_doc *d, struct bootstrap_settings *s)
{
	json_t *zones = json_object_get(d->root, "zones");
	const char *name;
	json_t *region;

	if (zones == NULL)
		return;
	if (!json_is_object(zones) ||
	    json_object_size(zones) > BOOTSTRAP_MAX_ZONES) {
		schema_problem(d, "$.zones",
		    "must name the region of up to %d data centres",
		    BOOTSTRAP_MAX_ZONES);
		return;
	}
	json_object_foreach(zones, name, region)
	{
		(void)g_strlcpy(
		    s->zones[s->n_zones], name, sizeof(s->zones[0]));
		if (json_is_string(region))
			(void)g_strlcpy(s->regions[s->n_zones],
			    json_string_value(region), sizeof(s->regions[0]));
		s->n_zones++;
	}
}

static void
read_duties(struct schema_doc *d, struct bootstrap_settings *s)
{
	const json_t *list = json_object_get(d->root, "duties");
	const json_t *v;
	size_t i;

	if (list == NULL || json_is_null(list))
		return;
	if (!json_is_array(list)) {
		schema_problem(d, "$.duties", "must be a list");
		return;
	}
	json_array_foreach(list, i, v)
	{
		const char *duty = json_string_value(v);

		if (duty == NULL)
			schema_problem(d, "$.duties", "must hold words");
		else if (strcmp(duty, "usage_report") == 0)
			s->reports_usage = true;
		else if (strcmp(duty, "autoscaling") == 0)
			s->scales = true;
	}
}

static void
read_bounds(struct schema_doc *d, struct bootstrap_settings *s)
{
	const json_t *object = json_object_get(d->root, "bounds");
	json_t *empty = json_object();

	if (object == NULL || json_is_null(object))
		object = empty;
	(void)schema_read(d, "$.bounds", object, bounds_fields, s);
	json_decref(empty);
}

static void
require_key(struct schema_doc *d, const char *path, bool present,
    enum bootstrap_role role)
{
	if (!present)
		schema_problem(
		    d, path, "is missing for role \"%s\"", roles[role]);
}

/// Checks that the keys that a role requires are set. Keys of the other role
/// are allowed, as a settings template has the keys of both.
static void
check_role(struct schema_doc *d, const struct bootstrap_settings *s)
{
	switch (s->role) {
	case BOOTSTRAP_ROLE_GATEWAY:
		require_key(d, "$.callers", s->callers.port != 0, s->role);
		require_key(d, "$.ready", s->ready.port != 0, s->role);
		break;
	case BOOTSTRAP_ROLE_HUB:
		require_key(
		    d, "$.data_folder", s->data_folder[0] != '\0', s->role);
		require_key(d, "$.operators", s->operators.port != 0, s->role);
		break;
	}
}

/// Reads and checks settings from JSON text.
///
/// @param out       receives the settings; incomplete after a failure
/// @param problems  every problem found is appended; to be released with
///                  spec_problems_free()
/// @return STATUS_OK or STATUS_INVALID
enum status
bootstrap_parse(const char *json, size_t len, struct bootstrap_settings *out,
    struct spec_problems *problems)
{
	const char *role;
	struct schema_doc d;

	memset(out, 0, sizeof(*out));
	if (!schema_open(&d, json, len, problems))
		return status_fail(
		    STATUS_INVALID, "settings are not a JSON object");
	d.templated = true;
	(void)schema_read(&d, "$", d.root, settings_fields, out);
	read_bounds(&d, out);
	read_seeds(&d, out);
	read_zones(&d, out);
	read_duties(&d, out);
	role = json_string_value(json_object_get(d.root, "role"));
	if (g_strcmp0(role, roles[out->role]) == 0)
		check_role(&d, out);
	return schema_finish(&d, "settings have");
}

/// Reads and checks settings from a file, as bootstrap_parse() does.
///
/// @return STATUS_OK, STATUS_IO (file not read) or STATUS_INVALID
enum status
bootstrap_load(const char *file, struct bootstrap_settings *out,
    struct spec_problems *problems)
{
	char *text;
	size_t len;
	enum status st = fileio_read(file, &text, &len);

	if (st != STATUS_OK)
		return st;
	st = bootstrap_parse(text, len, out, problems);
	g_free(text);
	return st;
}

/// The memory of the VM divided by `share`, in bytes; that of a VM of
/// BOOTSTRAP_DEFAULT_MEMORY_MB if it isn't known.
size_t
bootstrap_memory_share(
    const struct bootstrap_settings *settings, unsigned share)
{
	const size_t mb = settings->memory_mb != 0
	    ? settings->memory_mb
	    : BOOTSTRAP_DEFAULT_MEMORY_MB;

	return (mb << 20) / share;
}
