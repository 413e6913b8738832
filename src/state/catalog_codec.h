#ifndef STATE_CATALOG_CODEC_H
#define STATE_CATALOG_CODEC_H

#include "state/catalog.h"

/// Encoding of the catalog's records as msgpack values. The same functions
/// write and read, as the codec says.
struct codec;

void catalog_codec_member(struct codec *m, struct catalog_member *v);
void catalog_codec_item(struct codec *m, enum spec_kind kind, void *item);
void catalog_codec_rollout(struct codec *m, struct catalog_rollout *v);

#endif
