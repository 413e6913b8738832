#ifndef CONF_SCHEMA_H
#define CONF_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "conf/spec.h"

/// Reads JSON objects into structs, and writes them, by tables of fields. Every
/// problem in a text is reported, not just the first.

struct json_t;
struct linemap;

enum schema_type {
	SCHEMA_NAME, ///< char[SPEC_NAME_BYTES]: letters, digits, '.', '_', '-'
	SCHEMA_TEXT, ///< char[size], any text without control characters
	SCHEMA_PATH, ///< char[SPEC_PATH_BYTES]: path of an HTTP route
	SCHEMA_BOOL, ///< bool
	SCHEMA_U16,  ///< uint16_t, min .. max
	SCHEMA_DOUBLE,    ///< double, real_min .. real_max
	SCHEMA_U32,       ///< uint32_t, min .. max
	SCHEMA_U64,       ///< uint64_t, min .. max
	SCHEMA_TIME,      ///< uint64_t: seconds since 1970, ISO 8601 in JSON
	SCHEMA_ENUM,      ///< an enum: index of the string in `names`
	SCHEMA_ADDR,      ///< char[SPEC_HOST_BYTES] and, at offset2, uint16_t
	SCHEMA_NAME_LIST, ///< char[size][SPEC_NAME_BYTES], sorted, without
			  ///< duplicates; at offset2 the count, uint32_t
	SCHEMA_CUSTOM,    ///< allowed key that the caller reads itself
};

/// One key of an object and the struct field that it is read into.
struct schema_field {
	const char *key; ///< NULL ends a table
	enum schema_type type;
	bool required;
	size_t offset;  ///< of the struct field
	size_t offset2; ///< of the second struct field, for types that have one
	size_t size;    ///< bytes of a text, or most names of a list
	uint64_t min;
	uint64_t max;
	uint64_t default_value;   ///< when the key is absent
	const char *const *names; ///< strings of an enum, NULL-terminated
	double real_min;          ///< the last three are for SCHEMA_DOUBLE
	double real_max;
	double real_default;
};

/// A JSON text that is being read.
struct schema_doc {
	struct json_t *root;
	struct linemap *lines;
	struct spec_problems *problems; ///< the caller's
	size_t n_problems_before;       ///< in `problems` when it was opened
	/// The text was filled in from a template: null or "" counts as an
	/// absent key, and a whole number may be written as a real.
	bool templated;
};

bool schema_open(struct schema_doc *d, const char *json, size_t len,
    struct spec_problems *problems);
void schema_close(struct schema_doc *d);
enum status schema_finish(struct schema_doc *d, const char *subject);
void schema_problem(struct schema_doc *d, const char *path, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));
bool schema_read(struct schema_doc *d, const char *path,
    const struct json_t *object, const struct schema_field *fields, void *out);
bool schema_read_string(struct schema_doc *d, const char *path,
    const struct json_t *value, enum schema_type type, char *out, size_t size);
bool schema_read_address(struct schema_doc *d, const char *path,
    const struct json_t *value, char host[SPEC_HOST_BYTES], uint16_t *port);
struct json_t *schema_write(const struct schema_field *fields, const void *in);

#endif
