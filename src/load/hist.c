#include "load/hist.h"

#include <glib.h>
#include <math.h>

#define SUB_BITS 6 ///< Each power of two has 2^SUB_BITS buckets.
#define SUB_BUCKETS (1U << SUB_BITS)
#define BUCKETS (64U * SUB_BUCKETS)

struct loadgen_hist {
	uint64_t n;
	uint64_t max;
	uint64_t buckets[BUCKETS];
};

/// Creates an empty histogram.
struct loadgen_hist *
loadgen_hist_new(void)
{
	return g_new0(struct loadgen_hist, 1);
}

/// Frees a histogram.
void
loadgen_hist_free(struct loadgen_hist *h)
{
	g_free(h);
}

static unsigned
bucket_index(uint64_t v)
{
	unsigned shift;

	if (v < SUB_BUCKETS)
		return (unsigned)v;
	shift = 63U - (unsigned)__builtin_clzll(v) - SUB_BITS;
	return (shift + 1) * SUB_BUCKETS +
	    (unsigned)((v >> shift) - SUB_BUCKETS);
}

static uint64_t
bucket_max(unsigned b)
{
	unsigned shift;

	if (b < SUB_BUCKETS)
		return b;
	shift = b / SUB_BUCKETS - 1;
	return ((uint64_t)(b % SUB_BUCKETS + SUB_BUCKETS + 1) << shift) - 1;
}

/// Adds one value.
void
loadgen_hist_add(struct loadgen_hist *h, uint64_t value_us)
{
	h->n++;
	h->buckets[bucket_index(value_us)]++;
	if (value_us > h->max)
		h->max = value_us;
}

/// Number of values added.
uint64_t
loadgen_hist_count(const struct loadgen_hist *h)
{
	return h->n;
}

/// Largest value added, in microseconds; 0 when empty.
uint64_t
loadgen_hist_max(const struct loadgen_hist *h)
{
	return h->max;
}

/// Returns the `q` quantile in microseconds, rounded up to the end of its
/// bucket; 0 when empty.
///
/// @param q  from 0 to 1
uint64_t
loadgen_hist_quantile(const struct loadgen_hist *h, double q)
{
	const uint64_t rank = (uint64_t)ceil(q * (double)h->n);
	uint64_t cumulative = 0;

	for (unsigned b = 0; b < BUCKETS; b++) {
		cumulative += h->buckets[b];
		if (cumulative >= rank && cumulative > 0)
			return MIN(bucket_max(b), h->max);
	}
	return 0;
}
