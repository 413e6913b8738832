#include "conf/schema.h"
#include "base/hostport.h"
#include "conf/linemap.h"
#include "conf/problem.h"

#include <assert.h>
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// 2^53: a double holds every whole number below it exactly.
#define MAX_EXACT_DOUBLE 9007199254740992.0
#define ADDR_BYTES (SPEC_HOST_BYTES + 8)

/// Parses a JSON text, whose keys the caller then reads.
///
/// @param problems  every problem found is appended
/// @return true, and schema_finish() or schema_close() must follow; false when
///         the text is not a JSON object, and nothing needs to be released
bool
schema_open(struct schema_doc *d, const char *json, size_t len,
    struct spec_problems *problems)
{
	json_error_t error;

	*d = (struct schema_doc){ .problems = problems,
		.n_problems_before = problems->n };
	d->root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &error);
	if (d->root == NULL) {
		problem_add(
		    problems, "$", error.line, "not JSON: %s", error.text);
		return false;
	}
	if (!json_is_object(d->root)) {
		problem_add(problems, "$", 1, "must be an object");
		json_decref(d->root);
		return false;
	}
	d->lines = linemap_new(json, len);
	return true;
}

/// Releases what schema_open() allocated; the problems stay the caller's.
void
schema_close(struct schema_doc *d)
{
	linemap_free(d->lines);
	json_decref(d->root);
	*d = (struct schema_doc){ 0 };
}

/// Releases what schema_open() allocated and reports whether there were
/// problems since.
///
/// @param subject  start of the message in status_last(), as "settings have" in
///                 "settings have 2 mistakes"
/// @return STATUS_OK, or STATUS_INVALID after a problem
enum status
schema_finish(struct schema_doc *d, const char *subject)
{
	const size_t n = d->problems->n - d->n_problems_before;

	schema_close(d);
	if (n > 0)
		return status_fail(
		    STATUS_INVALID, "%s %zu mistakes", subject, n);
	return STATUS_OK;
}

/// Adds a problem at a JSON path, with the line of the path.
///
/// @param fmt  printf format of what is wrong and what is allowed
void
schema_problem(struct schema_doc *d, const char *path, const char *fmt, ...)
{
	char message[sizeof(((struct spec_problem *)NULL)->message)];
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	problem_add(
	    d->problems, path, linemap_line(d->lines, path), "%s", message);
}

static bool
is_name_byte(unsigned char c)
{
	return g_ascii_isalnum(c) || c >= 0x80 || strchr("._-", c) != NULL;
}

/// Whether a byte is allowed in a route's path without percent-encoding.
static bool
is_path_byte(unsigned char c)
{
	return c > ' ' && c < 0x7f && strchr("?#\"\\%", c) == NULL;
}

static bool
is_valid_text(const char *text, size_t len, enum schema_type type)
{
	if (type != SCHEMA_TEXT && len == 0)
		return false;
	if (type == SCHEMA_PATH && text[0] != '/')
		return false;
	for (size_t i = 0; i < len; i++) {
		const unsigned char c = (unsigned char)text[i];

		if (c < ' ' || c == 0x7f)
			return false;
		if (type == SCHEMA_NAME && !is_name_byte(c))
			return false;
		if (type == SCHEMA_PATH && !is_path_byte(c))
			return false;
	}
	return true;
}

static const char *
describe_valid_text(enum schema_type type)
{
	if (type == SCHEMA_NAME)
		return "letters, digits, '.', '_' and '-'";
	if (type == SCHEMA_PATH)
		return "'/' and then printable ASCII without ? # % \" \\";
	return "text without control characters";
}

/// Reads a string and checks its characters.
///
/// @param path  JSON path of the value
/// @param type  SCHEMA_NAME, SCHEMA_PATH or SCHEMA_TEXT
/// @param size  bytes of out, including the terminating zero
/// @return false after a problem, which is added; out is left as it was
bool
schema_read_string(struct schema_doc *d, const char *path, const json_t *value,
    enum schema_type type, char *out, size_t size)
{
	const size_t len = json_string_length(value);
	const char *text = json_string_value(value);

	if (text == NULL) {
		schema_problem(d, path, "must be a string");
		return false;
	}
	if (len >= size || !is_valid_text(text, len, type)) {
		schema_problem(d, path, "must be %d to %zu bytes: %s",
		    type == SCHEMA_TEXT ? 0 : 1, size - 1,
		    describe_valid_text(type));
		return false;
	}
	memcpy(out, text, len + 1);
	return true;
}

static bool
read_number(struct schema_doc *d, const char *path, const json_t *value,
    const struct schema_field *f, uint64_t *out)
{
	json_int_t n = json_integer_value(value);
	bool is_whole = json_is_integer(value);

	if (d->templated && json_is_real(value) &&
	    fabs(json_real_value(value)) < MAX_EXACT_DOUBLE) {
		n = (json_int_t)json_real_value(value);
		is_whole = !((double)n < json_real_value(value));
	}
	if (!is_whole || n < 0 || (uint64_t)n < f->min ||
	    (uint64_t)n > f->max) {
		schema_problem(d, path,
		    "must be a whole number from %" G_GUINT64_FORMAT
		    " to %" G_GUINT64_FORMAT,
		    f->min, f->max);
		return false;
	}
	*out = (uint64_t)n;
	return true;
}

static bool
read_real(struct schema_doc *d, const char *path, const json_t *value,
    const struct schema_field *f, double *out)
{
	const double n = json_number_value(value);

	if (!json_is_number(value) || !(n >= f->real_min && n <= f->real_max)) {
		schema_problem(d, path, "must be a number from %g to %g",
		    f->real_min, f->real_max);
		return false;
	}
	*out = n;
	return true;
}

static bool
read_time(
    struct schema_doc *d, const char *path, const json_t *value, uint64_t *out)
{
	const char *text = json_string_value(value);
	GDateTime *t = NULL;

	if (text != NULL)
		t = g_date_time_new_from_iso8601(text, NULL);
	if (t == NULL || g_date_time_to_unix(t) < 0) {
		schema_problem(
		    d, path, "must be a time as \"2026-12-04T18:00:00Z\"");
		if (t != NULL)
			g_date_time_unref(t);
		return false;
	}
	*out = (uint64_t)g_date_time_to_unix(t);
	g_date_time_unref(t);
	return true;
}

static bool
read_enum(struct schema_doc *d, const char *path, const json_t *value,
    const struct schema_field *f, void *out)
{
	const char *text = json_string_value(value);
	GString *allowed;
	unsigned i;

	for (i = 0; text != NULL && f->names[i] != NULL; i++) {
		if (strcmp(f->names[i], text) == 0) {
			memcpy(out, &i, sizeof(i));
			return true;
		}
	}
	allowed = g_string_new("");
	for (i = 0; f->names[i] != NULL; i++)
		g_string_append_printf(
		    allowed, "%s\"%s\"", i > 0 ? ", " : "", f->names[i]);
	schema_problem(d, path, "must be one of %s", allowed->str);
	g_string_free(allowed, TRUE);
	return false;
}

/// Reads an IP address and a port from a string.
///
/// @param path  JSON path of the value
/// @return false after a problem, which is added
bool
schema_read_address(struct schema_doc *d, const char *path, const json_t *value,
    char host[SPEC_HOST_BYTES], uint16_t *port)
{
	const char *text = json_string_value(value);

	if (text == NULL ||
	    !hostport_split(text, host, SPEC_HOST_BYTES, port)) {
		schema_problem(d, path,
		    "must be an IP number and port, as \"127.0.0.1:8000\" "
		    "or \"[::1]:8000\"");
		return false;
	}
	return true;
}

/// Compares two names of a list, each stored in SPEC_NAME_BYTES bytes.
static int
compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

static bool
read_names(struct schema_doc *d, const char *path, const json_t *value,
    const struct schema_field *f, char *out, uint32_t *n)
{
	char item_path[SPEC_PATH_BYTES];
	bool ok = true;

	if (!json_is_array(value) || json_array_size(value) > f->size) {
		schema_problem(
		    d, path, "must be a list of at most %zu names", f->size);
		return false;
	}
	*n = (uint32_t)json_array_size(value);
	for (uint32_t i = 0; i < *n; i++) {
		(void)g_snprintf(
		    item_path, sizeof(item_path), "%s[%u]", path, i);
		ok &= schema_read_string(d, item_path, json_array_get(value, i),
		    SCHEMA_NAME, out + (size_t)i * SPEC_NAME_BYTES,
		    SPEC_NAME_BYTES);
	}
	if (!ok)
		return false;
	qsort(out, *n, SPEC_NAME_BYTES, compare_names);
	for (uint32_t i = 1; i < *n; i++) {
		const char *name = out + (size_t)i * SPEC_NAME_BYTES;

		if (strcmp(name, name - SPEC_NAME_BYTES) == 0) {
			schema_problem(d, path, "names '%s' twice", name);
			return false;
		}
	}
	return true;
}

static bool
read_field(struct schema_doc *d, const char *path, const json_t *value,
    const struct schema_field *f, char *out)
{
	void *dest = out + f->offset;
	uint64_t n;

	switch (f->type) {
	case SCHEMA_NAME:
		return schema_read_string(
		    d, path, value, SCHEMA_NAME, dest, SPEC_NAME_BYTES);
	case SCHEMA_PATH:
		return schema_read_string(
		    d, path, value, SCHEMA_PATH, dest, SPEC_PATH_BYTES);
	case SCHEMA_TEXT:
		return schema_read_string(
		    d, path, value, SCHEMA_TEXT, dest, f->size);
	case SCHEMA_BOOL:
		if (!json_is_boolean(value)) {
			schema_problem(d, path, "must be true or false");
			return false;
		}
		*(bool *)dest = json_is_true(value);
		return true;
	case SCHEMA_U32:
		if (!read_number(d, path, value, f, &n))
			return false;
		*(uint32_t *)dest = (uint32_t)n;
		return true;
	case SCHEMA_U16:
		if (!read_number(d, path, value, f, &n))
			return false;
		*(uint16_t *)dest = (uint16_t)n;
		return true;
	case SCHEMA_DOUBLE:
		return read_real(d, path, value, f, dest);
	case SCHEMA_U64:
		return read_number(d, path, value, f, dest);
	case SCHEMA_TIME:
		return read_time(d, path, value, dest);
	case SCHEMA_ENUM:
		return read_enum(d, path, value, f, dest);
	case SCHEMA_ADDR:
		return schema_read_address(
		    d, path, value, dest, (uint16_t *)(out + f->offset2));
	case SCHEMA_NAME_LIST:
		return read_names(
		    d, path, value, f, dest, (uint32_t *)(out + f->offset2));
	case SCHEMA_CUSTOM:
		return true;
	}
	return false;
}

/// Sets a field to its default.
static void
set_default(const struct schema_field *f, char *out)
{
	const unsigned enum_value = (unsigned)f->default_value;

	if (f->type == SCHEMA_U32)
		*(uint32_t *)(out + f->offset) = (uint32_t)f->default_value;
	else if (f->type == SCHEMA_U16)
		*(uint16_t *)(out + f->offset) = (uint16_t)f->default_value;
	else if (f->type == SCHEMA_DOUBLE)
		*(double *)(void *)(out + f->offset) = f->real_default;
	else if (f->type == SCHEMA_U64)
		*(uint64_t *)(out + f->offset) = f->default_value;
	else if (f->type == SCHEMA_ENUM)
		memcpy(out + f->offset, &enum_value, sizeof(enum_value));
}

/// Whether a key is absent; null and "" count as absent in a filled template.
static bool
is_absent(const struct schema_doc *d, const json_t *value)
{
	if (value == NULL)
		return true;
	return d->templated &&
	    (json_is_null(value) ||
		(json_is_string(value) && json_string_length(value) == 0));
}

static const struct schema_field *
find_field(const struct schema_field *fields, const char *key)
{
	for (const struct schema_field *f = fields; f->key != NULL; f++) {
		if (strcmp(f->key, key) == 0)
			return f;
	}
	return NULL;
}

static void
report_unknown_key(
    struct schema_doc *d, const char *path, const struct schema_field *fields)
{
	GString *allowed = g_string_new("");

	for (const struct schema_field *f = fields; f->key != NULL; f++)
		g_string_append_printf(
		    allowed, "%s%s", f == fields ? "" : ", ", f->key);
	schema_problem(d, path, "unknown key; allowed: %s", allowed->str);
	g_string_free(allowed, TRUE);
}

/// Reads an object by a table of fields.
///
/// @param path  JSON path of the object
/// @param out   zeroed struct; a field whose value is invalid gets its default,
///              except that a list of names may be read in part
/// @return whether there was no problem; problems are added to the document
bool
schema_read(struct schema_doc *d, const char *path, const json_t *object,
    const struct schema_field *fields, void *out)
{
	char field_path[SPEC_PATH_BYTES];
	bool ok = true;
	const char *key;
	json_t *value;

	if (!json_is_object(object)) {
		schema_problem(d, path, "must be an object");
		return false;
	}
	json_object_foreach((json_t *)object, key, value)
	{
		if (find_field(fields, key) != NULL)
			continue;
		(void)g_snprintf(
		    field_path, sizeof(field_path), "%s.%s", path, key);
		report_unknown_key(d, field_path, fields);
		ok = false;
	}
	for (const struct schema_field *f = fields; f->key != NULL; f++) {
		(void)g_snprintf(
		    field_path, sizeof(field_path), "%s.%s", path, f->key);
		value = json_object_get(object, f->key);
		set_default(f, out);
		if (!is_absent(d, value)) {
			ok &= read_field(d, field_path, value, f, out);
		} else if (f->required) {
			schema_problem(d, field_path, "is missing");
			ok = false;
		}
	}
	return ok;
}

static json_t *
write_time(uint64_t seconds)
{
	GDateTime *t = g_date_time_new_from_unix_utc((gint64)seconds);
	gchar *text = g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ");
	json_t *value = json_string(text);

	g_free(text);
	g_date_time_unref(t);
	return value;
}

static json_t *
write_address(const char *host, uint16_t port)
{
	char text[ADDR_BYTES];
	const bool is_ipv6 = strchr(host, ':') != NULL;

	(void)g_snprintf(text, sizeof(text), is_ipv6 ? "[%s]:%u" : "%s:%u",
	    host, (unsigned)port);
	return json_string(text);
}

static json_t *
write_names(const char *names, uint32_t n)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(
		    list, json_string(names + (size_t)i * SPEC_NAME_BYTES));
	return list;
}

/// Returns the JSON value of a field, or NULL where the key may be omitted
/// since reading gives the same value without it.
static json_t *
write_field(const struct schema_field *f, const char *in)
{
	const char *src = in + f->offset;
	uint32_t count;
	unsigned enum_value;

	switch (f->type) {
	case SCHEMA_NAME:
	case SCHEMA_PATH:
	case SCHEMA_TEXT:
		return src[0] == '\0' ? NULL : json_string(src);
	case SCHEMA_BOOL:
		if (!*(const bool *)src && !f->required)
			return NULL;
		return json_boolean(*(const bool *)src);
	case SCHEMA_U32:
		if (*(const uint32_t *)src == f->default_value && !f->required)
			return NULL;
		return json_integer(*(const uint32_t *)src);
	case SCHEMA_U16:
		if (*(const uint16_t *)src == f->default_value && !f->required)
			return NULL;
		return json_integer(*(const uint16_t *)src);
	case SCHEMA_DOUBLE:
		return json_real(*(const double *)(const void *)src);
	case SCHEMA_U64:
		if (*(const uint64_t *)src == f->default_value && !f->required)
			return NULL;
		return json_integer((json_int_t) * (const uint64_t *)src);
	case SCHEMA_TIME:
		if (*(const uint64_t *)src == 0)
			return NULL;
		return write_time(*(const uint64_t *)src);
	case SCHEMA_ENUM:
		memcpy(&enum_value, src, sizeof(enum_value));
		if (enum_value == f->default_value && !f->required)
			return NULL;
		return json_string(f->names[enum_value]);
	case SCHEMA_ADDR:
		return write_address(src, *(const uint16_t *)(in + f->offset2));
	case SCHEMA_NAME_LIST:
		count = *(const uint32_t *)(in + f->offset2);
		return count == 0 ? NULL : write_names(src, count);
	case SCHEMA_CUSTOM:
		return NULL;
	}
	return NULL;
}

/// Writes a struct by the table that reads it. Optional keys whose value is the
/// default are omitted.
///
/// @return a new reference, to be released with json_decref()
json_t *
schema_write(const struct schema_field *fields, const void *in)
{
	json_t *object = json_object();

	for (const struct schema_field *f = fields; f->key != NULL; f++) {
		json_t *value = write_field(f, in);

		if (value != NULL)
			json_object_set_new(object, f->key, value);
	}
	return object;
}
