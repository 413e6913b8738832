#ifndef STATE_JOURNAL_CODEC_H
#define STATE_JOURNAL_CODEC_H

#include "state/journal.h"

/// A record of the journal as msgpack values, in both directions.
struct codec;

void journal_codec_record(struct codec *m, struct journal_record *r);

#endif
