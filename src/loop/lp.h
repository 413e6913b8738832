#ifndef LOOP_LP_H
#define LOOP_LP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/metrics.h"
#include "base/rnd.h"
#include "base/status.h"
#include "base/timerq.h"

/// The event loop of one process: one thread, its timers, signals, counters
/// and random numbers.

struct event_base;
struct lp;

struct lp_callbacks {
	void (*stop)(void *arg);   ///< First SIGTERM or SIGINT.
	void (*reload)(void *arg); ///< SIGHUP.
	void *arg;
};

struct lp *lp_new(uint64_t seed);
void lp_free(struct lp *l);
void lp_on_signals(struct lp *l, const struct lp_callbacks *callbacks);
void lp_run(struct lp *l);
void lp_end(struct lp *l, int code);
int lp_exit_code(const struct lp *l);
struct event_base *lp_base(const struct lp *l);
struct timerq *lp_timers(const struct lp *l);
struct metrics_registry *lp_counters(const struct lp *l);
struct rnd *lp_random(const struct lp *l);
uint64_t lp_now_us(const struct lp *l);
uint64_t lp_wall_us(void);
uint64_t lp_incarnation(const struct lp *l);

#endif
