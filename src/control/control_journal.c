#include "control/control_internal.h"

#include <stdlib.h>
#include <string.h>

/// An unfinished request whose entry has been gone for this time is reassigned
/// to another entry. WIRE_EXECUTE is repeated at this interval, since one may
/// have been lost.
#define CONTROL_RESUME_AFTER_US (1 * USEC_PER_SEC)
#define CONTROL_EXPIRE_EVERY_US (60 * USEC_PER_SEC)
#define CONTROL_JOURNAL_KEEP_BYTES (20UL * 1024 * 1024)
#define CONTROL_MAX_RESUMED_PER_TICK 64

/// State of a walk over the unfinished requests of one group.
struct journal_scan {
	struct control *control;
	struct control_group *group;
	uint64_t now_us;
	uint64_t wall_us;
	GPtrArray *ids; ///< due requests
};

static void
propose_journal(struct control_group *g, const struct journal_command *command)
{
	uint8_t *bytes;
	size_t len;

	journal_encode(command, &bytes, &len);
	replica_propose(g->replica, bytes, len, control_ignore_result, NULL);
	free(bytes);
}

/// Whether CONTROL_RESUME_AFTER_US has passed since the request was first
/// seen or last due; if so, the time starts again.
static bool
is_resume_due(struct control *c, const char *id, uint64_t now_us)
{
	uint64_t *at = g_hash_table_lookup(c->resume_last_us, id);

	if (at == NULL) {
		at = g_new(uint64_t, 1);
		*at = now_us;
		(void)g_hash_table_insert(c->resume_last_us, g_strdup(id), at);
		return false;
	}
	if (now_us - *at < CONTROL_RESUME_AFTER_US)
		return false;
	*at = now_us;
	return true;
}

static bool
on_unfinished(void *arg, const struct journal_record *r)
{
	struct journal_scan *scan = arg;

	if (is_resume_due(scan->control, r->id, scan->now_us))
		g_ptr_array_add(scan->ids, g_strdup(r->id));
	return scan->ids->len < CONTROL_MAX_RESUMED_PER_TICK;
}

static void
send_execute(struct control *c, const struct control_entry *e,
    const struct journal_record *r)
{
	const struct journal_result result = { .status = JOURNAL_DUPLICATE,
		.record = r };
	struct wire_msg msg = { .kind = WIRE_EXECUTE };
	uint8_t *bytes;
	size_t len;

	journal_result_encode(&result, &bytes, &len);
	msg.execute.data = bytes;
	msg.execute.len = len;
	(void)transport_send(c->links, e->link, &msg);
	free(bytes);
}

/// Sends an unfinished request to its owner if that is connected (the owner
/// may not know yet that the request was assigned to it), else proposes a new
/// owner. `request.reassigned` is logged with the proposal, before the commit.
static void
resume_or_reassign(struct journal_scan *scan, const char *id)
{
	struct control *c = scan->control;
	const struct journal_record *r =
	    journal_by_id(scan->group->journal, id);
	struct journal_command command = { .kind = JOURNAL_CMD_REASSIGN };
	const struct control_entry *e;

	if (r == NULL)
		return;
	e = control_entry_find(c, r->owner.name, r->owner.incarnation);
	if (e != NULL) {
		send_execute(c, e, r);
		return;
	}
	e = control_entry_pick(c, rnd_u64(loop_random(c->loop)));
	// Entries report only to the leader of the configuration whether they
	// are in service. Other processes don't know, and may pick any
	// connected entry.
	if (e == NULL || (e->acked_at_us != 0 && !e->in_service))
		return;
	logger_event(LOGGER_INFO, "request.reassigned",
	    "request=%s from=%s to=%s", r->id, r->owner.name, e->name);
	command.now_us = scan->wall_us;
	(void)g_strlcpy(command.id, id, sizeof(command.id));
	command.reassign.from = r->owner;
	(void)g_strlcpy(command.reassign.to.name, e->name,
	    sizeof(command.reassign.to.name));
	command.reassign.to.incarnation = e->incarnation;
	propose_journal(scan->group, &command);
}

static void
scan_group(struct journal_scan *scan)
{
	journal_foreach_open(scan->group->journal, NULL, on_unfinished, scan);
	for (guint i = 0; i < scan->ids->len; i++)
		resume_or_reassign(scan, g_ptr_array_index(scan->ids, i));
	g_ptr_array_set_size(scan->ids, 0);
}

static void
propose_expire(struct control *c, struct control_group *g, uint64_t wall_us)
{
	const struct journal_command command = {
		.kind = JOURNAL_CMD_EXPIRE,
		.now_us = wall_us,
		.expire = {
			.keep_us = c->settings.answer_keep_s * USEC_PER_SEC,
			.keep_bytes = CONTROL_JOURNAL_KEEP_BYTES,
		},
	};

	propose_journal(g, &command);
}

/// For g_hash_table_foreach_remove(): whether a request needs no resume here.
static gboolean
is_finished(gpointer key, gpointer value, gpointer arg)
{
	const struct control *c = arg;
	const uint32_t group = journal_group_of_id(key);
	const struct journal_record *r;

	(void)value;
	if (group == 0 || group >= CONTROL_GROUPS)
		return TRUE;
	r = journal_by_id(c->groups[group].journal, key);
	return r == NULL || r->outcome_us != 0;
}

/// Resumes or reassigns unfinished requests of the journal groups that this
/// process leads, and removes expired records from them.
void
control_journal_tick(struct control *c, uint64_t now_us)
{
	struct journal_scan scan = {
		.control = c,
		.now_us = now_us,
		.wall_us = loop_wall_us(),
	};
	const bool expiring = now_us >= c->next_expire_us;

	scan.ids = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 1; i < CONTROL_GROUPS; i++) {
		if (!control_is_leader(c, i))
			continue;
		scan.group = &c->groups[i];
		scan_group(&scan);
		if (expiring)
			propose_expire(c, scan.group, scan.wall_us);
	}
	if (expiring)
		c->next_expire_us = now_us + CONTROL_EXPIRE_EVERY_US;
	(void)g_hash_table_foreach_remove(c->resume_last_us, is_finished, c);
	g_ptr_array_free(scan.ids, TRUE);
}
