#include "fleet/sizing.h"

#include <math.h>

#define US_PER_S 1e6
#define FAST_S 2.5
#define SLOW_S 12.0
/// Share of its time that a server should be busy with prompts; a burst and
/// the tokens of streams take the rest.
#define TARGET_USE 0.6
/// A need is known once work was seen for so long.
#define KNOWN_US 3000000
/// A smaller need is followed by this share a second, a greater one at once.
#define FALL_A_SECOND 0.05

/// Starts with a guess.
void
sizing_init(struct sizing *s, double need)
{
	*s = (struct sizing){ .need = need };
}

/// Whether any work was seen since the start.
bool
sizing_has_samples(const struct sizing *s)
{
	return s->start_us != 0;
}

static void
smooth(double *value, double sample, double age_s, double over_s)
{
	*value += (1 - exp(-age_s / over_s)) * (sample - *value);
}

/// Servers that the work of a sample kept busy.
static double
busy(const struct sizing_sample *sample, double age_s)
{
	if (sample->tokens_per_s > 0)
		return sample->tokens / sample->tokens_per_s / age_s;
	if (sample->concurrency_per_server > 0)
		return sample->busy_s / sample->concurrency_per_server / age_s;
	return 0;
}

/// Takes what arrived since the last step into account.
void
sizing_update(
    struct sizing *s, uint64_t now_us, const struct sizing_sample *sample)
{
	double age_s;
	double want;

	if (s->start_us == 0) {
		if (busy(sample, 1) <= 0)
			return;
		s->start_us = now_us;
		s->last_us = now_us;
		return;
	}
	age_s = (double)(now_us - s->last_us) / US_PER_S;
	if (age_s <= 0)
		return;
	s->last_us = now_us;
	smooth(&s->fast, busy(sample, age_s), age_s, FAST_S);
	smooth(&s->slow, busy(sample, age_s), age_s, SLOW_S);
	if (now_us < s->start_us + KNOWN_US)
		return;
	want = fmax(s->fast, s->slow) / TARGET_USE;
	if (want >= s->need)
		s->need = want;
	else
		s->need = fmax(want, s->need * (1 - FALL_A_SECOND * age_s));
}
