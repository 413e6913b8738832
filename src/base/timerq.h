#ifndef BASE_TIMERQ_H
#define BASE_TIMERQ_H

#include <stdint.h>

#define USEC_PER_MSEC UINT64_C(1000)
#define USEC_PER_SEC UINT64_C(1000000)

/// Timer service that parts subscribe to. It runs over a source of time:
/// the event loop's in a process, a hand-driven one in a test.
struct timerq;

/// Subscription to the timer service.
struct timerq_timer;

typedef void (*timerq_cb)(void *arg, uint64_t now_us);

/// What drives a service: the current time, and a request to be called
/// (timerq_run) at a time.
struct timerq_source {
	uint64_t (*now_us)(void *arg);
	void (*wake_at)(void *arg, uint64_t at_us);
	void *arg;
};

struct timerq *timerq_new(const struct timerq_source *source);
void timerq_free(struct timerq *s);
uint64_t timerq_now_us(const struct timerq *s);
struct timerq_timer *timerq_timer_new(
    struct timerq *s, timerq_cb cb, void *arg);
void timerq_timer_free(struct timerq_timer *t);
void timerq_arm(struct timerq_timer *t, uint64_t at_us);
void timerq_arm_in(struct timerq_timer *t, uint64_t in_us);
void timerq_disarm(struct timerq_timer *t);
void timerq_run(struct timerq *s);
uint64_t timerq_ms_since(uint64_t now_us, uint64_t since_us);

#endif
