#ifndef MEMBERS_ROSTER_H
#define MEMBERS_ROSTER_H

#include "placement/member.h"
#include "replog/replica.h"

/// The members of a group as its leader sees them, for member_next_change().

/// Sets what the owner of the group knows of a member: its data centre, whether
/// it is draining, and whether a member without recent contact counts as lost.
/// Before the call `m->active` has the log's value; the callback may change it.
///
/// @return false to leave the member out
typedef bool (*roster_fill_cb)(
    void *arg, const struct replica_status *st, struct member_info *m);

void roster_build(const struct replica_status *st, uint32_t want_voters,
    roster_fill_cb fill, void *arg, struct member_inputs *out);
bool roster_is_superseded(const struct replica_status *st, uint32_t id);

#endif
