#include "gateway/gateway_internal.h"

/// The pace that servers state in their responses: what the list tells, and the
/// samples for the leader.

/// Samples of a server without a figure in the list.
#define GATEWAY_SPEED_SAMPLES 2
/// Samples in a row that contradict the list's figure before they are sent, and
/// how many of them are.
#define GATEWAY_SPEED_CONTRARY 3
/// A sample contradicts a figure if it differs by more than this.
#define GATEWAY_SPEED_TOLERANCE 10

/// A server was listed, or its entry has changed.
void
gateway_speed_on_listed(struct gateway *g, struct gateway_server *s)
{
	if (s->instance.pace_percent != s->told_pace_percent) {
		s->told_pace_percent = s->instance.pace_percent;
		s->n_speed_samples = 0;
		s->n_contrary = 0;
	}
	if (s->told_pace_percent > 0)
		balancer_set_pace(
		    g->balancer, s->balancer_handle, s->told_pace_percent);
}

/// Whether a sample is news to the leader.
static bool
is_news(struct gateway_server *s, uint32_t pace_percent)
{
	const uint32_t told = s->told_pace_percent;

	if (told == 0)
		return s->n_speed_samples < GATEWAY_SPEED_SAMPLES;
	if (MAX(told, pace_percent) - MIN(told, pace_percent) <=
	    GATEWAY_SPEED_TOLERANCE) {
		s->n_contrary = 0;
		return false;
	}
	return ++s->n_contrary >= GATEWAY_SPEED_CONTRARY &&
	    s->n_speed_samples < GATEWAY_SPEED_CONTRARY;
}

/// A server has stated its pace in a response.
void
gateway_speed_on_response(
    struct gateway *g, struct gateway_server *s, uint32_t pace_percent)
{
	struct limitmsg m;

	if (pace_percent == 0 || !is_news(s, pace_percent))
		return;
	s->n_speed_samples++;
	g->n_pace_samples->value++;
	limitmsg_init(&m);
	limitmsg_add_speed(&m, s->instance.id, pace_percent);
	gateway_limits_send_to_leader(g, &m);
	limitmsg_clear(&m);
}

/// Time that work took at a request's server as its response stated it,
/// relative to the usual; 1 if it stated none.
double
gateway_speed_of_response(const struct gateway_request *q)
{
	return q->response.pace_percent == 0
	    ? 1
	    : (double)q->response.pace_percent / 100;
}
