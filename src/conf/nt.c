#include "conf/nt.h"
#include "conf/fd.h"

#include <assert.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define OPS 3
#define PRICE_MAX_MICROS 1000000000000ULL
#define WEIGHT_MAX_BYTES 100000000000000ULL
#define TIME_MAX_MS 86400000

static const char *const server_kinds[] = { "runner", "service", NULL };
static const char *const modes[] = { "stream", "at_once", "later", NULL };
static const char *const ops[OPS] = { "add", "change", "withdraw" };

#define AT(s, f) .offset = offsetof(struct s, f)
#define AT2(s, f) .offset2 = offsetof(struct s, f)
#define RANGE(a, b) .min = (a), .max = (b)

static const struct fd_field data_centre_fields[] = {
	{ "name", FD_NAME, true, AT(nt_data_centre, name) },
	{ "region", FD_NAME, true, AT(nt_data_centre, region) },
	{ "reclaiming", FD_BOOL, false, AT(nt_data_centre, reclaiming) },
	{ .key = NULL },
};

static const struct fd_field vm_class_fields[] = {
	{ "name", FD_NAME, true, AT(nt_vm_class, name) },
	{ "data_centre", FD_NAME, true, AT(nt_vm_class, data_centre) },
	{ "reclaimable", FD_BOOL, true, AT(nt_vm_class, reclaimable) },
	{ "price_micros_per_hour", FD_U64, true,
	    AT(nt_vm_class, price_micros_per_hour),
	    RANGE(0, PRICE_MAX_MICROS) },
	{ "accelerators", FD_U32, false, AT(nt_vm_class, accelerators),
	    RANGE(0, 1024) },
	{ "tokens_per_s", FD_U32, false, AT(nt_vm_class, tokens_per_s),
	    RANGE(0, 100000000) },
	{ "max_vms", FD_U32, true, AT(nt_vm_class, max_vms), RANGE(0, 100000) },
	{ .key = NULL },
};

static const struct fd_field pool_fields[] = {
	{ "name", FD_NAME, true, AT(nt_pool, name) },
	{ "kind", FD_ENUM, true, AT(nt_pool, kind), .names = server_kinds },
	{ .key = NULL },
};

static const struct fd_field server_fields[] = {
	{ "name", FD_NAME, true, AT(nt_server, name) },
	{ "pool", FD_NAME, true, AT(nt_server, pool) },
	{ "data_centre", FD_NAME, true, AT(nt_server, data_centre) },
	{ "address", FD_ADDR, true, AT(nt_server, host), AT2(nt_server, port) },
	{ "versions", FD_NAMES, false, AT(nt_server, versions),
	    AT2(nt_server, n_versions), .size = NT_MAX_VERSIONS_PER_SERVER },
	{ "fenced", FD_BOOL, false, AT(nt_server, fenced) },
	{ .key = NULL },
};

static const struct fd_field version_fields[] = {
	{ "name", FD_NAME, true, AT(nt_version, name) },
	{ "pool", FD_NAME, true, AT(nt_version, pool) },
	{ "replaces", FD_NAME, false, AT(nt_version, replaces) },
	{ "complete_by", FD_TIME, false, AT(nt_version, complete_by_s) },
	{ "weight_bytes", FD_U64, false, AT(nt_version, weight_bytes),
	    RANGE(0, WEIGHT_MAX_BYTES) },
	{ .key = NULL },
};

static const struct fd_field adapter_fields[] = {
	{ "name", FD_NAME, true, AT(nt_adapter, name) },
	{ "version", FD_NAME, true, AT(nt_adapter, version) },
	{ "weight_bytes", FD_U64, false, AT(nt_adapter, weight_bytes),
	    RANGE(0, WEIGHT_MAX_BYTES) },
	{ .key = NULL },
};

static const struct fd_field route_fields[] = {
	{ "path", FD_PATH, true, AT(nt_route, path) },
	{ "pool", FD_NAME, true, AT(nt_route, pool) },
	{ "mode", FD_ENUM, true, AT(nt_route, mode), .names = modes },
	{ "idempotent", FD_BOOL, true, AT(nt_route, idempotent) },
	{ "priority", FD_U32, false, AT(nt_route, priority), RANGE(0, 9),
	    .absent = 5 },
	{ "first_token_ms", FD_U32, false, AT(nt_route, first_token_ms),
	    RANGE(1, TIME_MAX_MS), .absent = 1000 },
	{ "between_tokens_ms", FD_U32, false, AT(nt_route, between_tokens_ms),
	    RANGE(1, TIME_MAX_MS), .absent = 100 },
	{ "timeout_ms", FD_U32, false, AT(nt_route, timeout_ms),
	    RANGE(1, TIME_MAX_MS), .absent = 60000 },
	{ .key = NULL },
};

static const struct fd_field customer_fields[] = {
	{ "name", FD_NAME, true, AT(nt_customer, name) },
	{ "key_hash", FD_TEXT, false, AT(nt_customer, key_hash),
	    .size = NT_NAME_BYTES },
	{ "weight", FD_U32, false, AT(nt_customer, weight), RANGE(1, 1000),
	    .absent = 1 },
	{ .key = NULL },
};

/// Sections of a note, by enum nt_kind.
static const struct section {
	const char *key;
	const struct fd_field *fields;
	size_t name_bytes;
} sections[NT_KINDS] = {
	[NT_DATA_CENTRE] = { "data_centres", data_centre_fields,
	    NT_NAME_BYTES },
	[NT_VM_CLASS] = { "vm_classes", vm_class_fields, NT_NAME_BYTES },
	[NT_POOL] = { "pools", pool_fields, NT_NAME_BYTES },
	[NT_BACKEND_SERVER] = { "backend_servers", server_fields,
	    NT_NAME_BYTES },
	[NT_VERSION] = { "versions", version_fields, NT_NAME_BYTES },
	[NT_ADAPTER] = { "adapters", adapter_fields, NT_NAME_BYTES },
	[NT_ROUTE] = { "routes", route_fields, NT_PATH_BYTES },
	[NT_CUSTOMER] = { "customers", customer_fields, NT_NAME_BYTES },
};

static const struct fd_field note_fields[] = {
	{ "note", FD_NAME, true, AT(nt_note, name) },
	{ "base", FD_U64, true, AT(nt_note, base), RANGE(0, INT64_MAX) },
	{ .key = "data_centres", .type = FD_OTHER },
	{ .key = "vm_classes", .type = FD_OTHER },
	{ .key = "pools", .type = FD_OTHER },
	{ .key = "versions", .type = FD_OTHER },
	{ .key = "adapters", .type = FD_OTHER },
	{ .key = "backend_servers", .type = FD_OTHER },
	{ .key = "routes", .type = FD_OTHER },
	{ .key = "customers", .type = FD_OTHER },
	{ .key = NULL },
};

static const struct fd_field section_fields[] = {
	{ .key = "add", .type = FD_OTHER },
	{ .key = "change", .type = FD_OTHER },
	{ .key = "withdraw", .type = FD_OTHER },
	{ .key = NULL },
};

/// A note being read.
struct reader {
	struct fd_doc doc;
	GArray *changes;  ///< of struct nt_change
	GHashTable *seen; ///< "<section> <key>"
};

/// Key of what a change is about: the path of a route, else the name.
const char *
nt_change_key(const struct nt_change *change)
{
	if (change->kind == NT_ROUTE)
		return change->route.path;
	// Every other item begins with its name.
	return change->data_centre.name;
}

/// Name of a kind's section in a note.
const char *
nt_kind_name(enum nt_kind kind)
{
	assert(kind < NT_KINDS);
	return sections[kind].key;
}

static void
check_once(struct reader *r, const char *path, const struct nt_change *c)
{
	char *key =
	    g_strdup_printf("%s %s", sections[c->kind].key, nt_change_key(c));

	if (!g_hash_table_add(r->seen, key))
		fd_problem(&r->doc, path, "'%s' is named twice in %s",
		    nt_change_key(c), sections[c->kind].key);
}

static void
read_change(struct reader *r, const char *path, const json_t *value,
    enum nt_kind kind, enum nt_op op)
{
	const struct section *s = &sections[kind];
	struct nt_change c;
	bool good;

	memset(&c, 0, sizeof(c));
	c.op = op;
	c.kind = kind;
	if (op == NT_WITHDRAW)
		good = fd_name(&r->doc, path, value,
		    kind == NT_ROUTE ? FD_PATH : FD_NAME, c.route.path,
		    s->name_bytes);
	else
		good = fd_read(&r->doc, path, value, s->fields, &c.data_centre);
	if (!good)
		return;
	check_once(r, path, &c);
	g_array_append_val(r->changes, c);
}

static void
read_list(struct reader *r, const char *path, const json_t *list,
    enum nt_kind kind, enum nt_op op)
{
	char at[NT_PATH_BYTES];
	size_t i;
	json_t *value;

	if (!json_is_array(list)) {
		fd_problem(&r->doc, path, "must be a list of %s",
		    op == NT_WITHDRAW ? "names" : "objects");
		return;
	}
	json_array_foreach(list, i, value)
	{
		(void)g_snprintf(at, sizeof(at), "%s[%zu]", path, i);
		read_change(r, at, value, kind, op);
	}
}

static void
read_section(struct reader *r, enum nt_kind kind)
{
	const char *key = sections[kind].key;
	const json_t *section = json_object_get(r->doc.root, key);
	char path[NT_PATH_BYTES];
	char nothing;

	if (section == NULL)
		return;
	(void)g_snprintf(path, sizeof(path), "$.%s", key);
	(void)fd_read(&r->doc, path, section, section_fields, &nothing);
	for (int op = 0; op < OPS; op++) {
		const json_t *list = json_object_get(section, ops[op]);

		(void)g_snprintf(path, sizeof(path), "$.%s.%s", key, ops[op]);
		if (list != NULL)
			read_list(r, path, list, kind, (enum nt_op)op);
	}
}

static int
compare_changes(const void *a, const void *b)
{
	const struct nt_change *x = a;
	const struct nt_change *y = b;

	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	if (x->op != y->op)
		return x->op < y->op ? -1 : 1;
	return strcmp(nt_change_key(x), nt_change_key(y));
}

static void
finish_note(struct nt_note *note, GArray *changes)
{
	char *text;

	g_array_sort(changes, compare_changes);
	note->n_changes = changes->len;
	note->changes = g_memdup2(
	    changes->data, (size_t)changes->len * sizeof(struct nt_change));
	text = nt_canonical(note);
	note->content_hash = XXH64(text, strlen(text), 0);
	free(text);
}

/// Reads a note and checks all that can be told from the note alone.
///
/// @param out       receives the note, to be released with nt_note_free();
///                  its changes are sorted by kind, operation and key
/// @param problems  receives every mistake
/// @return STATUS_OK or STATUS_INVALID
enum status
nt_parse(const char *json, size_t len, struct nt_note **out,
    struct nt_problems *problems)
{
	struct reader r = { 0 };
	struct nt_note *note;
	enum status st;

	*out = NULL;
	if (!fd_open(&r.doc, json, len, problems))
		return status_fail(
		    STATUS_INVALID, "the note is not a JSON object");
	note = g_new0(struct nt_note, 1);
	r.changes = g_array_new(FALSE, FALSE, sizeof(struct nt_change));
	r.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	(void)fd_read(&r.doc, "$", r.doc.root, note_fields, note);
	for (int kind = 0; kind < NT_KINDS; kind++)
		read_section(&r, (enum nt_kind)kind);
	if (problems->n == r.doc.before && r.changes->len == 0)
		fd_problem(&r.doc, "$", "changes nothing");
	finish_note(note, r.changes);
	g_array_free(r.changes, TRUE);
	g_hash_table_destroy(r.seen);
	st = fd_finish(&r.doc, "the note has");
	if (st == STATUS_OK)
		*out = note;
	else
		nt_note_free(note);
	return st;
}

/// Releases a note; NULL is allowed.
void
nt_note_free(struct nt_note *note)
{
	if (note == NULL)
		return;
	g_free(note->changes);
	g_free(note);
}

static json_t *
write_change(const struct nt_change *c)
{
	if (c->op == NT_WITHDRAW)
		return json_string(nt_change_key(c));
	return fd_write(sections[c->kind].fields, &c->data_centre);
}

/// Member of an object, made by `make` when absent.
static json_t *
member(json_t *object, const char *key, json_t *(*make)(void))
{
	json_t *value = json_object_get(object, key);

	if (value == NULL) {
		value = make();
		json_object_set_new(object, key, value);
	}
	return value;
}

/// Canonical JSON of a note: equal content gives equal bytes.
///
/// @param note  with its changes sorted, as nt_parse() gives it
/// @return text to be released with free()
char *
nt_canonical(const struct nt_note *note)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "note", json_string(note->name));
	json_object_set_new(root, "base", json_integer((json_int_t)note->base));
	for (uint32_t i = 0; i < note->n_changes; i++) {
		const struct nt_change *c = &note->changes[i];
		json_t *section =
		    member(root, sections[c->kind].key, json_object);
		json_t *list = member(section, ops[c->op], json_array);

		json_array_append_new(list, write_change(c));
	}
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}
