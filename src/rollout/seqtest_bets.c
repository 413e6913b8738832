#include "rollout/seqtest.h"

#include <math.h>

/// Upper limit of a wealth, far above any e-value that a decision needs.
#define WEALTH_MAX 1e12
/// Limit of a factor's logarithm in both directions.
#define FACTOR_LOG_MAX 40.0

/// The bets that start at step t get the weight START_WEIGHT / (t ln(t)^2);
/// from t = 2 on these sum to less than 1, so the total stake does.
#define START_WEIGHT 0.47

/// Bisections of the search for an upper bound.
#define UPPER_BOUND_ROUNDS 40

/// Alternative rates, as fractions of the way from the baseline rate to 1.
static const double alternatives[SEQTEST_BETS] = { 0.03, 0.12, 0.35, 0.75 };

static double
start_weight(uint32_t step)
{
	const double t = step + 2.0;

	return START_WEIGHT / (t * log(t) * log(t));
}

/// Likelihood ratio of a batch under an alternative rate against the baseline
/// rate, limited by FACTOR_LOG_MAX.
static double
likelihood_ratio(double baseline_rate, double rate, uint32_t n, uint32_t events)
{
	const double l = events * log(rate / baseline_rate) +
	    (n - events) * log((1.0 - rate) / (1.0 - baseline_rate));

	return exp(fmin(fmax(l, -FACTOR_LOG_MAX), FACTOR_LOG_MAX));
}

/// Bets on a batch of responses. New bets start with each batch, so that a
/// fault that begins late is found as well.
///
/// @param baseline_rate  upper bound of the acceptable rate, in (0, 1)
/// @param n              responses
/// @param events         of these, the ones that failed or were slow
void
seqtest_bet(
    struct seqtest_bets *b, double baseline_rate, uint32_t n, uint32_t events)
{
	const double start = start_weight(b->steps);

	b->steps++;
	for (int i = 0; i < SEQTEST_BETS; i++) {
		const double rate =
		    baseline_rate + (1.0 - baseline_rate) * alternatives[i];
		const double f =
		    likelihood_ratio(baseline_rate, rate, n, events);

		b->wealth[i] = fmin((b->wealth[i] + start) * f, WEALTH_MAX);
	}
}

/// E-value of the bets: the mean of their wealth.
double
seqtest_bets_evalue(const struct seqtest_bets *b)
{
	double sum = 0;

	for (int i = 0; i < SEQTEST_BETS; i++)
		sum += b->wealth[i];
	return sum / SEQTEST_BETS;
}

/// Logarithm of the likelihood ratio of a uniform mixture of rates against one
/// rate.
static double
mixture_log(double n, double events, double rate)
{
	const double log_mixture =
	    lgamma(events + 1) + lgamma(n - events + 1) - lgamma(n + 2);

	return log_mixture - events * log(rate) - (n - events) * log1p(-rate);
}

/// Upper bound of a rate. It is valid at all times together, however often it
/// is computed while n grows.
///
/// @param n       observations
/// @param events  of these, the ones that count for the rate
/// @param error   chance that the rate is ever above the bound
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
	for (int i = 0; i < UPPER_BOUND_ROUNDS; i++) {
		const double middle = (low + high) / 2;

		if (mixture_log((double)n, (double)events, middle) < limit)
			low = middle;
		else
			high = middle;
	}
	return high;
}
