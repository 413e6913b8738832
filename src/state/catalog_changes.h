#ifndef STATE_CATALOG_CHANGES_H
#define STATE_CATALOG_CHANGES_H

#include "state/catalog_internal.h"

void catalog_append_change(struct catalog *s, const uint8_t *bytes, size_t len);
void catalog_clear_changes(struct catalog *s);

#endif
