#include "state/catalog.h"
#include "state/catalog_changes.h"
#include "state/catalog_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const size_t item_bytes[SPEC_KIND_COUNT] = {
	[SPEC_KIND_DATA_CENTRE] = sizeof(struct spec_data_centre),
	[SPEC_KIND_VM_CLASS] = sizeof(struct spec_vm_class),
	[SPEC_KIND_POOL] = sizeof(struct spec_pool),
	[SPEC_KIND_BACKEND_SERVER] = sizeof(struct catalog_server),
	[SPEC_KIND_VERSION] = sizeof(struct catalog_version),
	[SPEC_KIND_ADAPTER] = sizeof(struct spec_adapter),
	[SPEC_KIND_ROUTE] = sizeof(struct spec_route),
	[SPEC_KIND_CUSTOMER] = sizeof(struct spec_customer),
};

/// Makes an empty catalog with revision and sequence 0.
struct catalog *
catalog_new(void)
{
	struct catalog *s = g_new0(struct catalog, 1);

	for (int kind = 0; kind < SPEC_KIND_COUNT; kind++)
		s->tables[kind].item_bytes = item_bytes[kind];
	s->members.item_bytes = sizeof(struct catalog_member);
	s->notes_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return s;
}

/// Releases a catalog; NULL is allowed.
void
catalog_free(struct catalog *s)
{
	if (s == NULL)
		return;
	for (int kind = 0; kind < SPEC_KIND_COUNT; kind++)
		namemap_free(&s->tables[kind]);
	namemap_free(&s->members);
	g_hash_table_destroy(s->notes_by_name);
	catalog_list_drop_front(&s->notes, s->notes.n, catalog_note_free);
	catalog_list_drop_front(&s->rollouts, s->rollouts.n, g_free);
	catalog_clear_changes(s);
	g_free(s->notes.items);
	g_free(s->rollouts.items);
	g_free(s->changes.items);
	g_free(s);
}

/// Sets outcome and message of a result.
void
catalog_set_message(struct catalog_result *out, enum catalog_status outcome,
    const char *fmt, ...)
{
	va_list ap;

	out->status = outcome;
	va_start(ap, fmt);
	(void)g_vsnprintf(out->message, sizeof(out->message), fmt, ap);
	va_end(ap);
}

/// Releases the problems that a result owns.
void
catalog_result_clear(struct catalog_result *r)
{
	spec_problems_free(&r->problems);
}

/// Marks a server as draining. The first report sets source and sequence; a
/// later one can only make the deadline earlier.
///
/// @return whether that changed anything
static bool
mark_draining(struct catalog *s, struct catalog_server *v,
    const struct catalog_command *c)
{
	const uint64_t deadline_ms = c->draining.deadline_ms;
	const bool earlier = deadline_ms != 0 &&
	    (v->drain_deadline_ms == 0 || deadline_ms < v->drain_deadline_ms);

	if (v->draining && !earlier)
		return false;
	if (!v->draining) {
		v->draining = true;
		v->source = c->draining.source;
		v->drain_sequence = s->sequence + 1;
	}
	v->drain_deadline_ms = earlier ? deadline_ms : v->drain_deadline_ms;
	return true;
}

static void
apply_server_draining(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	struct catalog_server *v = namemap_find(
	    &s->tables[SPEC_KIND_BACKEND_SERVER], c->draining.name);

	if (v == NULL) {
		catalog_set_message(out, CATALOG_INVALID,
		    "no backend server '%s'", c->draining.name);
		return;
	}
	if (v->incarnation != c->draining.incarnation) {
		catalog_set_message(out, CATALOG_CONFLICT,
		    "backend server '%s' is another incarnation by now",
		    v->spec.name);
		return;
	}
	out->status =
	    mark_draining(s, v, c) ? CATALOG_ACCEPTED : CATALOG_UNCHANGED;
}

static void
apply_data_centre_draining(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	struct spec_data_centre *dc =
	    namemap_find(&s->tables[SPEC_KIND_DATA_CENTRE], c->draining.name);
	const struct namemap *servers = &s->tables[SPEC_KIND_BACKEND_SERVER];
	bool changed;

	if (dc == NULL) {
		catalog_set_message(out, CATALOG_INVALID, "no data centre '%s'",
		    c->draining.name);
		return;
	}
	changed = !dc->reclaiming;
	dc->reclaiming = true;
	for (size_t i = 0; i < servers->n; i++) {
		struct catalog_server *v = namemap_at(servers, i);

		if (strcmp(v->spec.data_centre, dc->name) == 0)
			changed |= mark_draining(s, v, c);
	}
	out->status = changed ? CATALOG_ACCEPTED : CATALOG_UNCHANGED;
}

static void
apply_draining(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	const uint64_t notice = c->draining.notice;

	if (notice != 0 && notice <= s->notice) {
		out->status = CATALOG_UNCHANGED;
		return;
	}
	if (c->draining.data_centre)
		apply_data_centre_draining(s, c, out);
	else
		apply_server_draining(s, c, out);
	if (notice == 0)
		return;
	// A notice is used up also when it names no server: one that is added
	// later under this name is another server.
	s->notice = notice;
	catalog_set_message(out, CATALOG_ACCEPTED, "%s", "");
}

static void
apply_returned(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	struct catalog_server *v = namemap_find(
	    &s->tables[SPEC_KIND_BACKEND_SERVER], c->returned.server);

	if (v == NULL) {
		catalog_set_message(out, CATALOG_INVALID,
		    "no backend server '%s'", c->returned.server);
		return;
	}
	if (v->incarnation != c->returned.incarnation) {
		catalog_set_message(out, CATALOG_CONFLICT,
		    "backend server '%s' is another incarnation by now",
		    v->spec.name);
		return;
	}
	v->incarnation = s->sequence + 1;
	v->draining = false;
	v->source = CATALOG_SOURCE_NOTICE;
	v->drain_deadline_ms = 0;
	v->drain_sequence = 0;
	out->status = CATALOG_ACCEPTED;
}

static void
apply_fence(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	if (c->fence.term < s->fence_term) {
		catalog_set_message(
		    out, CATALOG_CONFLICT, "a later term has numbers");
		return;
	}
	s->fence_term = c->fence.term;
	out->fencing_number = ++s->fence;
	out->status = CATALOG_ACCEPTED;
}

static bool
same_member(const struct catalog_member *a, const struct catalog_member *b)
{
	return a->role == b->role && a->port == b->port &&
	    a->incarnation == b->incarnation &&
	    strcmp(a->data_centre, b->data_centre) == 0 &&
	    strcmp(a->host, b->host) == 0;
}

static void
apply_member_set(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	const struct catalog_member *old =
	    namemap_find(&s->members, c->member.name);

	if (old != NULL && same_member(old, &c->member)) {
		out->status = CATALOG_UNCHANGED;
		return;
	}
	(void)namemap_put(&s->members, &c->member);
	out->status = CATALOG_ACCEPTED;
}

static void
apply_member_remove(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	const struct catalog_member *old =
	    namemap_find(&s->members, c->member_remove.name);

	if (old == NULL) {
		out->status = CATALOG_UNCHANGED;
		return;
	}
	if (old->incarnation != c->member_remove.incarnation) {
		catalog_set_message(out, CATALOG_CONFLICT,
		    "'%s' is another incarnation by now", old->name);
		return;
	}
	namemap_remove(&s->members, c->member_remove.name);
	out->status = CATALOG_ACCEPTED;
}

static void
apply_command(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out)
{
	switch (c->kind) {
	case CATALOG_CMD_NOTE:
		catalog_apply_note(s, c->note.text, c->note.len, out);
		return;
	case CATALOG_CMD_VERSION_SHARE:
		catalog_apply_version(s, c, out);
		return;
	case CATALOG_CMD_DRAINING:
		apply_draining(s, c, out);
		return;
	case CATALOG_CMD_RETURNED:
		apply_returned(s, c, out);
		return;
	case CATALOG_CMD_FENCE:
		apply_fence(s, c, out);
		return;
	case CATALOG_CMD_MEMBER_SET:
		apply_member_set(s, c, out);
		return;
	case CATALOG_CMD_MEMBER_REMOVE:
		apply_member_remove(s, c, out);
		return;
	}
}

/// Applies a committed command. A command that is not accepted changes nothing.
///
/// @param out  receives the result; release with catalog_result_clear()
void
catalog_apply(struct catalog *s, const uint8_t *bytes, size_t len,
    struct catalog_result *out)
{
	struct catalog_command c;

	memset(out, 0, sizeof(*out));
	out->revision = s->revision;
	out->sequence = s->sequence;
	if (!catalog_decode(&c, bytes, len)) {
		catalog_set_message(out, CATALOG_INVALID, "not a command");
		return;
	}
	apply_command(s, &c, out);
	if (out->status != CATALOG_ACCEPTED)
		return;
	if (c.kind != CATALOG_CMD_FENCE) {
		s->sequence++;
		catalog_append_change(s, bytes, len);
	}
	out->revision = s->revision;
	out->sequence = s->sequence;
	catalog_check_invariants(s);
}

/// Number of accepted notes.
uint64_t
catalog_revision(const struct catalog *s)
{
	return s->revision;
}

/// Number of changes that entries follow.
uint64_t
catalog_sequence(const struct catalog *s)
{
	return s->sequence;
}

/// Number of the last reclaim notice that was applied, 0 for none. The platform
/// is polled for later ones.
uint64_t
catalog_notice(const struct catalog *s)
{
	return s->notice;
}

/// Last fencing number that was given, 0 for none.
uint64_t
catalog_fence(const struct catalog *s)
{
	return s->fence;
}

/// Name of a phase as operators see it.
const char *
catalog_phase_name(enum catalog_phase phase)
{
	static const char *const names[] = {
		[CATALOG_PHASE_WAITING] = "waiting",
		[CATALOG_PHASE_ROLLING_OUT] = "moving",
		[CATALOG_PHASE_DONE] = "done",
		[CATALOG_PHASE_ROLLED_BACK] = "taken back",
		[CATALOG_PHASE_WITHDRAWN] = "withdrawn",
	};

	return names[phase];
}

/// Name of the source of a draining report, as operators see it.
const char *
catalog_source_name(enum catalog_source source)
{
	static const char *const names[] = {
		[CATALOG_SOURCE_NOTICE] = "notice",
		[CATALOG_SOURCE_VM_LIST] = "list",
		[CATALOG_SOURCE_SERVER] = "server",
		[CATALOG_SOURCE_NOTE] = "note",
	};

	return names[source];
}
