#include "fleet/sizing.h"

#include <math.h>

#define US_PER_S 1e6
/// Time constants of the averages.
#define FAST_AVERAGE_S 2.5
#define SLOW_AVERAGE_S 12.0
/// Share of its time that a server should be busy with prompts; the rest is for
/// bursts and for the output tokens of streams.
#define TARGET_UTILIZATION 0.6
/// The initial need is kept until load was seen for this long.
#define MIN_SAMPLING_US 3000000
/// The need falls by at most this share per second; it rises at once.
#define MAX_FALL_PER_S 0.05

/// Initializes the sizing.
///
/// @param need  initial estimate of the needed servers
void
sizing_init(struct sizing *s, double need)
{
	*s = (struct sizing){ .servers = need };
}

/// Whether any load was seen.
bool
sizing_has_samples(const struct sizing *s)
{
	return s->start_us != 0;
}

/// Whether load was seen for long enough to set the need.
bool
sizing_is_measured(const struct sizing *s, uint64_t now_us)
{
	return s->start_us != 0 && now_us >= s->start_us + MIN_SAMPLING_US;
}

/// Updates an exponential moving average with time constant `over_s`.
static void
update_average(double *value, double sample, double age_s, double over_s)
{
	*value += (1 - exp(-age_s / over_s)) * (sample - *value);
}

/// An average that began at 0, as if it had begun at the mean of its samples.
static double
without_start(double average, double elapsed_s, double over_s)
{
	return average / (1 - exp(-elapsed_s / over_s));
}

/// Number of servers that the load of a sample keeps busy.
static double
busy_servers(const struct sizing_sample *sample, double age_s)
{
	if (sample->tokens_per_s > 0)
		return sample->tokens / sample->tokens_per_s / age_s;
	if (sample->concurrency_per_server > 0)
		return sample->busy_s / sample->concurrency_per_server / age_s;
	return 0;
}

/// Adds a sample and updates the need.
void
sizing_update(
    struct sizing *s, uint64_t now_us, const struct sizing_sample *sample)
{
	double age_s;
	double elapsed_s;
	double wanted;

	if (s->start_us == 0) {
		if (busy_servers(sample, 1) <= 0)
			return;
		s->start_us = now_us;
		s->last_us = now_us;
		return;
	}
	age_s = (double)(now_us - s->last_us) / US_PER_S;
	if (age_s <= 0)
		return;
	s->last_us = now_us;
	update_average(&s->fast_average, busy_servers(sample, age_s), age_s,
	    FAST_AVERAGE_S);
	update_average(&s->slow_average, busy_servers(sample, age_s), age_s,
	    SLOW_AVERAGE_S);
	if (!sizing_is_measured(s, now_us))
		return;
	elapsed_s = (double)(now_us - s->start_us) / US_PER_S;
	wanted =
	    fmax(without_start(s->fast_average, elapsed_s, FAST_AVERAGE_S),
		without_start(s->slow_average, elapsed_s, SLOW_AVERAGE_S)) /
	    TARGET_UTILIZATION;
	if (wanted >= s->servers)
		s->servers = wanted;
	else
		s->servers =
		    fmax(wanted, s->servers * (1 - MAX_FALL_PER_S * age_s));
}
