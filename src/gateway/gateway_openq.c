#include "gateway/gateway_internal.h"

#include <inttypes.h>

/// Requests that wait because all servers of their service take no more now,
/// but will before the request's deadline.

/// A server that should take a request by now, but wasn't chosen, is tried
/// again after this time.
#define GATEWAY_OPENQ_RETRY_US (10 * USEC_PER_MSEC)
/// The queue is looked at this often, as servers may be added.
#define GATEWAY_OPENQ_CHECK_US (100 * USEC_PER_MSEC)
/// Part of the time until a request could be served that is added at random to
/// its Retry-After.
#define GATEWAY_OPENQ_JITTER 0.25

/// Longest Retry-After; the signals of servers change sooner.
#define GATEWAY_OPENQ_MAX_RETRY_US (30 * USEC_PER_SEC)

static const char why_full[] = "all servers take no more requests now";

static struct gateway_service_load *
load_of(const struct gateway_request *q)
{
	return gateway_service_load(q->gateway, q->service->name);
}

/// The last moment at which sending the request makes sense: its response is
/// expected within the route's target.
static uint64_t
latest_us(const struct gateway_request *q)
{
	const uint64_t target_us =
	    (uint64_t)q->route->target_ms * USEC_PER_MSEC;
	const uint64_t deadline_us = q->head_sent
	    ? q->arrived_us + (uint64_t)q->call.deadline_ms * USEC_PER_MSEC
	    : q->deadline_us;

	return deadline_us - MIN(target_us, deadline_us);
}

/// When a request behind `n_before` others can be sent.
static uint64_t
expected_us(const struct balancer_openings *open, uint32_t n_before)
{
	if (open->any_unlimited || open->per_s <= 0)
		return open->next_us;
	return open->next_us +
	    (uint64_t)(n_before / open->per_s * USEC_PER_SEC);
}

/// Refuses a request that can't be served in time.
static void
refuse(struct gateway_request *q, uint64_t at_us)
{
	const uint64_t now = loop_now_us(q->gateway->loop);
	const uint64_t wait_us = CLAMP(at_us - MIN(at_us, now),
	    gateway_retry_after(q), GATEWAY_OPENQ_MAX_RETRY_US);
	const uint64_t jitter_us =
	    (uint64_t)((double)wait_us * GATEWAY_OPENQ_JITTER) + 1;

	if (q->verdict != VERDICT_NOT_RUN) {
		gateway_give_up(q, why_full);
		return;
	}
	gateway_fail(q, 503,
	    wait_us + rnd_below(loop_random(q->gateway->loop), jitter_us),
	    why_full);
}

/// Arms the timer of a service's queue for the next server that takes a
/// request.
static void
arm(struct gateway *g, struct gateway_service_load *l, const char *service)
{
	const uint64_t now = loop_now_us(g->loop);
	struct balancer_openings open;

	if (g_queue_is_empty(&l->waiting))
		return;
	(void)balancer_openings(g->balancer, now, service, &open);
	timerq_arm(l->opening,
	    CLAMP(open.next_us, now + GATEWAY_OPENQ_RETRY_US,
		now + GATEWAY_OPENQ_CHECK_US));
}

/// Sends the requests at the head of a service's queue as long as a server
/// takes them.
static void
send_waiting(void *arg, uint64_t now_us)
{
	struct gateway_service_load *l = arg;
	struct gateway_request *q;

	(void)now_us;
	while ((q = g_queue_peek_head(&l->waiting)) != NULL) {
		struct gateway *g = q->gateway;
		const char *service = q->service->name;

		gateway_openq_remove(q);
		timerq_disarm(q->timer);
		if (gateway_try_send(q))
			continue;
		g_queue_push_head(&l->waiting, q);
		q->awaits_opening = true;
		timerq_arm(q->timer, latest_us(q));
		arm(g, l, service);
		return;
	}
}

/// A request of a service has ended, which may have made room at its server:
/// looks at the queue at once.
void
gateway_openq_wake(struct gateway *g, struct gateway_service_load *l)
{
	if (!g_queue_is_empty(&l->waiting))
		timerq_arm(l->opening, loop_now_us(g->loop));
}

/// Retry-After of a request that wasn't run: when a server of its service next
/// takes one, or soon.
uint64_t
gateway_openq_retry_after(const struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);
	const uint64_t soon_us = gateway_retry_after(q);
	struct balancer_openings open;

	if (q->service == NULL ||
	    !balancer_openings(g->balancer, now, q->service->name, &open))
		return soon_us;
	return MIN(
	    MAX(open.next_us - now, soon_us), GATEWAY_OPENQ_MAX_RETRY_US);
}

/// Orders requests by priority.
static gint
by_priority(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct gateway_request *x = a;
	const struct gateway_request *y = b;

	(void)arg;
	return x->priority < y->priority ? -1 : x->priority > y->priority;
}

/// Number of requests of a queue that are sent before a new one.
static uint32_t
count_before(
    const struct gateway_service_load *l, const struct gateway_request *q)
{
	uint32_t n = 0;

	for (const GList *w = l->waiting.head; w != NULL; w = w->next)
		n += by_priority(w->data, q, NULL) <= 0;
	return n;
}

/// Whether requests of a service wait already, so that a new one must not be
/// sent before them.
bool
gateway_openq_is_waiting(const struct gateway_request *q)
{
	return !g_queue_is_empty(&load_of(q)->waiting);
}

/// Puts a request that no server takes now into the queue, or refuses it at
/// once if none will in time.
///
/// @return false when the service has no servers that will take requests
bool
gateway_openq_add(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	struct gateway_service_load *l = load_of(q);
	const uint64_t now = loop_now_us(g->loop);
	struct balancer_openings open;
	uint64_t at_us;

	if (!balancer_openings(g->balancer, now, q->service->name, &open))
		return false;
	at_us = expected_us(&open, count_before(l, q));
	logger_event(LOGGER_INFO, "request.waits",
	    "request=%s waiting=%u expected_ms=%" PRIu64 " reason=\"%s\"",
	    q->call.id, g_queue_get_length(&l->waiting),
	    (at_us - MIN(at_us, now)) / USEC_PER_MSEC, why_full);
	if (at_us > latest_us(q)) {
		refuse(q, at_us);
		return true;
	}
	if (l->opening == NULL)
		l->opening =
		    timerq_timer_new(loop_timers(g->loop), send_waiting, l);
	g_queue_insert_sorted(&l->waiting, q, by_priority, NULL);
	q->awaits_opening = true;
	timerq_arm(q->timer, latest_us(q));
	arm(g, l, q->service->name);
	return true;
}

/// Takes a request out of the queue, if it is there.
void
gateway_openq_remove(struct gateway_request *q)
{
	if (!q->awaits_opening)
		return;
	(void)g_queue_remove(&load_of(q)->waiting, q);
	q->awaits_opening = false;
}

/// The request's time is over; others were sent before it, or servers took less
/// than expected.
void
gateway_openq_on_timeout(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	struct balancer_openings open;

	gateway_openq_remove(q);
	if (balancer_openings(
		g->balancer, loop_now_us(g->loop), q->service->name, &open))
		refuse(q, expected_us(&open, count_before(load_of(q), q)));
	else
		gateway_give_up(q, why_full);
}
