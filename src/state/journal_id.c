#include "state/journal.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

/// Largest group number in a request id.
#define GROUP_MAX 9999

uint32_t
journal_group_of(const char *customer, const char *key, uint32_t n_groups)
{
	const uint64_t seed = XXH64(customer, strlen(customer), 0);

	assert(n_groups > 0);
	return 1 + (uint32_t)(XXH64(key, strlen(key), seed) % n_groups);
}

void
journal_make_id(uint64_t random, uint64_t unique, uint32_t group,
    char out[JOURNAL_ID_BYTES])
{
	assert(group > 0 && group <= GROUP_MAX);
	(void)g_snprintf(out, JOURNAL_ID_BYTES,
	    "%u-%016" G_GINT64_MODIFIER "x%08" G_GINT64_MODIFIER "x", group,
	    random, unique);
}

uint32_t
journal_group_of_id(const char *id)
{
	const char *dash = strchr(id, '-');
	guint64 group;
	gchar *text;
	gboolean good;

	if (dash == NULL)
		return 0;
	text = g_strndup(id, (gsize)(dash - id));
	good = g_ascii_string_to_unsigned(text, 10, 1, GROUP_MAX, &group, NULL);
	g_free(text);
	return good ? (uint32_t)group : 0;
}

/// Hash of a request's body. It distinguishes a resend from another request
/// under the same key.
uint64_t
journal_body_hash(const uint8_t *body, size_t len)
{
	return XXH64(body, len, 0);
}
