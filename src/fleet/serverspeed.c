#include "fleet/serverspeed.h"

#include <glib.h>
#include <string.h>

/// Samples kept of a server, the newest ones.
#define KEPT_SAMPLES 9
/// Samples before a server has a figure.
#define MIN_SAMPLES 5
/// Figures are multiples of this.
#define STEP_PERCENT 5
/// A figure changes if the samples differ from it by more than this.
#define CHANGE_PERCENT (2 * STEP_PERCENT)

struct speed {
	uint32_t samples[KEPT_SAMPLES]; ///< a ring
	uint32_t n;                     ///< samples ever
	uint32_t figure;                ///< 0: none yet
};

struct serverspeed {
	GHashTable *servers; ///< id -> struct speed
};

/// Makes an empty table, to be released with serverspeed_free().
struct serverspeed *
serverspeed_new(void)
{
	struct serverspeed *s = g_new0(struct serverspeed, 1);

	s->servers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return s;
}

/// Releases a table; NULL is allowed.
void
serverspeed_free(struct serverspeed *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->servers);
	g_free(s);
}

static struct speed *
find_or_add(struct serverspeed *s, const char *server)
{
	struct speed *p = g_hash_table_lookup(s->servers, server);

	if (p == NULL) {
		p = g_new0(struct speed, 1);
		(void)g_hash_table_insert(s->servers, g_strdup(server), p);
	}
	return p;
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	const uint32_t x = *(const uint32_t *)a;
	const uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/// The lower median, since a server's slow moments make samples high.
static uint32_t
median_of(const struct speed *p)
{
	const uint32_t n = MIN(p->n, KEPT_SAMPLES);
	uint32_t sorted[KEPT_SAMPLES];

	memcpy(sorted, p->samples, sizeof(sorted));
	qsort(sorted, n, sizeof(sorted[0]), by_value);
	return sorted[(n - 1) / 2];
}

static uint32_t
round_to_step(uint32_t percent)
{
	return MAX((percent + STEP_PERCENT / 2) / STEP_PERCENT, 1) *
	    STEP_PERCENT;
}

/// Adds what a response of a server stated.
void
serverspeed_add(
    struct serverspeed *s, const char *server, uint32_t pace_percent)
{
	struct speed *p = find_or_add(s, server);
	uint32_t median;

	p->samples[p->n++ % KEPT_SAMPLES] = pace_percent;
	if (p->n < MIN_SAMPLES)
		return;
	median = median_of(p);
	if (p->figure == 0 ||
	    MAX(median, p->figure) - MIN(median, p->figure) > CHANGE_PERCENT)
		p->figure = round_to_step(median);
}

/// Sets a figure that an earlier leader told.
void
serverspeed_set(
    struct serverspeed *s, const char *server, uint32_t pace_percent)
{
	struct speed *p = find_or_add(s, server);

	if (p->figure == 0)
		p->figure = pace_percent;
}

/// The figure of a server in percent; 0: none yet.
uint32_t
serverspeed_get(const struct serverspeed *s, const char *server)
{
	const struct speed *p = g_hash_table_lookup(s->servers, server);

	return p == NULL ? 0 : p->figure;
}

/// Drops the servers that aren't listed any more.
void
serverspeed_retain(struct serverspeed *s,
    bool (*is_listed)(void *arg, const char *server), void *arg)
{
	GHashTableIter it;
	gpointer server;

	g_hash_table_iter_init(&it, s->servers);
	while (g_hash_table_iter_next(&it, &server, NULL)) {
		if (!is_listed(arg, server))
			g_hash_table_iter_remove(&it);
	}
}
