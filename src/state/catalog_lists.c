#include "state/catalog_internal.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16

/// Appends an item.
void
catalog_list_append(struct catalog_list *l, void *item)
{
	if (l->n == l->capacity) {
		l->capacity =
		    l->capacity == 0 ? INITIAL_CAPACITY : l->capacity * 2;
		l->items = g_renew(void *, l->items, l->capacity);
	}
	l->items[l->n++] = item;
}

/// Drops the first `n` items.
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

/// Stores an accepted note. Drops the oldest texts, and the oldest note, above
/// their limits.
///
/// @param note  owned by the catalog from now on
void
catalog_store_note(struct catalog *s, struct catalog_note *note)
{
	size_t i = s->n_texts_dropped;

	catalog_list_append(&s->notes, note);
	g_hash_table_insert(s->notes_by_name, note->name, note);
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
	g_hash_table_remove(s->notes_by_name, note->name);
	catalog_list_drop_front(&s->notes, 1, catalog_note_free);
	if (s->n_texts_dropped > 0)
		s->n_texts_dropped--;
}

/// Stores a copy of a rollout, and drops the oldest one above the limit.
void
catalog_store_rollout(struct catalog *s, const struct catalog_rollout *rollout)
{
	catalog_list_append(&s->rollouts, g_memdup2(rollout, sizeof(*rollout)));
	if (s->rollouts.n > CATALOG_MAX_ROLLOUTS)
		catalog_list_drop_front(&s->rollouts, 1, g_free);
}

size_t
catalog_note_count(const struct catalog *s)
{
	return s->notes.n;
}

bool
catalog_note_at(const struct catalog *s, size_t i, struct catalog_note *out)
{
	if (i >= s->notes.n)
		return false;
	*out = *(const struct catalog_note *)s->notes.items[i];
	return true;
}

bool
catalog_note(
    const struct catalog *s, const char *name, struct catalog_note *out)
{
	const struct catalog_note *n =
	    g_hash_table_lookup(s->notes_by_name, name);

	if (n == NULL)
		return false;
	*out = *n;
	return true;
}

size_t
catalog_rollouts(const struct catalog *s, uint64_t revision,
    struct catalog_rollout *out, size_t max_out)
{
	size_t n = 0;

	for (size_t i = 0; i < s->rollouts.n; i++) {
		const struct catalog_rollout *m = s->rollouts.items[i];

		if (m->revision != revision)
			continue;
		if (n < max_out)
			out[n] = *m;
		n++;
	}
	return n;
}
