#ifndef BASE_RND_H
#define BASE_RND_H

#include <stdint.h>

/// Seeded pseudo-random number generator (Mersenne Twister). Equal seeds give
/// equal sequences.
struct rnd;

struct rnd *rnd_new(uint64_t seed);
void rnd_free(struct rnd *r);
uint64_t rnd_u64(struct rnd *r);
uint64_t rnd_below(struct rnd *r, uint64_t limit);
double rnd_unit(struct rnd *r);
double rnd_exponential(struct rnd *r, double mean);
double rnd_lognormal(struct rnd *r, double median, double sigma);

#endif
