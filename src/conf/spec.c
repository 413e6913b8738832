#include "conf/spec.h"
#include "conf/schema.h"

#include <assert.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define OP_COUNT 3
#define PRICE_MAX_MICROS 1000000000000ULL
#define WEIGHT_MAX_BYTES 100000000000000ULL
#define TIME_MAX_MS 86400000

static const char *const server_kind_names[] = { "runner", "service", NULL };
static const char *const mode_names[] = { "stream", "at_once", "later", NULL };
static const char *const op_names[OP_COUNT] = { "add", "change", "withdraw" };

#define AT(s, f) .offset = offsetof(struct s, f)
#define AT2(s, f) .offset2 = offsetof(struct s, f)
#define RANGE(a, b) .min = (a), .max = (b)

static const struct schema_field data_centre_fields[] = {
	{ "name", SCHEMA_NAME, true, AT(spec_data_centre, name) },
	{ "region", SCHEMA_NAME, true, AT(spec_data_centre, region) },
	{ "reclaiming", SCHEMA_BOOL, false, AT(spec_data_centre, reclaiming) },
	{ .key = NULL },
};

static const struct schema_field vm_class_fields[] = {
	{ "name", SCHEMA_NAME, true, AT(spec_vm_class, name) },
	{ "data_centre", SCHEMA_NAME, true, AT(spec_vm_class, data_centre) },
	{ "reclaimable", SCHEMA_BOOL, true, AT(spec_vm_class, reclaimable) },
	{ "price_micros_per_hour", SCHEMA_U64, true,
	    AT(spec_vm_class, price_micros_per_hour),
	    RANGE(0, PRICE_MAX_MICROS) },
	{ "accelerators", SCHEMA_U32, false, AT(spec_vm_class, accelerators),
	    RANGE(0, 1024) },
	{ "tokens_per_s", SCHEMA_U32, false, AT(spec_vm_class, tokens_per_s),
	    RANGE(0, 100000000) },
	{ "max_vms", SCHEMA_U32, true, AT(spec_vm_class, max_vms),
	    RANGE(0, 100000) },
	{ .key = NULL },
};

static const struct schema_field pool_fields[] = {
	{ "name", SCHEMA_NAME, true, AT(spec_pool, name) },
	{ "kind", SCHEMA_ENUM, true, AT(spec_pool, kind),
	    .names = server_kind_names },
	{ .key = NULL },
};

static const struct schema_field server_fields[] = {
	{ "name", SCHEMA_NAME, true, AT(spec_server, name) },
	{ "pool", SCHEMA_NAME, true, AT(spec_server, pool) },
	{ "data_centre", SCHEMA_NAME, true, AT(spec_server, data_centre) },
	{ "address", SCHEMA_ADDR, true, AT(spec_server, host),
	    AT2(spec_server, port) },
	{ "versions", SCHEMA_NAME_LIST, false, AT(spec_server, versions),
	    AT2(spec_server, n_versions),
	    .size = SPEC_MAX_VERSIONS_PER_SERVER },
	{ "fenced", SCHEMA_BOOL, false, AT(spec_server, fenced) },
	{ .key = NULL },
};

static const struct schema_field version_fields[] = {
	{ "name", SCHEMA_NAME, true, AT(spec_version, name) },
	{ "pool", SCHEMA_NAME, true, AT(spec_version, pool) },
	{ "replaces", SCHEMA_NAME, false, AT(spec_version, replaces) },
	{ "complete_by", SCHEMA_TIME, false, AT(spec_version, complete_by_s) },
	{ "weight_bytes", SCHEMA_U64, false, AT(spec_version, weight_bytes),
	    RANGE(0, WEIGHT_MAX_BYTES) },
	{ .key = NULL },
};

static const struct schema_field adapter_fields[] = {
	{ "name", SCHEMA_NAME, true, AT(spec_adapter, name) },
	{ "version", SCHEMA_NAME, true, AT(spec_adapter, version) },
	{ "weight_bytes", SCHEMA_U64, false, AT(spec_adapter, weight_bytes),
	    RANGE(0, WEIGHT_MAX_BYTES) },
	{ .key = NULL },
};

static const struct schema_field route_fields[] = {
	{ "path", SCHEMA_PATH, true, AT(spec_route, path) },
	{ "pool", SCHEMA_NAME, true, AT(spec_route, pool) },
	{ "mode", SCHEMA_ENUM, true, AT(spec_route, mode),
	    .names = mode_names },
	{ "idempotent", SCHEMA_BOOL, true, AT(spec_route, idempotent) },
	{ "priority", SCHEMA_U32, false, AT(spec_route, priority), RANGE(0, 9),
	    .default_value = 5 },
	{ "first_token_ms", SCHEMA_U32, false, AT(spec_route, first_token_ms),
	    RANGE(1, TIME_MAX_MS), .default_value = 1000 },
	{ "between_tokens_ms", SCHEMA_U32, false,
	    AT(spec_route, between_tokens_ms), RANGE(1, TIME_MAX_MS),
	    .default_value = 100 },
	{ "timeout_ms", SCHEMA_U32, false, AT(spec_route, timeout_ms),
	    RANGE(1, TIME_MAX_MS), .default_value = 60000 },
	{ .key = NULL },
};

static const struct schema_field customer_fields[] = {
	{ "name", SCHEMA_NAME, true, AT(spec_customer, name) },
	{ "key_hash", SCHEMA_TEXT, false, AT(spec_customer, key_hash),
	    .size = SPEC_NAME_BYTES },
	{ "weight", SCHEMA_U32, false, AT(spec_customer, weight),
	    RANGE(1, 1000), .default_value = 1 },
	{ .key = NULL },
};

/// Sections of a release note, by enum spec_kind.
static const struct section {
	const char *key;
	const struct schema_field *fields;
	size_t name_bytes;
} sections[SPEC_KIND_COUNT] = {
	[SPEC_KIND_DATA_CENTRE] = { "data_centres", data_centre_fields,
	    SPEC_NAME_BYTES },
	[SPEC_KIND_VM_CLASS] = { "vm_classes", vm_class_fields,
	    SPEC_NAME_BYTES },
	[SPEC_KIND_POOL] = { "pools", pool_fields, SPEC_NAME_BYTES },
	[SPEC_KIND_BACKEND_SERVER] = { "backend_servers", server_fields,
	    SPEC_NAME_BYTES },
	[SPEC_KIND_VERSION] = { "versions", version_fields, SPEC_NAME_BYTES },
	[SPEC_KIND_ADAPTER] = { "adapters", adapter_fields, SPEC_NAME_BYTES },
	[SPEC_KIND_ROUTE] = { "routes", route_fields, SPEC_PATH_BYTES },
	[SPEC_KIND_CUSTOMER] = { "customers", customer_fields,
	    SPEC_NAME_BYTES },
};

static const struct schema_field note_fields[] = {
	{ "note", SCHEMA_NAME, true, AT(spec_note, name) },
	{ "base", SCHEMA_U64, true, AT(spec_note, base), RANGE(0, INT64_MAX) },
	{ .key = "data_centres", .type = SCHEMA_CUSTOM },
	{ .key = "vm_classes", .type = SCHEMA_CUSTOM },
	{ .key = "pools", .type = SCHEMA_CUSTOM },
	{ .key = "versions", .type = SCHEMA_CUSTOM },
	{ .key = "adapters", .type = SCHEMA_CUSTOM },
	{ .key = "backend_servers", .type = SCHEMA_CUSTOM },
	{ .key = "routes", .type = SCHEMA_CUSTOM },
	{ .key = "customers", .type = SCHEMA_CUSTOM },
	{ .key = NULL },
};

static const struct schema_field section_fields[] = {
	{ .key = "add", .type = SCHEMA_CUSTOM },
	{ .key = "change", .type = SCHEMA_CUSTOM },
	{ .key = "withdraw", .type = SCHEMA_CUSTOM },
	{ .key = NULL },
};

/// State while a note is read.
struct note_reader {
	struct schema_doc doc;
	GArray *changes;  ///< struct spec_change
	GHashTable *seen; ///< set of "<section> <key>"
};

/// Returns the key of the item that a change is about: the path of a route,
/// else the name. It is part of the change.
const char *
spec_change_key(const struct spec_change *change)
{
	if (change->kind == SPEC_KIND_ROUTE)
		return change->route.path;
	// Every other struct of the union begins with its name.
	return change->data_centre.name;
}

/// Returns the key of a kind's section in a note; a static string.
const char *
spec_kind_name(enum spec_kind kind)
{
	assert(kind < SPEC_KIND_COUNT);
	return sections[kind].key;
}

static void
check_unique(
    struct note_reader *r, const char *path, const struct spec_change *c)
{
	char *key =
	    g_strdup_printf("%s %s", sections[c->kind].key, spec_change_key(c));

	if (!g_hash_table_add(r->seen, key))
		schema_problem(&r->doc, path, "'%s' is named twice in %s",
		    spec_change_key(c), sections[c->kind].key);
}

static void
read_change(struct note_reader *r, const char *path, const json_t *value,
    enum spec_kind kind, enum spec_change_op op)
{
	const struct section *s = &sections[kind];
	struct spec_change c;
	bool ok;

	memset(&c, 0, sizeof(c));
	c.op = op;
	c.kind = kind;
	if (op == SPEC_OP_WITHDRAW)
		ok = schema_read_string(&r->doc, path, value,
		    kind == SPEC_KIND_ROUTE ? SCHEMA_PATH : SCHEMA_NAME,
		    c.route.path, s->name_bytes);
	else
		ok = schema_read(
		    &r->doc, path, value, s->fields, &c.data_centre);
	if (!ok)
		return;
	check_unique(r, path, &c);
	g_array_append_val(r->changes, c);
}

static void
read_list(struct note_reader *r, const char *path, const json_t *list,
    enum spec_kind kind, enum spec_change_op op)
{
	char item_path[SPEC_PATH_BYTES];
	size_t i;
	json_t *value;

	if (!json_is_array(list)) {
		schema_problem(&r->doc, path, "must be a list of %s",
		    op == SPEC_OP_WITHDRAW ? "names" : "objects");
		return;
	}
	json_array_foreach(list, i, value)
	{
		(void)g_snprintf(
		    item_path, sizeof(item_path), "%s[%zu]", path, i);
		read_change(r, item_path, value, kind, op);
	}
}

static void
read_section(struct note_reader *r, enum spec_kind kind)
{
	const char *key = sections[kind].key;
	const json_t *section = json_object_get(r->doc.root, key);
	char path[SPEC_PATH_BYTES];
	char unused;

	if (section == NULL)
		return;
	(void)g_snprintf(path, sizeof(path), "$.%s", key);
	(void)schema_read(&r->doc, path, section, section_fields, &unused);
	for (int op = 0; op < OP_COUNT; op++) {
		const json_t *list = json_object_get(section, op_names[op]);

		(void)g_snprintf(
		    path, sizeof(path), "$.%s.%s", key, op_names[op]);
		if (list != NULL)
			read_list(r, path, list, kind, (enum spec_change_op)op);
	}
}

static int
compare_changes(const void *a, const void *b)
{
	const struct spec_change *x = a;
	const struct spec_change *y = b;

	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	if (x->op != y->op)
		return x->op < y->op ? -1 : 1;
	return strcmp(spec_change_key(x), spec_change_key(y));
}

static void
finish_note(struct spec_note *note, GArray *changes)
{
	char *text;

	g_array_sort(changes, compare_changes);
	note->n_changes = changes->len;
	note->changes = g_memdup2(
	    changes->data, (size_t)changes->len * sizeof(struct spec_change));
	text = spec_canonical_json(note);
	note->content_hash = XXH64(text, strlen(text), 0);
	free(text);
}

/// Reads a release note and checks all that can be checked without the
/// configuration that it changes.
///
/// @param out       receives the note, to be released with spec_note_free(),
///                  or NULL after a failure; its changes are sorted by kind,
///                  operation and key
/// @param problems  every problem found is appended
/// @return STATUS_OK or STATUS_INVALID
enum status
spec_parse_note(const char *json, size_t len, struct spec_note **out,
    struct spec_problems *problems)
{
	struct note_reader r = { 0 };
	struct spec_note *note;
	enum status st;

	*out = NULL;
	if (!schema_open(&r.doc, json, len, problems))
		return status_fail(
		    STATUS_INVALID, "the note is not a JSON object");
	note = g_new0(struct spec_note, 1);
	r.changes = g_array_new(FALSE, FALSE, sizeof(struct spec_change));
	r.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	(void)schema_read(&r.doc, "$", r.doc.root, note_fields, note);
	for (int kind = 0; kind < SPEC_KIND_COUNT; kind++)
		read_section(&r, (enum spec_kind)kind);
	if (problems->n == r.doc.n_problems_before && r.changes->len == 0)
		schema_problem(&r.doc, "$", "changes nothing");
	finish_note(note, r.changes);
	g_array_free(r.changes, TRUE);
	g_hash_table_destroy(r.seen);
	st = schema_finish(&r.doc, "the note has");
	if (st == STATUS_OK)
		*out = note;
	else
		spec_note_free(note);
	return st;
}

/// Releases a note; NULL is allowed.
void
spec_note_free(struct spec_note *note)
{
	if (note == NULL)
		return;
	g_free(note->changes);
	g_free(note);
}

static json_t *
write_change(const struct spec_change *c)
{
	if (c->op == SPEC_OP_WITHDRAW)
		return json_string(spec_change_key(c));
	return schema_write(sections[c->kind].fields, &c->data_centre);
}

/// Returns a member of an object; creates it with `make` when it is absent.
static json_t *
get_or_create(json_t *object, const char *key, json_t *(*make)(void))
{
	json_t *value = json_object_get(object, key);

	if (value == NULL) {
		value = make();
		json_object_set_new(object, key, value);
	}
	return value;
}

/// Writes the canonical JSON of a note: equal content gives equal bytes.
///
/// @param note  with its changes sorted, as spec_parse_note() returns it
/// @return text to be released with free()
char *
spec_canonical_json(const struct spec_note *note)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "note", json_string(note->name));
	json_object_set_new(root, "base", json_integer((json_int_t)note->base));
	for (uint32_t i = 0; i < note->n_changes; i++) {
		const struct spec_change *c = &note->changes[i];
		json_t *section =
		    get_or_create(root, sections[c->kind].key, json_object);
		json_t *list =
		    get_or_create(section, op_names[c->op], json_array);

		json_array_append_new(list, write_change(c));
	}
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}
