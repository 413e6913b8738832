#ifndef BASE_FL_H
#define BASE_FL_H

#include <stddef.h>

#include "base/st.h"

/// Files that are read as a whole.

enum st fl_read(const char *file, char **text, size_t *len);

#endif
