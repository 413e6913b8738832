#include "replog/raft_internal.h"

#include "base/inv.h"

#include <string.h>

static void
clear_entry(gpointer p)
{
	struct raft_entry *e = p;

	g_free(e->data);
}

static struct raft_entry *
entry_slot(const struct raft_core *c, uint64_t index)
{
	return &g_array_index(
	    c->log, struct raft_entry, index - c->base_index - 1);
}

/// Entry at an index, valid until the next step; NULL if the log doesn't hold
/// it (any more).
const struct raft_entry *
raft_entry_at(const struct raft_core *c, uint64_t index)
{
	if (index <= c->base_index || index > raft_last_index(c))
		return NULL;
	return entry_slot(c, index);
}

/// Term of the entry at an index that the log holds or starts right after,
/// else 0.
uint64_t
raft_term_at(const struct raft_core *c, uint64_t index)
{
	if (index == c->base_index)
		return c->base_term;
	if (index < c->base_index || index > raft_last_index(c))
		return 0;
	return entry_slot(c, index)->term;
}

/// Index of the last entry, or of the snapshot if none follows.
uint64_t
raft_last_index(const struct raft_core *c)
{
	return c->base_index + c->log->len;
}

/// Queues the advance of synced_index up to an index by this step's sync.
static void
track_write(struct raft_core *c, uint64_t index)
{
	const uint64_t seq = raft_mark_write(c);
	struct raft_pending *last = g_queue_peek_tail(&c->pending);
	struct raft_pending *p;

	if (last != NULL && last->kind == RAFT_PENDING_LOG &&
	    last->seq == seq) {
		last->index = index;
		return;
	}
	p = g_new0(struct raft_pending, 1);
	p->kind = RAFT_PENDING_LOG;
	p->seq = seq;
	p->index = index;
	g_queue_push_tail(&c->pending, p);
}

static void
store_entry(struct raft_core *c, const struct raft_entry *e)
{
	struct raft_entry copy = *e;

	copy.data = g_memdup2(e->data, e->len);
	g_array_append_val(c->log, copy);
	if (copy.kind == RAFT_MEMBERS)
		raft_members_push(c, &copy);
}

/// Appends an entry at the end of the log and emits its write.
///
/// @param e  its index must be the next one; the data are copied
void
raft_log_append(struct raft_core *c, const struct raft_entry *e)
{
	struct raft_effect *fx;

	inv_check(e->index == raft_last_index(c) + 1, "replog.no_gap",
	    "index=%" PRIu64 " last=%" PRIu64, e->index, raft_last_index(c));
	store_entry(c, e);
	fx = raft_emit(c, RAFT_EFFECT_APPEND);
	fx->entry = *entry_slot(c, e->index);
	track_write(c, e->index);
}

/// Keeps the sync of overwritten entries from counting for the new ones.
static void
limit_pending(struct raft_core *c, uint64_t last)
{
	for (GList *l = c->pending.head; l != NULL; l = l->next) {
		struct raft_pending *p = l->data;

		if (p->kind == RAFT_PENDING_LOG && p->index > last)
			p->index = last;
	}
}

/// Truncates the log from an index on, where it conflicts with the leader's.
void
raft_log_truncate(struct raft_core *c, uint64_t from)
{
	inv_check(from > c->commit, "replog.committed_stays",
	    "from=%" PRIu64 " commit=%" PRIu64, from, c->commit);
	g_array_set_size(c->log, (guint)(from - c->base_index - 1));
	raft_members_truncate(c, from);
	c->synced_index = MIN(c->synced_index, from - 1);
	c->verified_index = MIN(c->verified_index, from - 1);
	limit_pending(c, from - 1);
}

/// Compacts the log: drops the entries up to an index, which a snapshot
/// covers.
void
raft_log_compact(struct raft_core *c, uint64_t upto)
{
	const uint64_t term = raft_term_at(c, upto);

	if (upto <= c->base_index || upto > raft_last_index(c))
		return;
	g_array_remove_range(c->log, 0, (guint)(upto - c->base_index));
	c->base_index = upto;
	c->base_term = term;
	while (c->member_sets->len > 1 &&
	    g_array_index(c->member_sets, struct raft_members, 1).index <= upto)
		g_array_remove_index(c->member_sets, 0);
}

/// Drops the entries that a snapshot covers but for the newest ones, which
/// members that lag may need: as many as the limits on their number and on
/// their bytes allow. A member that needs older ones gets the snapshot.
void
raft_log_retain(struct raft_core *c, uint64_t snapshot_index)
{
	uint64_t upto = snapshot_index;
	size_t bytes = 0;

	inv_check(snapshot_index <= raft_last_index(c),
	    "replog.snapshot_in_log", "snapshot=%" PRIu64 " last=%" PRIu64,
	    snapshot_index, raft_last_index(c));
	while (upto > c->base_index &&
	    snapshot_index - upto < c->limits.retained_entries) {
		bytes += raft_entry_at(c, upto)->len;
		if (bytes > c->limits.retained_bytes)
			break;
		upto--;
	}
	raft_log_compact(c, upto);
}

/// Replaces the whole log by an empty one that starts after a snapshot.
void
raft_log_reset(struct raft_core *c, uint64_t index, uint64_t term,
    const struct raft_members *members)
{
	g_array_set_size(c->log, 0);
	c->base_index = index;
	c->base_term = term;
	limit_pending(c, index);
	g_array_set_size(c->member_sets, 0);
	g_array_append_vals(c->member_sets, members, 1);
	c->synced_index = index;
}

/// Initializes the log from the state read from the disk, all of it synced.
void
raft_log_init(struct raft_core *c, const struct raft_config *config)
{
	c->log = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
	g_array_set_clear_func(c->log, clear_entry);
	c->member_sets = g_array_new(FALSE, FALSE, sizeof(struct raft_members));
	g_array_append_vals(c->member_sets, &config->members, 1);
	c->base_index = config->snapshot_index;
	c->base_term = config->snapshot_term;
	c->commit = config->snapshot_index;
	for (size_t i = 0; i < config->n_entries; i++) {
		inv_check(config->entries[i].index == raft_last_index(c) + 1,
		    "replog.no_gap", "index=%" PRIu64,
		    config->entries[i].index);
		store_entry(c, &config->entries[i]);
	}
	c->synced_index = raft_last_index(c);
	c->verified_index = c->commit;
}

/// Releases the log and the sets of members.
void
raft_log_free(struct raft_core *c)
{
	g_array_unref(c->log);
	g_array_unref(c->member_sets);
}
