#include "load/hist.h"

#include <glib.h>
#include <math.h>

#define SUB_BITS 6
#define SUB_BUCKETS (1U << SUB_BITS)
#define BUCKETS (64U * SUB_BUCKETS)

struct loadgen_hist {
	uint64_t n;
	uint64_t max;
	uint64_t buckets[BUCKETS];
};

/// Makes an empty histogram.
struct loadgen_hist *
loadgen_hist_new(void)
{
	return g_new0(struct loadgen_hist, 1);
}

/// Releases a histogram.
void
loadgen_hist_free(struct loadgen_hist *h)
{
	g_free(h);
}

static unsigned
bucket_of(uint64_t v)
{
	unsigned shift;

	if (v < SUB_BUCKETS)
		return (unsigned)v;
	shift = 63U - (unsigned)__builtin_clzll(v) - SUB_BITS;
	return (shift + 1) * SUB_BUCKETS +
	    (unsigned)((v >> shift) - SUB_BUCKETS);
}

static uint64_t
bucket_top(unsigned b)
{
	unsigned shift;

	if (b < SUB_BUCKETS)
		return b;
	shift = b / SUB_BUCKETS - 1;
	return ((uint64_t)(b % SUB_BUCKETS + SUB_BUCKETS + 1) << shift) - 1;
}

/// Counts one value.
void
loadgen_hist_add(struct loadgen_hist *h, uint64_t value_us)
{
	h->n++;
	h->buckets[bucket_of(value_us)]++;
	if (value_us > h->max)
		h->max = value_us;
}

/// Number of values.
uint64_t
loadgen_hist_count(const struct loadgen_hist *h)
{
	return h->n;
}

/// Largest value.
uint64_t
loadgen_hist_max(const struct loadgen_hist *h)
{
	return h->max;
}

/// Value that a part `q` of all values does not exceed; 0 when empty.
uint64_t
loadgen_hist_quantile(const struct loadgen_hist *h, double q)
{
	const uint64_t rank = (uint64_t)ceil(q * (double)h->n);
	uint64_t seen = 0;

	for (unsigned b = 0; b < BUCKETS; b++) {
		seen += h->buckets[b];
		if (seen >= rank && seen > 0)
			return MIN(bucket_top(b), h->max);
	}
	return 0;
}
