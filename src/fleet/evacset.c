#include "fleet/evacset.h"

#include <glib.h>
#include <string.h>

#include "codec/codec.h"

/// Index of a data centre; `s->n` if it isn't in the set.
static uint32_t
find(const struct evacset *s, const char *zone)
{
	uint32_t i = 0;

	while (i < s->n && strcmp(s->entries[i].zone, zone) != 0)
		i++;
	return i;
}

/// Whether the servers of a data centre get no requests.
bool
evacset_covers(const struct evacset *s, const char *zone)
{
	return find(s, zone) < s->n;
}

/// Whether the set takes no further data centre.
bool
evacset_is_full(const struct evacset *s)
{
	return s->n == EVACSET_MAX;
}

/// Adds a data centre.
///
/// @param revision  of the set after the change
/// @return false, with nothing changed, when it is in the set already, or the
///         set is full
bool
evacset_add(
    struct evacset *s, uint64_t revision, const char *zone, uint64_t since_us)
{
	struct evacset_entry *e;

	if (evacset_covers(s, zone) || evacset_is_full(s))
		return false;
	e = &s->entries[s->n++];
	(void)g_strlcpy(e->zone, zone, sizeof(e->zone));
	e->since_us = since_us;
	s->revision = revision;
	return true;
}

/// Removes a data centre.
///
/// @param revision  of the set after the change
/// @return false, with nothing changed, when it isn't in the set
bool
evacset_remove(struct evacset *s, uint64_t revision, const char *zone)
{
	const uint32_t i = find(s, zone);

	if (i == s->n)
		return false;
	s->n--;
	memmove(&s->entries[i], &s->entries[i + 1],
	    (s->n - i) * sizeof(s->entries[0]));
	s->entries[s->n] = (struct evacset_entry){ .since_us = 0 };
	s->revision = revision;
	return true;
}

/// Compares a received set with the one in force. Revisions grow with each
/// change, whoever leads.
enum evacset_news
evacset_compare(const struct evacset *in_force, const struct evacset *received)
{
	if (received->revision == in_force->revision)
		return EVACSET_SAME;
	return received->revision > in_force->revision ? EVACSET_NEWER
						       : EVACSET_OLDER;
}

/// Encodes or decodes a set.
void
evacset_code(struct codec *m, struct evacset *s)
{
	codec_u64(m, &s->revision);
	codec_u32(m, &s->n);
	if (s->n > EVACSET_MAX) {
		codec_fail(m);
		s->n = 0;
	}
	for (uint32_t i = 0; i < s->n; i++) {
		codec_str(m, s->entries[i].zone, sizeof(s->entries[i].zone));
		codec_u64(m, &s->entries[i].since_us);
	}
}

/// The names in the set, separated by commas; "-" if there are none.
///
/// @return to be released with g_free()
char *
evacset_names(const struct evacset *s)
{
	GString *names = g_string_new(s->n == 0 ? "-" : NULL);

	for (uint32_t i = 0; i < s->n; i++)
		g_string_append_printf(
		    names, "%s%s", i == 0 ? "" : ",", s->entries[i].zone);
	return g_string_free(names, FALSE);
}
