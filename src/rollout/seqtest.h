#ifndef ROLLOUT_SEQTEST_H
#define ROLLOUT_SEQTEST_H

#include "rollout/rollout_stats.h"

/// Judge of one version against the one it replaces, by betting: each
/// account of bets multiplies by a factor whose mean is at most 1 as long
/// as the version is not worse, so that the chance of ever seeing the value
/// N is at most 1/N, however often one looks. See
/// docs/design/rollout.md.

#define SEQTEST_BETS 4

/// Bets on the rate of one kind of event.
struct seqtest_bets {
	double stake[SEQTEST_BETS];
	uint32_t steps;
};

void seqtest_bet(
    struct seqtest_bets *b, double usual, uint32_t n, uint32_t events);
double seqtest_bets_evalue(const struct seqtest_bets *b);
double seqtest_upper_bound(uint64_t n, uint64_t events, double error);

struct seqtest;

struct seqtest *seqtest_new(uint64_t version, uint64_t incumbent);
void seqtest_free(struct seqtest *j);
void seqtest_set_baseline(struct seqtest *j, uint64_t incumbent);
void seqtest_update(struct seqtest *j, const struct rollout_stats *ev);
void seqtest_update_cell(struct seqtest *j, const struct rollout_stats *ev,
    const struct rollout_stats_cell *cell);
double seqtest_evalue(const struct seqtest *j);
enum rollout_metric seqtest_worst_metric(const struct seqtest *j);
uint64_t seqtest_responses(const struct seqtest *j);

#endif
