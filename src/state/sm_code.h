#ifndef STATE_SM_CODE_H
#define STATE_SM_CODE_H

#include "state/sm.h"

/// Records of the configuration as msgpack values, in both directions.
struct codec;

void sm_code_member(struct codec *m, struct sm_member *v);
void sm_code_item(struct codec *m, enum nt_kind kind, void *item);
void sm_code_move(struct codec *m, struct sm_move *v);

#endif
