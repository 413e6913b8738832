#include "base/timerq.h"

#include <glib.h>

struct timerq {
	struct timerq_source source;
	GSequence *armed; ///< armed timers by time
};

struct timerq_timer {
	struct timerq *queue;
	GSequenceIter *position; ///< in `armed`; NULL while disarmed
	timerq_cb cb;
	void *arg;
	uint64_t at_us;
};

static gint
compare_times(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct timerq_timer *x = a;
	const struct timerq_timer *y = b;

	(void)arg;
	return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static struct timerq_timer *
first_armed(const struct timerq *queue)
{
	GSequenceIter *it = g_sequence_get_begin_iter(queue->armed);

	if (g_sequence_iter_is_end(it))
		return NULL;
	return g_sequence_get(it);
}

static void
request_wakeup(struct timerq *queue)
{
	const struct timerq_timer *timer = first_armed(queue);

	if (timer != NULL)
		queue->source.wake_at(queue->source.arg, timer->at_us);
}

/// Creates a queue without timers.
///
/// @param source  copied
/// @return queue, to be released with timerq_free()
struct timerq *
timerq_new(const struct timerq_source *source)
{
	struct timerq *queue = g_new0(struct timerq, 1);

	queue->source = *source;
	queue->armed = g_sequence_new(NULL);
	return queue;
}

/// Releases a queue, all of whose timers must have been freed before; NULL is
/// allowed.
void
timerq_free(struct timerq *queue)
{
	if (queue == NULL)
		return;
	g_sequence_free(queue->armed);
	g_free(queue);
}

/// Returns the monotonic time of the queue's source in microseconds.
uint64_t
timerq_now_us(const struct timerq *queue)
{
	return queue->source.now_us(queue->source.arg);
}

/// Creates a disarmed timer.
///
/// @param cb  called with `arg` and the current time when the timer is due
/// @return timer, to be released with timerq_timer_free()
struct timerq_timer *
timerq_timer_new(struct timerq *queue, timerq_cb cb, void *arg)
{
	struct timerq_timer *timer = g_new0(struct timerq_timer, 1);

	timer->queue = queue;
	timer->cb = cb;
	timer->arg = arg;
	return timer;
}

/// Disarms and releases a timer; NULL is allowed.
void
timerq_timer_free(struct timerq_timer *timer)
{
	if (timer == NULL)
		return;
	timerq_disarm(timer);
	g_free(timer);
}

/// Arms a timer for a time of the queue's clock, replacing an earlier one.
void
timerq_arm(struct timerq_timer *timer, uint64_t at_us)
{
	timerq_disarm(timer);
	timer->at_us = at_us;
	timer->position = g_sequence_insert_sorted(
	    timer->queue->armed, timer, compare_times, NULL);
	if (first_armed(timer->queue) == timer)
		request_wakeup(timer->queue);
}

/// Arms a timer for a delay from now, replacing an earlier time.
void
timerq_arm_in(struct timerq_timer *timer, uint64_t delay_us)
{
	timerq_arm(timer, timerq_now_us(timer->queue) + delay_us);
}

/// Disarms a timer; does nothing when it isn't armed.
void
timerq_disarm(struct timerq_timer *timer)
{
	if (timer->position == NULL)
		return;
	g_sequence_remove(timer->position);
	timer->position = NULL;
}

/// Disarms the due timers and calls their callbacks, in order of time; called
/// by the source. A callback may arm, disarm or free any timer.
void
timerq_run(struct timerq *queue)
{
	const uint64_t now = timerq_now_us(queue);

	for (;;) {
		struct timerq_timer *timer = first_armed(queue);

		if (timer == NULL || timer->at_us > now)
			break;
		timerq_disarm(timer);
		timer->cb(timer->arg, now);
	}
	request_wakeup(queue);
}

/// Returns the milliseconds elapsed between two times.
///
/// @param since_us  the earlier time; 0 when there is none
/// @return 0 when there is no earlier time or it lies after `now_us`
uint64_t
timerq_ms_since(uint64_t now_us, uint64_t since_us)
{
	return since_us != 0 && now_us > since_us
	    ? (now_us - since_us) / USEC_PER_MSEC
	    : 0;
}
