#ifndef BACK_JSONLIST_H
#define BACK_JSONLIST_H

#include <jansson.h>
#include <stddef.h>

/// Reads lists that several writers share: what one of them wrote badly doesn't
/// hide the entries of the others.

json_t *jsonlist_load(const char *text, size_t len, size_t *n_invalid);

#endif
