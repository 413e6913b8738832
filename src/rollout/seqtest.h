#ifndef ROLLOUT_SEQTEST_H
#define ROLLOUT_SEQTEST_H

#include "rollout/rollout_stats.h"

/// Sequential test of a new version against its baseline with betting e-values.
/// With each response, the wealth of a bet is multiplied by a factor whose mean
/// is at most 1 as long as the version is not worse. The chance that the
/// e-value of a good version ever reaches N is therefore at most 1/N, however
/// often it is checked. See docs/design/rollout.md.

#define SEQTEST_BETS 4 ///< Alternative rates that are bet on.

/// Bets on the rate of one kind of event; all zero at the start.
struct seqtest_bets {
	double wealth[SEQTEST_BETS]; ///< One for each alternative rate.
	uint32_t steps;              ///< Batches so far.
};

void seqtest_bet(
    struct seqtest_bets *b, double baseline_rate, uint32_t n, uint32_t events);
double seqtest_bets_evalue(const struct seqtest_bets *b);
double seqtest_upper_bound(uint64_t n, uint64_t events, double error);

struct seqtest;

struct seqtest *seqtest_new(uint64_t version, uint64_t baseline);
void seqtest_free(struct seqtest *t);
void seqtest_set_baseline(struct seqtest *t, uint64_t baseline);
void seqtest_update(struct seqtest *t, const struct rollout_stats *stats);
void seqtest_update_cell(struct seqtest *t, const struct rollout_stats *stats,
    const struct rollout_stats_cell *cell);
double seqtest_evalue(const struct seqtest *t);
enum rollout_metric seqtest_worst_metric(const struct seqtest *t);
uint64_t seqtest_responses(const struct seqtest *t);

#endif
