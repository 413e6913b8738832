#include "base/timerq.h"

#include <glib.h>

struct timerq {
	struct timerq_source source;
	GSequence *armed;
};

struct timerq_timer {
	struct timerq *service;
	GSequenceIter *place;
	timerq_cb cb;
	void *arg;
	uint64_t at_us;
};

static gint
by_time(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct timerq_timer *x = a;
	const struct timerq_timer *y = b;

	(void)arg;
	return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static struct timerq_timer *
first_armed(const struct timerq *s)
{
	GSequenceIter *it = g_sequence_get_begin_iter(s->armed);

	if (g_sequence_iter_is_end(it))
		return NULL;
	return g_sequence_get(it);
}

static void
set_wake(struct timerq *s)
{
	const struct timerq_timer *t = first_armed(s);

	if (t != NULL)
		s->source.wake_at(s->source.arg, t->at_us);
}

/// Makes a service over a source of time.
struct timerq *
timerq_new(const struct timerq_source *source)
{
	struct timerq *s = g_new0(struct timerq, 1);

	s->source = *source;
	s->armed = g_sequence_new(NULL);
	return s;
}

/// Releases a service; its subscriptions must be gone.
void
timerq_free(struct timerq *s)
{
	if (s == NULL)
		return;
	g_sequence_free(s->armed);
	g_free(s);
}

/// Monotonic time in microseconds.
uint64_t
timerq_now_us(const struct timerq *s)
{
	return s->source.now_us(s->source.arg);
}

/// Subscribes a callback; the timer starts disarmed.
struct timerq_timer *
timerq_timer_new(struct timerq *s, timerq_cb cb, void *arg)
{
	struct timerq_timer *t = g_new0(struct timerq_timer, 1);

	t->service = s;
	t->cb = cb;
	t->arg = arg;
	return t;
}

/// Ends a subscription; NULL is allowed.
void
timerq_timer_free(struct timerq_timer *t)
{
	if (t == NULL)
		return;
	timerq_disarm(t);
	g_free(t);
}

/// Arms a timer for a time, replacing an earlier one.
void
timerq_arm(struct timerq_timer *t, uint64_t at_us)
{
	timerq_disarm(t);
	t->at_us = at_us;
	t->place =
	    g_sequence_insert_sorted(t->service->armed, t, by_time, NULL);
	if (first_armed(t->service) == t)
		set_wake(t->service);
}

/// Arms a timer for a time from now.
void
timerq_arm_in(struct timerq_timer *t, uint64_t in_us)
{
	timerq_arm(t, timerq_now_us(t->service) + in_us);
}

/// Disarms a timer; one that isn't armed is left as it is.
void
timerq_disarm(struct timerq_timer *t)
{
	if (t->place == NULL)
		return;
	g_sequence_remove(t->place);
	t->place = NULL;
}

/// Runs the callbacks that are due; called by the source.
void
timerq_run(struct timerq *s)
{
	const uint64_t now = timerq_now_us(s);

	for (;;) {
		struct timerq_timer *t = first_armed(s);

		if (t == NULL || t->at_us > now)
			break;
		timerq_disarm(t);
		t->cb(t->arg, now);
	}
	set_wake(s);
}

/// Milliseconds from one moment to a later one.
///
/// @param since_us  0: there was none
/// @return 0 also when `since_us` lies ahead
uint64_t
timerq_ms_since(uint64_t now_us, uint64_t since_us)
{
	return since_us != 0 && now_us > since_us
	    ? (now_us - since_us) / USEC_PER_MSEC
	    : 0;
}
