#ifndef STATE_JOURNAL_CODEC_H
#define STATE_JOURNAL_CODEC_H

#include "state/journal.h"

/// Encoding of the journal's records as msgpack values. The same functions
/// write and read, as the codec says.
struct codec;

void journal_codec_record(struct codec *m, struct journal_record *r);

#endif
