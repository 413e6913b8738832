#include "codec/mp.h"
#include "state/sm_code.h"
#include "state/sm_follow.h"

#include <stdlib.h>
#include <string.h>

#define SNAPSHOT_FORMAT 2

static void
release_change(void *change)
{
	struct sm_change *c = change;

	g_free(c->bytes);
	g_free(c);
}

/// Keeps the command of the current sequence for followers. Old ones are
/// dropped a quarter at a time, so that a drop costs little per change.
void
sm_keep_change(struct sm *s, const uint8_t *bytes, size_t len)
{
	struct sm_change *c = g_new0(struct sm_change, 1);
	size_t drop = 0;

	c->sequence = s->sequence;
	c->len = len;
	c->bytes = g_memdup2(bytes, len);
	sm_list_add(&s->changes, c);
	s->change_bytes += len;
	if (s->changes.n > SM_CHANGES_KEPT + SM_CHANGES_KEPT / 4)
		drop = SM_CHANGES_KEPT / 4;
	else if (s->change_bytes > SM_CHANGES_KEPT_BYTES)
		drop = s->changes.n / 4;
	for (size_t i = 0; i < drop; i++) {
		const struct sm_change *old = s->changes.items[i];

		s->change_bytes -= old->len;
	}
	sm_list_drop(&s->changes, drop, release_change);
}

/// Drops all kept changes.
void
sm_forget_changes(struct sm *s)
{
	sm_list_drop(&s->changes, s->changes.n, release_change);
	s->change_bytes = 0;
}

/// First kept change after a sequence.
static enum st
first_after(const struct sm *s, uint64_t after, size_t *first)
{
	const uint64_t behind = s->sequence - after;

	if (after > s->sequence)
		return st_fail(ST_INVALID,
		    "sequence %" G_GUINT64_FORMAT " is ahead of "
		    "%" G_GUINT64_FORMAT,
		    after, s->sequence);
	if (behind > s->changes.n)
		return st_fail(ST_NOT_FOUND,
		    "changes after %" G_GUINT64_FORMAT " are not kept", after);
	*first = s->changes.n - (size_t)behind;
	return ST_OK;
}

enum st
sm_changes(const struct sm *s, uint64_t after, size_t max_bytes,
    uint8_t **bytes, size_t *len, uint64_t *to)
{
	size_t sum = 0;
	size_t first = 0;
	struct mp *m;
	enum st st = first_after(s, after, &first);

	if (st != ST_OK)
		return st;
	*to = after;
	m = mp_writer();
	for (size_t i = first; i < s->changes.n; i++) {
		struct sm_change *c = s->changes.items[i];
		const uint8_t *at = c->bytes;
		size_t n = c->len;

		sum += n;
		if (i > first && sum > max_bytes)
			break;
		mp_u64(m, &c->sequence);
		mp_bytes(m, &at, &n);
		*to = c->sequence;
	}
	mp_take(m, bytes, len);
	return ST_OK;
}

/// Checks that changes are whole and begin no later than the next one.
static enum st
check_changes(const struct sm *s, const uint8_t *bytes, size_t len)
{
	struct mp *m = mp_reader(bytes, len);
	uint64_t last = 0;
	enum st st = ST_OK;

	while (!mp_end(m) && st == ST_OK) {
		const uint8_t *at;
		size_t n;
		uint64_t sequence;

		mp_u64(m, &sequence);
		mp_bytes(m, &at, &n);
		if (mp_bad(m) || (last != 0 && sequence != last + 1))
			st = st_fail(ST_CORRUPT, "damaged changes");
		else if (last == 0 && sequence > s->sequence + 1)
			st = st_fail(ST_CONFLICT,
			    "changes from %" G_GUINT64_FORMAT
			    " leave a gap after %" G_GUINT64_FORMAT,
			    sequence, s->sequence);
		last = sequence;
	}
	mp_free(m);
	return st;
}

static enum st
follow_one(struct sm *s, uint64_t sequence, const uint8_t *bytes, size_t len)
{
	struct sm_result r;
	enum st st = ST_OK;

	if (sequence <= s->sequence)
		return ST_OK;
	sm_apply(s, bytes, len, &r);
	if (r.outcome != SM_ACCEPTED || r.sequence != sequence)
		st = st_fail(ST_CORRUPT,
		    "change %" G_GUINT64_FORMAT " does not apply: %s", sequence,
		    r.message);
	sm_result_clear(&r);
	return st;
}

enum st
sm_follow(struct sm *s, const uint8_t *bytes, size_t len)
{
	enum st st = check_changes(s, bytes, len);
	struct mp *m;

	if (st != ST_OK)
		return st;
	m = mp_reader(bytes, len);
	while (!mp_end(m) && st == ST_OK) {
		const uint8_t *at;
		size_t n;
		uint64_t sequence;

		mp_u64(m, &sequence);
		mp_bytes(m, &at, &n);
		st = follow_one(s, sequence, at, n);
	}
	mp_free(m);
	return st;
}

/// Number of items in a list: written, or read and checked.
static size_t
code_count(struct mp *m, size_t n)
{
	uint64_t count = n;

	mp_u64(m, &count);
	return (size_t)count;
}

static void
code_tables(struct mp *m, struct sm *s)
{
	for (int kind = 0; kind < NT_KINDS; kind++) {
		struct tb *t = &s->tables[kind];
		void *item = g_malloc0(t->item_bytes);
		const size_t n = code_count(m, t->n);

		for (size_t i = 0; i < n && !mp_bad(m); i++) {
			memset(item, 0, t->item_bytes);
			if (mp_writing(m))
				memcpy(item, tb_at(t, i), t->item_bytes);
			sm_code_item(m, (enum nt_kind)kind, item);
			if (!mp_writing(m) && !mp_bad(m))
				(void)tb_put(t, item);
		}
		g_free(item);
	}
}

static void
code_members(struct mp *m, struct sm *s)
{
	const size_t n = code_count(m, s->members.n);

	for (size_t i = 0; i < n && !mp_bad(m); i++) {
		struct sm_member member;

		memset(&member, 0, sizeof(member));
		if (mp_writing(m))
			memcpy(&member, tb_at(&s->members, i), sizeof(member));
		sm_code_member(m, &member);
		if (!mp_writing(m) && !mp_bad(m))
			(void)tb_put(&s->members, &member);
	}
}

static void
code_note(struct mp *m, struct sm_note *n)
{
	const uint8_t *text = (const uint8_t *)n->text;
	size_t len = text == NULL ? 0 : strlen(n->text);

	if (text == NULL)
		text = (const uint8_t *)"";
	mp_str(m, n->name, sizeof(n->name));
	mp_u64(m, &n->content_hash);
	mp_u64(m, &n->revision);
	mp_u64(m, &n->sequence);
	mp_bytes(m, &text, &len);
	if (!mp_writing(m) && len > 0)
		n->text = strndup((const char *)text, len);
}

static void
code_notes(struct mp *m, struct sm *s)
{
	const size_t n = code_count(m, s->notes.n);

	for (size_t i = 0; i < n && !mp_bad(m); i++) {
		struct sm_note *note;

		if (mp_writing(m)) {
			code_note(m, s->notes.items[i]);
			continue;
		}
		note = g_new0(struct sm_note, 1);
		code_note(m, note);
		sm_keep_note(s, note);
	}
}

static void
code_moves(struct mp *m, struct sm *s)
{
	const size_t n = code_count(m, s->moves.n);

	for (size_t i = 0; i < n && !mp_bad(m); i++) {
		struct sm_move move;

		memset(&move, 0, sizeof(move));
		if (mp_writing(m))
			move = *(const struct sm_move *)s->moves.items[i];
		sm_code_move(m, &move);
		if (!mp_writing(m))
			sm_keep_move(s, &move);
	}
}

static void
code_state(struct mp *m, struct sm *s)
{
	uint32_t format = SNAPSHOT_FORMAT;

	mp_u32(m, &format);
	if (format != SNAPSHOT_FORMAT) {
		mp_fail(m);
		return;
	}
	mp_u64(m, &s->revision);
	mp_u64(m, &s->sequence);
	mp_u64(m, &s->fence);
	mp_u64(m, &s->fence_term);
	mp_u64(m, &s->notice);
	code_tables(m, s);
	code_members(m, s);
	code_notes(m, s);
	code_moves(m, s);
}

void
sm_save(const struct sm *s, uint8_t **bytes, size_t *len)
{
	struct mp *m = mp_writer();

	// A writer leaves the state as it is.
	code_state(m, (struct sm *)s);
	mp_take(m, bytes, len);
}

enum st
sm_load(const uint8_t *bytes, size_t len, struct sm **out)
{
	struct mp *m = mp_reader(bytes, len);
	struct sm *s = sm_new();
	const char *where;
	bool good;

	code_state(m, s);
	good = mp_end(m) && sm_breach(s, &where) == NULL;
	mp_free(m);
	if (!good) {
		sm_free(s);
		*out = NULL;
		return st_fail(ST_CORRUPT, "damaged snapshot of the state");
	}
	*out = s;
	return ST_OK;
}
