#include "base/rnd.h"

#include <assert.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>

struct rnd {
	gsl_rng *rng;
};

/// Creates a generator.
///
/// @param seed  determines the whole sequence
/// @return generator, to be released with rnd_free()
struct rnd *
rnd_new(uint64_t seed)
{
	struct rnd *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	r->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(r->rng, (unsigned long)seed);
	return r;
}

/// Releases a generator; NULL is allowed.
void
rnd_free(struct rnd *r)
{
	if (r == NULL)
		return;
	gsl_rng_free(r->rng);
	free(r);
}

/// Returns 64 random bits.
uint64_t
rnd_u64(struct rnd *r)
{
	const uint64_t high = gsl_rng_get(r->rng);

	return (high << 32) | gsl_rng_get(r->rng);
}

/// Returns a number below `limit`, uniformly distributed except for a modulo
/// bias of at most `limit` / 2^64.
///
/// @param limit  above 0
uint64_t
rnd_below(struct rnd *r, uint64_t limit)
{
	assert(limit > 0);
	return rnd_u64(r) % limit;
}

/// Returns a number uniformly distributed in [0, 1).
double
rnd_unit(struct rnd *r)
{
	return gsl_rng_uniform(r->rng);
}

/// Returns an exponentially distributed number.
double
rnd_exponential(struct rnd *r, double mean)
{
	return gsl_ran_exponential(r->rng, mean);
}

/// Returns a log-normally distributed number.
///
/// @param median  median of the distribution, above 0
/// @param sigma   standard deviation of its logarithm
double
rnd_lognormal(struct rnd *r, double median, double sigma)
{
	return gsl_ran_lognormal(r->rng, log(median), sigma);
}
