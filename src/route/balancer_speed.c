#include "route/balancer_internal.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/timerq.h"

/// How fast servers are, where they state it in their load reports: the usual
/// pace of a server and its pace at this moment.

/// Age at which a stated pace says nothing more of the moment.
#define MOMENT_US (500 * USEC_PER_MSEC)
/// Weight of the newest response in the mean pace.
#define MEAN_WEIGHT 0.1

/// Sets a server's usual pace as control tells it.
///
/// @param percent  of the usual time; 0: not known
void
balancer_set_pace(struct balancer *r, handle_t server, uint32_t percent)
{
	struct balancer_server *p = balancer__server(r, server);

	if (p == NULL)
		return;
	p->speed.told_percent = percent;
	if (percent > 0)
		p->pool->has_pace = true;
}

/// Records the pace that a response stated.
void
balancer__speed_record(
    struct balancer_server *p, uint64_t at_us, uint32_t percent)
{
	const double pace = (double)percent / BALANCER_PACE_NORMAL;
	const uint32_t usual = balancer__usual_pace(p);
	struct balancer_speed *s = &p->speed;

	if (percent == 0)
		return;
	p->pool->has_pace = true;
	s->now_percent = percent;
	s->now_us = at_us;
	s->samples[s->n++ % BALANCER_PACE_SAMPLES] = percent;
	if (s->mean_pace <= 0)
		s->mean_pace = (double)usual / BALANCER_PACE_NORMAL;
	s->mean_pace += MEAN_WEIGHT * (pace - s->mean_pace);
}

static int
by_value(const void *a, const void *b)
{
	const uint32_t x = *(const uint32_t *)a;
	const uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/// The usual pace of a server in percent: as told, else the lower median of own
/// samples.
uint32_t
balancer__usual_pace(const struct balancer_server *p)
{
	const struct balancer_speed *s = &p->speed;
	const uint32_t n = MIN(s->n, BALANCER_PACE_SAMPLES);
	uint32_t sorted[BALANCER_PACE_SAMPLES];

	if (s->told_percent > 0)
		return s->told_percent;
	if (n == 0)
		return BALANCER_PACE_NORMAL;
	memcpy(sorted, s->samples, sizeof(sorted));
	qsort(sorted, n, sizeof(sorted[0]), by_value);
	return sorted[(n - 1) / 2];
}

/// Time that work sent now takes at a server, relative to the usual. What was
/// stated of the moment counts less the older it is. A fast server of which
/// this entry has no report counts as a usual one: all entries are told that it
/// is fast, and none of them sees the others' requests there.
double
balancer__pace(const struct balancer_server *p, uint64_t now_us)
{
	const struct balancer_speed *s = &p->speed;
	const double told = balancer__usual_pace(p);
	const double usual =
	    p->report_us == 0 ? MAX(told, BALANCER_PACE_NORMAL) : told;
	const uint64_t age = now_us - MIN(s->now_us, now_us);
	double left;

	if (s->now_percent == 0 || age >= MOMENT_US)
		return usual / BALANCER_PACE_NORMAL;
	left = 1 - (double)age / (double)MOMENT_US;
	return (usual + (s->now_percent - usual) * left) / BALANCER_PACE_NORMAL;
}

/// Time that work takes as the newest response of a server stated it.
double
balancer__stated_pace(const struct balancer_server *p, uint64_t now_us)
{
	const struct balancer_speed *s = &p->speed;

	if (!p->pool->has_pace)
		return 1;
	if (s->now_percent == 0 || now_us >= s->now_us + MOMENT_US)
		return (double)balancer__usual_pace(p) / BALANCER_PACE_NORMAL;
	return (double)s->now_percent / BALANCER_PACE_NORMAL;
}

/// Mean of the paces that responses of a server stated.
double
balancer__mean_pace(const struct balancer_server *p)
{
	return p->speed.mean_pace > 0 ? p->speed.mean_pace : 1;
}
