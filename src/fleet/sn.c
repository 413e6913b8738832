#include "fleet/sn.h"

#include <math.h>

#define US_PER_S 1e6
/// Time over which the share of late answers is smoothed.
#define SMOOTH_S 2.0
/// Shares of late answers above and below which the need is changed.
#define SLOW_HIGH 0.08
#define SLOW_LOW 0.02
#define STEP_UP 1.15
/// With most answers late the need is far from what is there.
#define SLOW_MOST 0.4
#define STEP_FAR_UP 1.4
#define STEP_DOWN 0.97
/// Servers that were ordered take work after about this.
#define STEP_UP_US 3000000
#define STEP_DOWN_US 4000000
/// The need isn't raised far beyond what is there: these couldn't come either.
#define MOST_BEYOND 1.5

/// Starts with a first guess.
void
sn_start(struct sn *s, uint64_t now_us, double need)
{
	*s = (struct sn){
		.need = need,
		.stepped_us = now_us,
		.last_us = now_us,
	};
}

/// Takes what happened since the last step into account.
void
sn_step(struct sn *s, uint64_t now_us, const struct sn_sample *sample)
{
	const double age_s = (double)(now_us - s->last_us) / US_PER_S;
	const double weight = 1 - exp(-age_s / SMOOTH_S);

	s->last_us = now_us;
	if (sample->answered > 0)
		s->slow += weight *
		    ((double)sample->slow / sample->answered - s->slow);
	if (s->slow > SLOW_HIGH && now_us >= s->stepped_us + STEP_UP_US &&
	    s->need < MOST_BEYOND * sample->servers) {
		s->need *= s->slow > SLOW_MOST ? STEP_FAR_UP : STEP_UP;
		s->stepped_us = now_us;
	} else if (s->slow < SLOW_LOW &&
	    now_us >= s->stepped_us + STEP_DOWN_US && s->need > 1) {
		s->need *= STEP_DOWN;
		s->stepped_us = now_us;
	}
}
