#include "codec/codec.h"
#include "state/catalog_codec.h"
#include "state/catalog_changes.h"

#include <stdlib.h>
#include <string.h>

#define SNAPSHOT_FORMAT 2

static void
release_change(void *change)
{
	struct catalog_change *c = change;

	g_free(c->bytes);
	g_free(c);
}

/// Keeps the command of the current sequence for followers. Old changes are
/// dropped a quarter at a time, which spreads the cost of moving the rest over
/// many changes.
void
catalog_append_change(struct catalog *s, const uint8_t *bytes, size_t len)
{
	struct catalog_change *c = g_new0(struct catalog_change, 1);
	size_t drop = 0;

	c->sequence = s->sequence;
	c->len = len;
	c->bytes = g_memdup2(bytes, len);
	catalog_list_append(&s->changes, c);
	s->change_bytes += len;
	if (s->changes.n > CATALOG_MAX_CHANGES + CATALOG_MAX_CHANGES / 4)
		drop = CATALOG_MAX_CHANGES / 4;
	else if (s->change_bytes > CATALOG_MAX_CHANGE_BYTES)
		drop = s->changes.n / 4;
	for (size_t i = 0; i < drop; i++) {
		const struct catalog_change *old = s->changes.items[i];

		s->change_bytes -= old->len;
	}
	catalog_list_drop_front(&s->changes, drop, release_change);
}

/// Drops all changes that are kept for followers.
void
catalog_clear_changes(struct catalog *s)
{
	catalog_list_drop_front(&s->changes, s->changes.n, release_change);
	s->change_bytes = 0;
}

/// Finds the first kept change after a sequence.
///
/// @param first  receives its index in `changes`
static enum status
find_first_after(const struct catalog *s, uint64_t after, size_t *first)
{
	const uint64_t behind = s->sequence - after;

	if (after > s->sequence)
		return status_fail(STATUS_INVALID,
		    "follower's sequence %" G_GUINT64_FORMAT
		    " is ahead of the catalog's %" G_GUINT64_FORMAT,
		    after, s->sequence);
	if (behind > s->changes.n)
		return status_fail(STATUS_NOT_FOUND,
		    "changes after sequence %" G_GUINT64_FORMAT
		    " are no longer kept",
		    after);
	*first = s->changes.n - (size_t)behind;
	return STATUS_OK;
}

enum status
catalog_changes(const struct catalog *s, uint64_t after, size_t max_bytes,
    uint8_t **bytes, size_t *len, uint64_t *to)
{
	size_t sum = 0;
	size_t first = 0;
	struct codec *m;
	enum status st = find_first_after(s, after, &first);

	if (st != STATUS_OK)
		return st;
	*to = after;
	m = codec_writer();
	for (size_t i = first; i < s->changes.n; i++) {
		struct catalog_change *c = s->changes.items[i];
		const uint8_t *at = c->bytes;
		size_t n = c->len;

		sum += n;
		if (i > first && sum > max_bytes)
			break;
		codec_u64(m, &c->sequence);
		codec_bytes(m, &at, &n);
		*to = c->sequence;
	}
	codec_take(m, bytes, len);
	return STATUS_OK;
}

/// Checks that changes are complete and consecutive, and that none is missing
/// between the catalog's sequence and the first one.
static enum status
check_changes(const struct catalog *s, const uint8_t *bytes, size_t len)
{
	struct codec *m = codec_reader(bytes, len);
	uint64_t last = 0;
	enum status st = STATUS_OK;

	while (!codec_at_end(m) && st == STATUS_OK) {
		const uint8_t *at;
		size_t n;
		uint64_t sequence;

		codec_u64(m, &sequence);
		codec_bytes(m, &at, &n);
		if (codec_failed(m) || (last != 0 && sequence != last + 1))
			st = status_fail(
			    STATUS_CORRUPT, "catalog changes are damaged");
		else if (last == 0 && sequence > s->sequence + 1)
			st = status_fail(STATUS_CONFLICT,
			    "changes begin at sequence %" G_GUINT64_FORMAT
			    ", but the catalog is at %" G_GUINT64_FORMAT,
			    sequence, s->sequence);
		last = sequence;
	}
	codec_free(m);
	return st;
}

static enum status
apply_change(
    struct catalog *s, uint64_t sequence, const uint8_t *bytes, size_t len)
{
	struct catalog_result r;
	enum status st = STATUS_OK;

	if (sequence <= s->sequence)
		return STATUS_OK;
	catalog_apply(s, bytes, len, &r);
	if (r.status != CATALOG_ACCEPTED || r.sequence != sequence)
		st = status_fail(STATUS_CORRUPT,
		    "catalog change %" G_GUINT64_FORMAT " does not apply: %s",
		    sequence, r.message);
	catalog_result_clear(&r);
	return st;
}

enum status
catalog_apply_changes(struct catalog *s, const uint8_t *bytes, size_t len)
{
	enum status st = check_changes(s, bytes, len);
	struct codec *m;

	if (st != STATUS_OK)
		return st;
	m = codec_reader(bytes, len);
	while (!codec_at_end(m) && st == STATUS_OK) {
		const uint8_t *at;
		size_t n;
		uint64_t sequence;

		codec_u64(m, &sequence);
		codec_bytes(m, &at, &n);
		st = apply_change(s, sequence, at, n);
	}
	codec_free(m);
	return st;
}

/// Writes the number of items in a list, or reads it.
///
/// @param n  number to write; unused by a reader
static size_t
code_length(struct codec *m, size_t n)
{
	uint64_t count = n;

	codec_u64(m, &count);
	return (size_t)count;
}

static void
code_tables(struct codec *m, struct catalog *s)
{
	for (int kind = 0; kind < SPEC_KIND_COUNT; kind++) {
		struct namemap *t = &s->tables[kind];
		void *item = g_malloc0(t->item_bytes);
		const size_t n = code_length(m, t->n);

		for (size_t i = 0; i < n && !codec_failed(m); i++) {
			memset(item, 0, t->item_bytes);
			if (codec_is_writer(m))
				memcpy(item, namemap_at(t, i), t->item_bytes);
			catalog_codec_item(m, (enum spec_kind)kind, item);
			if (!codec_is_writer(m) && !codec_failed(m))
				(void)namemap_put(t, item);
		}
		g_free(item);
	}
}

static void
code_members(struct codec *m, struct catalog *s)
{
	const size_t n = code_length(m, s->members.n);

	for (size_t i = 0; i < n && !codec_failed(m); i++) {
		struct catalog_member member;

		memset(&member, 0, sizeof(member));
		if (codec_is_writer(m))
			memcpy(&member, namemap_at(&s->members, i),
			    sizeof(member));
		catalog_codec_member(m, &member);
		if (!codec_is_writer(m) && !codec_failed(m))
			(void)namemap_put(&s->members, &member);
	}
}

static void
code_note(struct codec *m, struct catalog_note *n)
{
	const uint8_t *text = (const uint8_t *)n->text;
	size_t len = text == NULL ? 0 : strlen(n->text);

	if (text == NULL)
		text = (const uint8_t *)"";
	codec_str(m, n->name, sizeof(n->name));
	codec_u64(m, &n->content_hash);
	codec_u64(m, &n->revision);
	codec_u64(m, &n->sequence);
	codec_bytes(m, &text, &len);
	if (!codec_is_writer(m) && len > 0)
		n->text = strndup((const char *)text, len);
}

static void
code_notes(struct codec *m, struct catalog *s)
{
	const size_t n = code_length(m, s->notes.n);

	for (size_t i = 0; i < n && !codec_failed(m); i++) {
		struct catalog_note *note;

		if (codec_is_writer(m)) {
			code_note(m, s->notes.items[i]);
			continue;
		}
		note = g_new0(struct catalog_note, 1);
		code_note(m, note);
		catalog_store_note(s, note);
	}
}

static void
code_rollouts(struct codec *m, struct catalog *s)
{
	const size_t n = code_length(m, s->rollouts.n);

	for (size_t i = 0; i < n && !codec_failed(m); i++) {
		struct catalog_rollout rollout;

		memset(&rollout, 0, sizeof(rollout));
		if (codec_is_writer(m))
			rollout = *(
			    const struct catalog_rollout *)s->rollouts.items[i];
		catalog_codec_rollout(m, &rollout);
		if (!codec_is_writer(m))
			catalog_store_rollout(s, &rollout);
	}
}

static void
code_catalog(struct codec *m, struct catalog *s)
{
	uint32_t format = SNAPSHOT_FORMAT;

	codec_u32(m, &format);
	if (format != SNAPSHOT_FORMAT) {
		codec_fail(m);
		return;
	}
	codec_u64(m, &s->revision);
	codec_u64(m, &s->sequence);
	codec_u64(m, &s->fence);
	codec_u64(m, &s->fence_term);
	codec_u64(m, &s->notice);
	code_tables(m, s);
	code_members(m, s);
	code_notes(m, s);
	code_rollouts(m, s);
}

void
catalog_snapshot(const struct catalog *s, uint8_t **bytes, size_t *len)
{
	struct codec *m = codec_writer();

	// A writer doesn't change what it encodes.
	code_catalog(m, (struct catalog *)s);
	codec_take(m, bytes, len);
}

enum status
catalog_restore(const uint8_t *bytes, size_t len, struct catalog **out)
{
	struct codec *m = codec_reader(bytes, len);
	struct catalog *s = catalog_new();
	const char *where;
	bool good;

	code_catalog(m, s);
	good = codec_at_end(m) && catalog_find_violation(s, &where) == NULL;
	codec_free(m);
	if (!good) {
		catalog_free(s);
		*out = NULL;
		return status_fail(
		    STATUS_CORRUPT, "snapshot of the catalog is damaged");
	}
	*out = s;
	return STATUS_OK;
}
