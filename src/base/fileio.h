#ifndef BASE_FILEIO_H
#define BASE_FILEIO_H

#include <stddef.h>

#include "base/status.h"

enum status fileio_read(const char *file, char **text, size_t *len);

#endif
