#ifndef LOOP_LOOP_H
#define LOOP_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/metrics.h"
#include "base/rnd.h"
#include "base/status.h"
#include "base/timerq.h"

/// The event loop of one process: one thread, its timers, signals, counters
/// and random numbers. What the getters return is owned by the loop.

struct event_base;
struct loop;

struct loop_callbacks {
	void (*stop)(void *arg);   ///< on the first SIGTERM or SIGINT
	void (*reload)(void *arg); ///< on SIGHUP
	void *arg;
};

struct loop *loop_new(uint64_t seed);
void loop_free(struct loop *l);
void loop_on_signals(struct loop *l, const struct loop_callbacks *callbacks);
void loop_run(struct loop *l);
void loop_exit(struct loop *l, int code);
int loop_exit_code(const struct loop *l);
struct event_base *loop_event_base(const struct loop *l);
struct timerq *loop_timers(const struct loop *l);
struct metrics_registry *loop_counters(const struct loop *l);
struct rnd *loop_random(const struct loop *l);
uint64_t loop_now_us(const struct loop *l);
uint64_t loop_wall_us(void);
uint64_t loop_incarnation(const struct loop *l);

#endif
