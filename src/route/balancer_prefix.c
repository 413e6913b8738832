#include "route/balancer.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

size_t
balancer_hash_prompt(const void *text, size_t len, uint64_t *out, size_t max)
{
	const uint8_t *bytes = text;
	uint64_t hash = 0;
	size_t n = 0;

	while (n < max && (n + 1) * BALANCER_BLOCK_BYTES <= len) {
		hash = XXH64(bytes + n * BALANCER_BLOCK_BYTES,
		    BALANCER_BLOCK_BYTES, hash);
		out[n++] = hash;
	}
	return n;
}

/// A server's rendezvous score for one entry.
struct scored_server {
	uint64_t score;
	size_t index;
};

static int
by_score(const void *a, const void *b)
{
	const struct scored_server *x = a;
	const struct scored_server *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

size_t
balancer_subset(const char *entry, const char *const *names, size_t n,
    size_t want, size_t *picked)
{
	const uint64_t seed = XXH64(entry, strlen(entry), 0);
	const size_t count = n < want ? n : want;
	struct scored_server *all = g_new(struct scored_server, n + 1);

	for (size_t i = 0; i < n; i++) {
		all[i].score = XXH64(names[i], strlen(names[i]), seed);
		all[i].index = i;
	}
	qsort(all, n, sizeof(*all), by_score);
	for (size_t i = 0; i < count; i++)
		picked[i] = all[i].index;
	g_free(all);
	return count;
}
