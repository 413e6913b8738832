#ifndef CONF_FD_H
#define CONF_FD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "conf/nt.h"

/// Reading and writing of JSON objects by tables of fields, with every
/// mistake noted.

struct json_t;
struct ln_map;

enum fd_type {
	FD_NAME,  ///< char[NT_NAME_BYTES]: letters, digits, '.', '_', '-'
	FD_TEXT,  ///< char[size], any text without control characters
	FD_PATH,  ///< char[NT_PATH_BYTES]: path of an HTTP route
	FD_BOOL,  ///< bool
	FD_U16,   ///< uint16_t, min .. max
	FD_REAL,  ///< double, least .. most
	FD_U32,   ///< uint32_t, min .. max
	FD_U64,   ///< uint64_t, min .. max
	FD_TIME,  ///< uint64_t: seconds since 1970, ISO 8601 in JSON
	FD_ENUM,  ///< an enum, by `names`
	FD_ADDR,  ///< char[NT_HOST_BYTES] and, at offset2, uint16_t
	FD_NAMES, ///< char[size][NT_NAME_BYTES], count at offset2: uint32_t
	FD_OTHER, ///< known key that the caller reads itself
};

struct fd_field {
	const char *key; ///< NULL ends a table
	enum fd_type type;
	bool required;
	size_t offset;
	size_t offset2;
	size_t size;
	uint64_t min;
	uint64_t max;
	uint64_t absent; ///< value when the key is absent
	const char *const *names;
	double least; ///< FD_REAL, as the next two
	double most;
	double real_absent;
};

/// A text being read.
struct fd_doc {
	struct json_t *root;
	struct ln_map *lines;
	struct nt_problems *problems;
	size_t before; ///< problems that were there when it was opened
	/// Filled in from a template: null or "" stands for an absent key, and
	/// a whole number may be written as a real.
	bool templated;
};

bool fd_open(struct fd_doc *d, const char *json, size_t len,
    struct nt_problems *problems);
void fd_close(struct fd_doc *d);
enum status fd_finish(struct fd_doc *d, const char *what);
void fd_problem(struct fd_doc *d, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
bool fd_read(struct fd_doc *d, const char *path, const struct json_t *object,
    const struct fd_field *fields, void *out);
bool fd_name(struct fd_doc *d, const char *path, const struct json_t *value,
    enum fd_type type, char *out, size_t size);
bool fd_address(struct fd_doc *d, const char *path, const struct json_t *value,
    char host[NT_HOST_BYTES], uint16_t *port);
struct json_t *fd_write(const struct fd_field *fields, const void *in);

#endif
