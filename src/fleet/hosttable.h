#ifndef FLEET_HOSTTABLE_H
#define FLEET_HOSTTABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "conf/settings.h"
#include "fleet/instance.h"

/// Known addresses of control processes, by their slots. An address is told by
/// its process, or by others that it told; that of a seed that hasn't told its
/// slot yet is assumed to have the first slot that no other address has.

struct hosttable;

/// A slot and its address, as processes tell each other.
struct hosttable_entry {
	uint32_t slot;
	char host[INSTANCE_HOST_BYTES];
};

struct hosttable *hosttable_new(const char *own);
void hosttable_free(struct hosttable *t);
bool hosttable_set(struct hosttable *t, uint32_t slot, const char *host);
void hosttable_forget(struct hosttable *t, uint32_t slot);
bool hosttable_is_free(const struct hosttable *t, uint32_t slot);
uint32_t hosttable_assume(struct hosttable *t, const char *host);
void hosttable_assume_seeds(
    struct hosttable *t, const struct settings_addr *seeds, uint32_t n);
uint32_t hosttable_slot(const struct hosttable *t, const char *host);
bool hosttable_fits(const struct hosttable *t, uint32_t slot, const char *host);
void hosttable_get(
    const struct hosttable *t, uint32_t slot, char out[INSTANCE_HOST_BYTES]);
bool hosttable_is_implied(
    const struct hosttable *t, uint32_t slot, const char *host);
GArray *hosttable_told(const struct hosttable *t);
GArray *hosttable_not_implied(const struct hosttable *t);

#endif
