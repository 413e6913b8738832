#include "fleet/partlog.h"

#include <glib.h>

struct partlog {
	size_t capacity;
	/// Key of the part -> time in microseconds, both gint64. When `newer`
	/// is full it becomes `older`, whose parts are dropped.
	GHashTable *newer;
	GHashTable *older;
};

static GHashTable *
table_new(void)
{
	return g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_free);
}

/// Part ids are hashes, so that those of several services rarely collide.
static gint64
key_of(const char *service, uint64_t part)
{
	return (gint64)(part ^ ((uint64_t)g_str_hash(service) << 32));
}

/// Creates an empty log, to be released with partlog_free().
struct partlog *
partlog_new(size_t capacity)
{
	struct partlog *p = g_new0(struct partlog, 1);

	p->capacity = capacity;
	p->newer = table_new();
	p->older = table_new();
	return p;
}

/// Releases a log; NULL is allowed.
void
partlog_free(struct partlog *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->newer);
	g_hash_table_destroy(p->older);
	g_free(p);
}

/// Records that a prompt with this part was answered completely.
void
partlog_record(
    struct partlog *p, const char *service, uint64_t part, uint64_t now_us)
{
	gint64 *key = g_new(gint64, 1);
	gint64 *value = g_new(gint64, 1);

	*key = key_of(service, part);
	*value = (gint64)now_us;
	(void)g_hash_table_replace(p->newer, key, value);
	if (g_hash_table_size(p->newer) < p->capacity)
		return;
	g_hash_table_destroy(p->older);
	p->older = p->newer;
	p->newer = table_new();
}

/// When a prompt with this part was last answered completely; 0: not known.
uint64_t
partlog_last_us(const struct partlog *p, const char *service, uint64_t part)
{
	const gint64 key = key_of(service, part);
	const gint64 *at = g_hash_table_lookup(p->newer, &key);

	if (at == NULL)
		at = g_hash_table_lookup(p->older, &key);
	return at == NULL ? 0 : (uint64_t)*at;
}
