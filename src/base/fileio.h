#ifndef BASE_FILEIO_H
#define BASE_FILEIO_H

#include <stddef.h>

#include "base/status.h"

/// Files that are read as a whole.

enum status fileio_read(const char *file, char **text, size_t *len);

#endif
