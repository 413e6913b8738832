#ifndef MEMBERS_ME_H
#define MEMBERS_ME_H

#include "placement/mb.h"
#include "replog/replica.h"

/// The members of a group as its leader sees them, for mb_next().

/// What the owner knows of a member: its data centre, whether that is to be
/// reclaimed, and whether a silent member counts as lost. `m->active` holds
/// what the log says; false leaves the member out.
typedef bool (*me_fill_cb)(
    void *arg, const struct replica_status *st, struct mb_member *m);

void me_world(const struct replica_status *st, uint32_t want_voters,
    me_fill_cb fill, void *arg, struct mb_world *out);
bool me_is_superseded(const struct replica_status *st, uint32_t id);

#endif
