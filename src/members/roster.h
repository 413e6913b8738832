#ifndef MEMBERS_ROSTER_H
#define MEMBERS_ROSTER_H

#include "placement/member.h"
#include "replog/replica.h"

/// The members of a group as its leader sees them, for member_next_change().

/// What the owner knows of a member: its data centre, whether that is to be
/// reclaimed, and whether a silent member counts as lost. `m->active` holds
/// what the log says; false leaves the member out.
typedef bool (*roster_fill_cb)(
    void *arg, const struct replica_status *st, struct member_info *m);

void roster_build(const struct replica_status *st, uint32_t want_voters,
    roster_fill_cb fill, void *arg, struct member_inputs *out);
bool roster_is_superseded(const struct replica_status *st, uint32_t id);

#endif
