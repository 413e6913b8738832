#ifndef BASE_TIMERQ_H
#define BASE_TIMERQ_H

#include <stdint.h>

#define USEC_PER_MSEC UINT64_C(1000)
#define USEC_PER_SEC UINT64_C(1000000)

/// Queue of timers over a time source: the event loop in a process, a simulated
/// clock in a test.
struct timerq;

/// One-shot timer of a queue; it may be armed again.
struct timerq_timer;

typedef void (*timerq_cb)(void *arg, uint64_t now_us);

/// Time source of a queue.
struct timerq_source {
	uint64_t (*now_us)(void *arg); ///< current monotonic time
	/// Asks the source to call timerq_run() at a time; replaces an earlier
	/// request.
	void (*wake_at)(void *arg, uint64_t at_us);
	void *arg;
};

struct timerq *timerq_new(const struct timerq_source *source);
void timerq_free(struct timerq *queue);
uint64_t timerq_now_us(const struct timerq *queue);
struct timerq_timer *timerq_timer_new(
    struct timerq *queue, timerq_cb cb, void *arg);
void timerq_timer_free(struct timerq_timer *timer);
void timerq_arm(struct timerq_timer *timer, uint64_t at_us);
void timerq_arm_in(struct timerq_timer *timer, uint64_t delay_us);
void timerq_disarm(struct timerq_timer *timer);
void timerq_run(struct timerq *queue);
uint64_t timerq_ms_since(uint64_t now_us, uint64_t since_us);

#endif
