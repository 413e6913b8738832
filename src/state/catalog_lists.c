#include "state/catalog_internal.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_ROOM 16

/// Adds an item at the end.
void
catalog_list_append(struct catalog_list *l, void *item)
{
	if (l->n == l->room) {
		l->room = l->room == 0 ? FIRST_ROOM : l->room * 2;
		l->items = g_renew(void *, l->items, l->room);
	}
	l->items[l->n++] = item;
}

/// Drops items from the front.
void
catalog_list_drop_front(
    struct catalog_list *l, size_t n, void (*release)(void *))
{
	for (size_t i = 0; i < n; i++)
		release(l->items[i]);
	l->n -= n;
	if (l->n > 0)
		memmove(l->items, l->items + n, l->n * sizeof(*l->items));
}

/// Releases an accepted note.
void
catalog_note_free(void *note)
{
	struct catalog_note *n = note;

	free((char *)n->text);
	g_free(n);
}

/// Keeps an accepted note, and drops what is too old.
///
/// @param note  taken over
void
catalog_store_note(struct catalog *s, struct catalog_note *note)
{
	size_t i = s->n_texts_dropped;

	catalog_list_append(&s->notes, note);
	g_hash_table_insert(s->by_name, note->name, note);
	if (note->text != NULL)
		s->text_bytes += strlen(note->text);
	for (; s->text_bytes > CATALOG_MAX_NOTE_TEXT_BYTES; i++) {
		struct catalog_note *old = s->notes.items[i];

		if (old->text == NULL)
			continue;
		s->text_bytes -= strlen(old->text);
		free((char *)old->text);
		old->text = NULL;
	}
	s->n_texts_dropped = i;
	if (s->notes.n <= CATALOG_MAX_NOTES)
		return;
	note = s->notes.items[0];
	if (note->text != NULL)
		s->text_bytes -= strlen(note->text);
	g_hash_table_remove(s->by_name, note->name);
	catalog_list_drop_front(&s->notes, 1, catalog_note_free);
	if (s->n_texts_dropped > 0)
		s->n_texts_dropped--;
}

/// Keeps the record of a move, and drops the oldest when there are many.
void
catalog_store_rollout(struct catalog *s, const struct catalog_rollout *move)
{
	catalog_list_append(&s->moves, g_memdup2(move, sizeof(*move)));
	if (s->moves.n > CATALOG_MAX_ROLLOUTS)
		catalog_list_drop_front(&s->moves, 1, g_free);
}

/// Number of notes that are kept.
size_t
catalog_note_count(const struct catalog *s)
{
	return s->notes.n;
}

/// A kept note by number.
bool
catalog_note_at(const struct catalog *s, size_t i, struct catalog_note *out)
{
	if (i >= s->notes.n)
		return false;
	*out = *(const struct catalog_note *)s->notes.items[i];
	return true;
}

/// A kept note by name.
bool
catalog_note(
    const struct catalog *s, const char *name, struct catalog_note *out)
{
	const struct catalog_note *n = g_hash_table_lookup(s->by_name, name);

	if (n == NULL)
		return false;
	*out = *n;
	return true;
}

/// Moves of the note of a revision.
///
/// @param room  how many `out` holds
/// @return how many there are
size_t
catalog_rollouts(const struct catalog *s, uint64_t revision,
    struct catalog_rollout *out, size_t room)
{
	size_t n = 0;

	for (size_t i = 0; i < s->moves.n; i++) {
		const struct catalog_rollout *m = s->moves.items[i];

		if (m->revision != revision)
			continue;
		if (n < room)
			out[n] = *m;
		n++;
	}
	return n;
}
