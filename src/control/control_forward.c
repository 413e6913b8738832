#include "control/control_internal.h"

#include <stdlib.h>
#include <string.h>

#define CONTROL_FORWARD_TIMEOUT_US (5 * USEC_PER_SEC)

/// A command or query forwarded to the leader.
struct control_forwarded {
	uint64_t tag;
	handle_t link;
	uint64_t deadline_us;
	control_cb done;
	void *arg;
};

/// A command or query that is being served here, as the leader.
struct control_served {
	struct control *control;
	handle_t link;
	uint64_t tag;
	uint32_t group;
	char *text;      ///< of a query: path or request id
	control_cb done; ///< of a query for the configuration
	void *arg;
};

/// A control_cb for proposals whose outcome nobody waits for: if one is lost,
/// a later tick makes it again from the state.
void
control_ignore_result(
    void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	(void)arg;
	(void)status;
	(void)bytes;
	(void)len;
}

/// Link to the leader of a group; HANDLE_NONE if it is unknown or this process.
///
/// @param id  receives the leader's id; 0: unknown
static handle_t
leader_link(const struct control *c, uint32_t group, uint32_t *id)
{
	struct replica_status status;

	replica_status(c->groups[group].replica, &status);
	*id = status.leader & RAFT_SLOT_MASK;
	for (uint32_t i = 0; i < c->settings.n_control; i++) {
		if (status.leader != 0 && c->settings.control[i].id == *id)
			return c->peers[i];
	}
	return HANDLE_NONE;
}

/// Forwards a command or query to the leader of its group. Without a known
/// and connected leader `done` is called with STATUS_UNAVAILABLE.
static void
forward(struct control *c, enum wire_kind kind, uint32_t group,
    const uint8_t *bytes, size_t len, control_cb done, void *arg)
{
	struct control_forwarded *f = g_new0(struct control_forwarded, 1);
	struct wire_msg msg = {
		.kind = kind,
		.propose = { .group = group, .bytes = { bytes, len } },
	};
	uint32_t leader;

	f->tag = ++c->next_tag;
	f->link = leader_link(c, group, &leader);
	f->deadline_us = loop_now_us(c->loop) + CONTROL_FORWARD_TIMEOUT_US;
	f->done = done;
	f->arg = arg;
	msg.propose.tag = f->tag;
	if (leader == c->settings.id ||
	    !transport_send(c->links, f->link, &msg)) {
		g_free(f);
		done(arg, STATUS_UNAVAILABLE, NULL, 0);
		return;
	}
	(void)g_hash_table_insert(c->forwarded, &f->tag, f);
}

/// Appends a command to a group, here or at its leader.
///
/// @param bytes  copied if needed after the call
/// @param done   gets STATUS_OK with the result of applying the command,
///               STATUS_UNAVAILABLE when it was certainly not appended, or
///               STATUS_TIMEOUT when the outcome is unknown
void
control_propose(struct control *c, uint32_t group, const uint8_t *bytes,
    size_t len, control_cb done, void *arg)
{
	if (control_is_leader(c, group))
		replica_propose(
		    c->groups[group].replica, bytes, len, done, arg);
	else
		forward(c, WIRE_PROPOSE, group, bytes, len, done, arg);
}

/// Encodes a configuration command and passes it to control_propose().
void
control_propose_config(struct control *c, const struct catalog_command *command,
    control_cb done, void *arg)
{
	uint8_t *bytes;
	size_t len;

	catalog_encode(command, &bytes, &len);
	control_propose(c, CONTROL_CONFIG_GROUP, bytes, len, done, arg);
	free(bytes);
}

/// Completes a query for the configuration, once the read barrier has passed,
/// with three digits of HTTP status followed by the JSON body.
static void
on_config_barrier(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct control_served *s = arg;
	char *json;
	char *text;
	int http_status;

	(void)result;
	(void)len;
	if (status != STATUS_OK) {
		s->done(s->arg, status, NULL, 0);
	} else {
		json = control_status(s->control, s->text, &http_status);
		text = g_strdup_printf("%03d%s", http_status, json);
		s->done(s->arg, STATUS_OK, (const uint8_t *)text, strlen(text));
		g_free(text);
		g_free(json);
	}
	g_free(s->text);
	g_free(s);
}

/// Runs an operator's read-only query at the leader of the configuration.
///
/// @param path  as in docs/HTTP.md
/// @param done  gets three digits of HTTP status followed by the JSON body
void
control_query(struct control *c, const char *path, control_cb done, void *arg)
{
	struct control_served *s;

	if (!control_is_leader(c, CONTROL_CONFIG_GROUP)) {
		forward(c, WIRE_QUERY, CONTROL_CONFIG_GROUP,
		    (const uint8_t *)path, strlen(path), done, arg);
		return;
	}
	s = g_new0(struct control_served, 1);
	s->control = c;
	s->text = g_strdup(path);
	s->done = done;
	s->arg = arg;
	replica_read_barrier(
	    c->groups[CONTROL_CONFIG_GROUP].replica, on_config_barrier, s);
}

static void
send_outcome(struct control *c, handle_t link, uint64_t tag, uint32_t group,
    enum status status, const uint8_t *bytes, size_t len)
{
	struct wire_msg msg = {
		.kind = WIRE_OUTCOME,
		.outcome = {
			.tag = tag,
			.status = status,
			.bytes = { bytes, len },
		},
	};

	if (status != STATUS_OK)
		(void)leader_link(c, group, &msg.outcome.leader);
	(void)transport_send(c->links, link, &msg);
}

static void
on_served(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct control_served *s = arg;

	send_outcome(s->control, s->link, s->tag, s->group, status, bytes, len);
	g_free(s);
}

static struct control_served *
served_new(struct control *c, handle_t link, const struct wire_propose *p)
{
	struct control_served *s = g_new0(struct control_served, 1);

	s->control = c;
	s->link = link;
	s->tag = p->tag;
	s->group = p->group;
	return s;
}

/// Handles a peer's request to append a command. It is not forwarded again:
/// if this process doesn't lead the group, the reply names the leader.
void
control_handle_propose(
    struct control *c, handle_t link, const struct wire_propose *p)
{
	if (p->group >= CONTROL_GROUPS || !control_is_leader(c, p->group)) {
		send_outcome(c, link, p->tag, p->group % CONTROL_GROUPS,
		    STATUS_UNAVAILABLE, NULL, 0);
		return;
	}
	replica_propose(c->groups[p->group].replica, p->bytes.data,
	    p->bytes.len, on_served, served_new(c, link, p));
}

static void
on_journal_barrier(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct control_served *s = arg;
	struct control *c = s->control;
	struct journal_result r = { .status = JOURNAL_NOT_FOUND };
	uint8_t *bytes;
	size_t n;

	(void)result;
	(void)len;
	if (status != STATUS_OK) {
		send_outcome(c, s->link, s->tag, s->group, status, NULL, 0);
	} else {
		r.record = journal_by_id(c->groups[s->group].journal, s->text);
		if (r.record != NULL)
			r.status = JOURNAL_DUPLICATE;
		journal_result_encode(&r, &bytes, &n);
		send_outcome(c, s->link, s->tag, s->group, STATUS_OK, bytes, n);
		free(bytes);
	}
	g_free(s->text);
	g_free(s);
}

/// Handles a peer's query: a path of the configuration, or a request id of a
/// journal. If this process doesn't lead the group, the reply names the leader.
void
control_handle_query(
    struct control *c, handle_t link, const struct wire_propose *p)
{
	struct control_served *s;

	if (p->group >= CONTROL_GROUPS || !control_is_leader(c, p->group)) {
		send_outcome(c, link, p->tag, p->group % CONTROL_GROUPS,
		    STATUS_UNAVAILABLE, NULL, 0);
		return;
	}
	s = served_new(c, link, p);
	if (p->group == CONTROL_CONFIG_GROUP) {
		char *path =
		    g_strndup((const char *)p->bytes.data, p->bytes.len);

		control_query(c, path, on_served, s);
		g_free(path);
		return;
	}
	s->text = g_strndup((const char *)p->bytes.data, p->bytes.len);
	replica_read_barrier(
	    c->groups[p->group].replica, on_journal_barrier, s);
}

static void
finish_forwarded(struct control *c, struct control_forwarded *f,
    enum status status, const uint8_t *bytes, size_t len)
{
	const control_cb done = f->done;
	void *const arg = f->arg;

	(void)g_hash_table_remove(c->forwarded, &f->tag);
	done(arg, status, bytes, len);
}

/// Completes a forwarded command or query with the leader's reply.
void
control_handle_outcome(struct control *c, const struct wire_outcome *o)
{
	struct control_forwarded *f =
	    g_hash_table_lookup(c->forwarded, &o->tag);

	if (f != NULL)
		finish_forwarded(c, f, o->status, o->bytes.data, o->bytes.len);
}

/// Completes with STATUS_TIMEOUT (outcome unknown) the forwarded commands and
/// queries that went over `link` or whose deadline has passed.
static void
expire_matching(struct control *c, handle_t link, uint64_t now_us)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->forwarded);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct control_forwarded *f = value;

		if (f->link == link || f->deadline_us <= now_us)
			g_ptr_array_add(expired, value);
	}
	for (guint i = 0; i < expired->len; i++)
		finish_forwarded(
		    c, g_ptr_array_index(expired, i), STATUS_TIMEOUT, NULL, 0);
	g_ptr_array_free(expired, TRUE);
}

/// Called when a link is down: what was forwarded over it has an unknown
/// outcome.
void
control_forwarded_drop_link(struct control *c, handle_t link)
{
	expire_matching(c, link, 0);
}

/// Completes forwarded commands and queries whose deadline has passed.
void
control_forwarded_expire(struct control *c, uint64_t now_us)
{
	expire_matching(c, HANDLE_NONE, now_us);
}
