#include "control/control_internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define CONTROL_NOTES_PATH "/v1/notes"
#define CONTROL_STATUS_PATH "/v1/status"
#define CONTROL_MAX_ROLLOUTS 64

/// JSON string of a text; "?" if it isn't valid UTF-8.
static json_t *
str(const char *s)
{
	json_t *v = json_string(s);

	return v != NULL ? v : json_string("?");
}

static json_t *
num(uint64_t n)
{
	return json_integer((json_int_t)n);
}

static char *
dump(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);

	json_decref(o);
	return text;
}

static char *
not_found(int *http_status, const char *message)
{
	json_t *o = json_object();

	*http_status = 404;
	(void)json_object_set_new(o, "status", str("not found"));
	(void)json_object_set_new(o, "message", str(message));
	return dump(o);
}

static const char *
outcome_name(enum catalog_status outcome)
{
	switch (outcome) {
	case CATALOG_ACCEPTED:
	case CATALOG_UNCHANGED:
		return "accepted";
	case CATALOG_CONFLICT:
		return "conflict";
	case CATALOG_INVALID:
		return "invalid";
	}
	return "invalid";
}

/// Result of a configuration command as the JSON that operators get.
///
/// @return text to be released with free()
char *
control_result_json(const struct catalog_result *r)
{
	json_t *o = json_object();
	json_t *problems = json_array();

	(void)json_object_set_new(o, "status", str(outcome_name(r->status)));
	(void)json_object_set_new(o, "revision", num(r->revision));
	(void)json_object_set_new(o, "sequence", num(r->sequence));
	if (r->fencing_number != 0)
		(void)json_object_set_new(o, "fence", num(r->fencing_number));
	if (r->winner[0] != '\0')
		(void)json_object_set_new(o, "winner", str(r->winner));
	if (r->message[0] != '\0')
		(void)json_object_set_new(o, "message", str(r->message));
	for (size_t i = 0; i < r->problems.n; i++) {
		const struct spec_problem *p = &r->problems.items[i];
		json_t *item = json_object();

		(void)json_object_set_new(item, "path", str(p->path));
		(void)json_object_set_new(item, "line", num((uint64_t)p->line));
		(void)json_object_set_new(item, "message", str(p->message));
		(void)json_array_append_new(problems, item);
	}
	if (r->status == CATALOG_INVALID)
		(void)json_object_set(o, "problems", problems);
	json_decref(problems);
	return dump(o);
}

static char *
notes_json(const struct control *c)
{
	json_t *o = json_object();
	json_t *notes = json_array();

	for (size_t i = 0; i < catalog_note_count(c->config); i++) {
		struct catalog_note note;
		json_t *item;

		if (!catalog_note_at(c->config, i, &note))
			continue;
		item = json_object();
		(void)json_object_set_new(item, "name", str(note.name));
		(void)json_object_set_new(item, "revision", num(note.revision));
		(void)json_array_append_new(notes, item);
	}
	(void)json_object_set_new(
	    o, "revision", num(catalog_revision(c->config)));
	(void)json_object_set_new(
	    o, "sequence", num(catalog_sequence(c->config)));
	(void)json_object_set_new(o, "notes", notes);
	return dump(o);
}

static json_t *
rollouts_json(const struct control *c, uint64_t revision)
{
	struct catalog_rollout rollouts[CONTROL_MAX_ROLLOUTS];
	json_t *out = json_array();
	size_t n = catalog_rollouts(
	    c->config, revision, rollouts, CONTROL_MAX_ROLLOUTS);

	for (size_t i = 0; i < MIN(n, CONTROL_MAX_ROLLOUTS); i++) {
		const struct catalog_rollout *m = &rollouts[i];
		json_t *item = json_object();

		(void)json_object_set_new(item, "version", str(m->version));
		(void)json_object_set_new(item, "pool", str(m->pool));
		(void)json_object_set_new(
		    item, "state", str(catalog_phase_name(m->phase)));
		(void)json_object_set_new(
		    item, "share_permille", num(m->share_permille));
		(void)json_object_set_new(item, "reason", str(m->reason));
		(void)json_array_append_new(out, item);
	}
	return out;
}

static char *
note_json(const struct control *c, const char *name, int *http_status)
{
	struct catalog_note note;
	json_t *o;

	if (!catalog_note(c->config, name, &note))
		return not_found(http_status, "no note of this name");
	o = json_object();
	(void)json_object_set_new(o, "name", str(note.name));
	(void)json_object_set_new(o, "revision", num(note.revision));
	if (note.text != NULL)
		(void)json_object_set_new(
		    o, "note", json_loads(note.text, 0, NULL));
	(void)json_object_set_new(o, "moves", rollouts_json(c, note.revision));
	return dump(o);
}

static json_t *
members_json(const struct control *c)
{
	const struct replica *replica = c->groups[CONTROL_CONFIG_GROUP].replica;
	json_t *out = json_array();
	struct replica_status status;

	replica_status(replica, &status);
	for (uint32_t i = 0; i < status.members.n_voters; i++) {
		json_t *item = json_object();
		const uint32_t id = status.members.voters[i];

		(void)json_object_set_new(item, "id", num(id));
		for (uint32_t k = 0; k < c->settings.n_control; k++) {
			const struct settings_peer *p = &c->settings.control[k];

			if (p->id != (id & RAFT_SLOT_MASK))
				continue;
			(void)json_object_set_new(item, "name", str(p->name));
			(void)json_object_set_new(
			    item, "data_centre", str(p->data_centre));
		}
		(void)json_object_set_new(item, "synced", num(status.match[i]));
		(void)json_object_set_new(
		    item, "active", json_boolean(status.active[i]));
		(void)json_array_append_new(out, item);
	}
	return out;
}

/// The connected entries.
///
/// @param in_force  receives the sequence that all of them have acknowledged
static json_t *
entries_json(const struct control *c, uint64_t *in_force)
{
	json_t *out = json_array();
	GHashTableIter it;
	gpointer value;

	*in_force = catalog_sequence(c->config);
	g_hash_table_iter_init(&it, c->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct control_entry *e = value;
		json_t *item = json_object();

		*in_force = MIN(*in_force, e->acked_sequence);
		(void)json_object_set_new(item, "name", str(e->name));
		(void)json_object_set_new(
		    item, "data_centre", str(e->data_centre));
		(void)json_object_set_new(
		    item, "sequence", num(e->acked_sequence));
		(void)json_object_set_new(
		    item, "in_service", json_boolean(e->in_service));
		(void)json_array_append_new(out, item);
	}
	return out;
}

static json_t *
versions_json(const struct control *c)
{
	json_t *out = json_array();
	size_t n;
	const struct catalog_version *v = catalog_versions(c->config, &n);

	for (size_t i = 0; i < n; i++) {
		json_t *item = json_object();

		(void)json_object_set_new(item, "name", str(v[i].spec.name));
		(void)json_object_set_new(item, "pool", str(v[i].spec.pool));
		(void)json_object_set_new(
		    item, "state", str(catalog_phase_name(v[i].phase)));
		(void)json_object_set_new(
		    item, "share_permille", num(v[i].share_permille));
		(void)json_object_set_new(item, "reason", str(v[i].reason));
		(void)json_array_append_new(out, item);
	}
	return out;
}

static json_t *
draining_json(const struct control *c)
{
	json_t *out = json_array();
	size_t n;
	const struct catalog_server *s = catalog_servers(c->config, &n);

	for (size_t i = 0; i < n; i++) {
		json_t *item;

		if (!s[i].draining)
			continue;
		item = json_object();
		(void)json_object_set_new(item, "name", str(s[i].spec.name));
		(void)json_object_set_new(
		    item, "source", str(catalog_source_name(s[i].source)));
		(void)json_array_append_new(out, item);
	}
	return out;
}

static char *
status_json(const struct control *c)
{
	json_t *o = json_object();
	struct replica_status status;
	json_t *entries;
	uint64_t in_force;

	replica_status(c->groups[CONTROL_CONFIG_GROUP].replica, &status);
	entries = entries_json(c, &in_force);
	(void)json_object_set_new(o, "deployment", str(c->settings.deployment));
	(void)json_object_set_new(o, "leader", str(c->settings.node));
	(void)json_object_set_new(o, "term", num(status.term));
	(void)json_object_set_new(
	    o, "revision", num(catalog_revision(c->config)));
	(void)json_object_set_new(
	    o, "sequence", num(catalog_sequence(c->config)));
	(void)json_object_set_new(o, "in_force", num(in_force));
	(void)json_object_set_new(o, "commit", num(status.commit));
	(void)json_object_set_new(o, "members", members_json(c));
	(void)json_object_set_new(o, "entries", entries);
	(void)json_object_set_new(o, "versions", versions_json(c));
	(void)json_object_set_new(o, "leaving", draining_json(c));
	return dump(o);
}

/// Answers an operator's query from the state of this process. The caller has
/// passed a read barrier as the leader, so that the state is current.
///
/// @param path         as in docs/HTTP.md
/// @param http_status  receives the HTTP status
/// @return JSON text to be released with free()
char *
control_status(struct control *c, const char *path, int *http_status)
{
	const size_t notes = strlen(CONTROL_NOTES_PATH);

	*http_status = 200;
	if (strcmp(path, CONTROL_NOTES_PATH) == 0)
		return notes_json(c);
	if (strncmp(path, CONTROL_NOTES_PATH "/", notes + 1) == 0)
		return note_json(c, path + notes + 1, http_status);
	if (strcmp(path, CONTROL_STATUS_PATH) == 0)
		return status_json(c);
	return not_found(http_status, "no such path");
}
