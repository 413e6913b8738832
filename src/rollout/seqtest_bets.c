#include "rollout/seqtest.h"

#include <math.h>

/// A stake never grows beyond this; it is far above any level in use.
#define STAKE_MAX 1e12
#define FACTOR_LOG_MAX 40.0

/// Weight of the bets that start at step t: START_WEIGHT / (t ln(t)^2) from
/// t = 2 on sums to less than 1.
#define START_WEIGHT 0.47

#define UPPER_ROUNDS 40

/// Alternatives: a rate this part of the way from the usual one to 1.
static const double parts[SEQTEST_BETS] = { 0.03, 0.12, 0.35, 0.75 };

static double
start_weight(uint32_t step)
{
	const double t = step + 2.0;

	return START_WEIGHT / (t * log(t) * log(t));
}

static double
factor(double usual, double rate, uint32_t n, uint32_t events)
{
	const double l = events * log(rate / usual) +
	    (n - events) * log((1.0 - rate) / (1.0 - usual));

	return exp(fmin(fmax(l, -FACTOR_LOG_MAX), FACTOR_LOG_MAX));
}

/// Bets on a batch of answers. New stakes start at each step, so that a
/// fault that shows late is found as well.
///
/// @param usual   upper bound of the rate that is in order, in (0, 1)
/// @param n       answers
/// @param events  of these, the ones that failed or were slow
void
seqtest_bet(struct seqtest_bets *b, double usual, uint32_t n, uint32_t events)
{
	const double start = start_weight(b->steps);

	b->steps++;
	for (int i = 0; i < SEQTEST_BETS; i++) {
		const double rate = usual + (1.0 - usual) * parts[i];
		const double f = factor(usual, rate, n, events);

		b->stake[i] = fmin((b->stake[i] + start) * f, STAKE_MAX);
	}
}

/// Value of the bets: an e-value.
double
seqtest_bets_evalue(const struct seqtest_bets *b)
{
	double sum = 0;

	for (int i = 0; i < SEQTEST_BETS; i++)
		sum += b->stake[i];
	return sum / SEQTEST_BETS;
}

/// Logarithm of the mixture likelihood ratio against a rate.
static double
mixture_log(double n, double events, double rate)
{
	const double top =
	    lgamma(events + 1) + lgamma(n - events + 1) - lgamma(n + 2);

	return top - events * log(rate) - (n - events) * log1p(-rate);
}

/// Upper bound of a rate that holds at all times at once.
///
/// @param error  chance that the rate is ever above it
/// @return a rate in (0, 1]
double
seqtest_upper_bound(uint64_t n, uint64_t events, double error)
{
	const double limit = -log(error);
	double low;
	double high = 1.0;

	if (n == 0)
		return 1.0;
	low = (double)events / (double)n;
	for (int i = 0; i < UPPER_ROUNDS; i++) {
		const double middle = (low + high) / 2;

		if (mixture_log((double)n, (double)events, middle) < limit)
			low = middle;
		else
			high = middle;
	}
	return high;
}
