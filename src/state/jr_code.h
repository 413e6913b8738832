#ifndef STATE_JR_CODE_H
#define STATE_JR_CODE_H

#include "state/jr.h"

/// A record of the journal as msgpack values, in both directions.
struct codec;

void jr_code_record(struct codec *m, struct jr_record *r);

#endif
