#include "conf/settings.h"
#include "base/fileio.h"
#include "conf/schema.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define MAX_MS 3600000
#define JSON_PATH_BYTES 32

static const char *const roles[] = { "entry", "control", NULL };
static const char *const log_levels[] = { "error", "warn", "info", "debug",
	NULL };

#define AT(f) .offset = offsetof(struct settings, f)
#define ADDR(f)                                       \
	AT(f),                                        \
	    .offset2 = offsetof(struct settings, f) + \
	    offsetof(struct settings_addr, port)
#define NUMBER(k, f, a, b, d)                                                  \
	{                                                                      \
		.key = (k), .type = SCHEMA_U32, AT(f), .min = (a), .max = (b), \
		.default_value = (d)                                           \
	}

static const struct schema_field settings_fields[] = {
	{ "role", SCHEMA_ENUM, true, AT(role), .names = roles },
	{ "node", SCHEMA_NAME, true, AT(node) },
	{ "data_centre", SCHEMA_NAME, true, AT(data_centre) },
	{ "deployment", SCHEMA_NAME, true, AT(deployment) },
	{ "data_folder", SCHEMA_TEXT, false, AT(data_folder),
	    .size = SETTINGS_PATH_BYTES },
	{ "callers", SCHEMA_ADDR, false, ADDR(callers) },
	{ "operators", SCHEMA_ADDR, true, ADDR(operators) },
	{ "peer", SCHEMA_ADDR, false, ADDR(peer) },
	{ .key = "control", .type = SCHEMA_CUSTOM, .required = true },
	{ "cloud", SCHEMA_ADDR, false, ADDR(cloud) },
	{ "vm_list", SCHEMA_ADDR, false, ADDR(vm_list) },
	{ "weight_store", SCHEMA_ADDR, false, ADDR(weight_store) },
	{ .key = "tls", .type = SCHEMA_CUSTOM, .required = true },
	{ "operator_token", SCHEMA_TEXT, false, AT(operator_token),
	    .size = SPEC_NAME_BYTES },
	{ "log_level", SCHEMA_ENUM, false, AT(log_level),
	    .default_value = LOGGER_INFO, .names = log_levels },
	{ "seed", SCHEMA_U64, false, AT(seed), .max = INT64_MAX },
	NUMBER("election_ms", election_ms, 100, 10000, 300),
	NUMBER("heartbeat_ms", heartbeat_ms, 10, 1000, 50),
	NUMBER("config_lease_ms", config_lease_ms, 500, 60000, 3000),
	NUMBER("max_body_bytes", max_body_bytes, 1024, 1 << 30, 4 << 20),
	NUMBER("max_streams", max_streams, 1, 1000000, 2000),
	NUMBER("caller_idle_ms", caller_idle_ms, 100, MAX_MS, 60000),
	NUMBER("drain_ms", drain_ms, 0, MAX_MS, 30000),
	NUMBER("retry_budget_percent", retry_budget_percent, 0, 100, 10),
	NUMBER("canary_share_permille", canary_share_permille, 1, 200, 30),
	NUMBER("answer_keep_s", answer_keep_s, 1, 31536000, 86400),
	{ .key = NULL },
};

#undef AT
#undef ADDR

static const struct schema_field peer_fields[] = {
	{ "id", SCHEMA_U32, true, .offset = offsetof(struct settings_peer, id),
	    .min = 1, .max = UINT32_MAX },
	{ "name", SCHEMA_NAME, true,
	    .offset = offsetof(struct settings_peer, name) },
	{ "data_centre", SCHEMA_NAME, true,
	    .offset = offsetof(struct settings_peer, data_centre) },
	{ "peer", SCHEMA_ADDR, true,
	    .offset = offsetof(struct settings_peer, peer.host),
	    .offset2 = offsetof(struct settings_peer, peer.port) },
	{ "operators", SCHEMA_ADDR, true,
	    .offset = offsetof(struct settings_peer, operators.host),
	    .offset2 = offsetof(struct settings_peer, operators.port) },
	{ "standby", SCHEMA_BOOL, false,
	    .offset = offsetof(struct settings_peer, standby) },
	{ .key = NULL },
};

static const struct schema_field tls_fields[] = {
	{ "plain", SCHEMA_BOOL, false,
	    .offset = offsetof(struct settings_tls, plain) },
	{ "certificate", SCHEMA_TEXT, false,
	    .offset = offsetof(struct settings_tls, certificate),
	    .size = SETTINGS_PATH_BYTES },
	{ "key", SCHEMA_TEXT, false,
	    .offset = offsetof(struct settings_tls, key),
	    .size = SETTINGS_PATH_BYTES },
	{ "authority", SCHEMA_TEXT, false,
	    .offset = offsetof(struct settings_tls, authority),
	    .size = SETTINGS_PATH_BYTES },
	{ .key = NULL },
};

/// An address to listen on and the JSON path that it was read from.
struct listener {
	char path[JSON_PATH_BYTES];
	const struct settings_addr *addr;
};

static void
read_peers(struct schema_doc *d, struct settings *s)
{
	const json_t *list = json_object_get(d->root, "control");
	char path[JSON_PATH_BYTES];
	size_t i;
	json_t *value;

	if (list == NULL)
		return;
	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > SETTINGS_MAX_PEERS) {
		schema_problem(d, "$.control",
		    "must be a list of 1 to %d objects", SETTINGS_MAX_PEERS);
		return;
	}
	json_array_foreach(list, i, value)
	{
		(void)g_snprintf(path, sizeof(path), "$.control[%zu]", i);
		(void)schema_read(d, path, value, peer_fields, &s->control[i]);
	}
	s->n_control = (uint32_t)json_array_size(list);
}

static void
read_tls(struct schema_doc *d, struct settings *s)
{
	const json_t *object = json_object_get(d->root, "tls");
	const struct settings_tls *t = &s->tls;
	bool all_set;
	bool none_set;

	if (object == NULL ||
	    !schema_read(d, "$.tls", object, tls_fields, &s->tls))
		return;
	all_set = t->certificate[0] && t->key[0] && t->authority[0];
	none_set = !t->certificate[0] && !t->key[0] && !t->authority[0];
	if (t->plain ? !none_set : !all_set)
		schema_problem(d, "$.tls",
		    "must hold either \"plain\": true or certificate, key "
		    "and authority");
	if (!t->plain && s->operator_token[0] == '\0')
		schema_problem(d, "$.operator_token",
		    "may be empty only with \"plain\": true");
}

/// Checks that no two control processes have the same id or name.
static void
check_peers_unique(struct schema_doc *d, const struct settings *s)
{
	char path[JSON_PATH_BYTES];

	for (uint32_t i = 1; i < s->n_control; i++) {
		for (uint32_t k = 0; k < i; k++) {
			const struct settings_peer *a = &s->control[i];
			const struct settings_peer *b = &s->control[k];

			(void)g_snprintf(
			    path, sizeof(path), "$.control[%u]", i);
			if (a->id != 0 && a->id == b->id)
				schema_problem(
				    d, path, "id %u is used twice", a->id);
			if (a->name[0] && strcmp(a->name, b->name) == 0)
				schema_problem(d, path,
				    "name '%s' is used twice", a->name);
		}
	}
}

static bool
same_address(const struct settings_addr *a, const struct settings_addr *b)
{
	return a->port == b->port && a->port != 0 &&
	    strcmp(a->host, b->host) == 0;
}

/// Checks that no two listeners share an address. A control process is itself
/// in the list of control processes; its own entry is skipped.
static void
check_addresses(struct schema_doc *d, const struct settings *s)
{
	struct listener listeners[3 + 2 * SETTINGS_MAX_PEERS];
	size_t n = 0;

	listeners[n++] = (struct listener){ "$.callers", &s->callers };
	listeners[n++] = (struct listener){ "$.operators", &s->operators };
	listeners[n++] = (struct listener){ "$.peer", &s->peer };
	for (uint32_t i = 0; i < s->n_control; i++) {
		const struct settings_peer *p = &s->control[i];

		if (strcmp(p->name, s->node) == 0)
			continue;
		listeners[n].addr = &p->peer;
		(void)g_snprintf(listeners[n++].path, JSON_PATH_BYTES,
		    "$.control[%u].peer", i);
		listeners[n].addr = &p->operators;
		(void)g_snprintf(listeners[n++].path, JSON_PATH_BYTES,
		    "$.control[%u].operators", i);
	}
	for (size_t i = 1; i < n; i++) {
		for (size_t k = 0; k < i; k++) {
			if (same_address(listeners[i].addr, listeners[k].addr))
				schema_problem(d, listeners[i].path,
				    "is the same address as %s",
				    listeners[k].path);
		}
	}
}

/// Finds this control process in the list of control processes, takes its id
/// and checks that addresses and data centre agree.
static void
find_self(struct schema_doc *d, struct settings *s)
{
	char path[JSON_PATH_BYTES];

	for (uint32_t i = 0; i < s->n_control; i++) {
		const struct settings_peer *p = &s->control[i];

		if (strcmp(p->name, s->node) != 0)
			continue;
		s->id = p->id;
		(void)g_snprintf(path, sizeof(path), "$.control[%u]", i);
		if (!same_address(&p->peer, &s->peer) ||
		    !same_address(&p->operators, &s->operators))
			schema_problem(d, path,
			    "is this node, but names other addresses than "
			    "$.peer and $.operators");
		if (strcmp(p->data_centre, s->data_centre) != 0)
			schema_problem(d, path,
			    "is this node, but names another data centre");
		return;
	}
	if (s->n_control > 0)
		schema_problem(
		    d, "$.node", "'%s' is not in $.control", s->node);
}

/// Rejects keys of the other role and checks that those of the own role are
/// set. A control process also takes its id from the list, see find_self().
static void
check_role(struct schema_doc *d, struct settings *s)
{
	const bool control = s->role == SETTINGS_ROLE_CONTROL;
	static const struct {
		const char *key;
		enum settings_role role;
	} keys[] = {
		{ "data_folder", SETTINGS_ROLE_CONTROL },
		{ "peer", SETTINGS_ROLE_CONTROL },
		{ "callers", SETTINGS_ROLE_ENTRY },
	};
	char path[JSON_PATH_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		const json_t *value = json_object_get(d->root, keys[i].key);

		(void)g_snprintf(path, sizeof(path), "$.%s", keys[i].key);
		if (keys[i].role == s->role && value == NULL)
			schema_problem(d, path, "is missing for role \"%s\"",
			    roles[s->role]);
		if (keys[i].role != s->role && value != NULL)
			schema_problem(d, path, "is only for role \"%s\"",
			    roles[keys[i].role]);
	}
	if (control && json_object_get(d->root, "data_folder") != NULL &&
	    s->data_folder[0] == '\0')
		schema_problem(d, "$.data_folder", "must not be empty");
	if (control)
		find_self(d, s);
}

/// Reads and checks settings from JSON text.
///
/// @param out       receives the settings; incomplete after a failure
/// @param problems  every problem found is appended; to be released with
///                  spec_problems_free()
/// @return STATUS_OK or STATUS_INVALID
enum status
settings_parse(const char *json, size_t len, struct settings *out,
    struct spec_problems *problems)
{
	const json_t *role;
	struct schema_doc d;

	memset(out, 0, sizeof(*out));
	if (!schema_open(&d, json, len, problems))
		return status_fail(
		    STATUS_INVALID, "settings are not a JSON object");
	(void)schema_read(&d, "$", d.root, settings_fields, out);
	read_peers(&d, out);
	read_tls(&d, out);
	check_peers_unique(&d, out);
	check_addresses(&d, out);
	role = json_object_get(d.root, "role");
	if (json_is_string(role) &&
	    strcmp(json_string_value(role), roles[out->role]) == 0)
		check_role(&d, out);
	if (out->heartbeat_ms >= out->election_ms)
		schema_problem(&d, "$.heartbeat_ms",
		    "must be less than election_ms (%u)", out->election_ms);
	return schema_finish(&d, "settings have");
}

/// Reads and checks settings from a file, as settings_parse() does.
///
/// @return STATUS_OK, STATUS_IO (file not read) or STATUS_INVALID
enum status
settings_load(
    const char *file, struct settings *out, struct spec_problems *problems)
{
	char *text;
	size_t len;
	enum status st = fileio_read(file, &text, &len);

	if (st != STATUS_OK)
		return st;
	st = settings_parse(text, len, out, problems);
	g_free(text);
	return st;
}
