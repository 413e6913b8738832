#include "loop/loop.h"

#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#include "base/logger.h"

#define LOOP_SIGNALS 3
#define LOOP_SECOND_SIGNAL_EXIT 130

struct loop {
	struct event_base *base;
	struct event *wake;
	struct event *signals[LOOP_SIGNALS];
	struct timerq *timers;
	struct metrics_registry *counters;
	struct rnd *random;
	struct loop_callbacks callbacks;
	uint64_t incarnation;
	bool stopping;
	int exit_code;
};

static uint64_t
clock_us(clockid_t clock)
{
	struct timespec ts;

	(void)clock_gettime(clock, &ts);
	return (uint64_t)ts.tv_sec * USEC_PER_SEC + (uint64_t)ts.tv_nsec / 1000;
}

static uint64_t
steady_us(void *arg)
{
	(void)arg;
	// Leases must run out while a VM stands still.
	return clock_us(CLOCK_BOOTTIME);
}

static void
wake_at(void *arg, uint64_t at_us)
{
	struct loop *l = arg;
	const uint64_t now = steady_us(NULL);
	const uint64_t in = at_us > now ? at_us - now : 0;
	const struct timeval tv = {
		.tv_sec = (time_t)(in / USEC_PER_SEC),
		.tv_usec = (suseconds_t)(in % USEC_PER_SEC),
	};

	(void)event_add(l->wake, &tv);
}

static void
on_wake(evutil_socket_t fd, short what, void *arg)
{
	struct loop *l = arg;

	(void)fd;
	(void)what;
	timerq_run(l->timers);
}

static uint64_t
system_random(void)
{
	uint64_t v = 0;

	if (getrandom(&v, sizeof(v), 0) != sizeof(v))
		v = clock_us(CLOCK_REALTIME) ^ ((uint64_t)getpid() << 40);
	// msgpack's and JSON's signed integers hold it, too.
	return (v >> 1) | 1;
}

/// Makes a loop.
///
/// @param seed  of its random numbers; 0: from the system
struct loop *
loop_new(uint64_t seed)
{
	struct loop *l = g_new0(struct loop, 1);
	const struct timerq_source source = {
		.now_us = steady_us,
		.wake_at = wake_at,
		.arg = l,
	};

	(void)signal(SIGPIPE, SIG_IGN);
	l->base = event_base_new();
	l->wake = evtimer_new(l->base, on_wake, l);
	l->timers = timerq_new(&source);
	l->counters = metrics_new();
	l->random = rnd_new(seed != 0 ? seed : system_random());
	l->incarnation = system_random();
	return l;
}

/// Releases a loop; NULL is allowed.
void
loop_free(struct loop *l)
{
	if (l == NULL)
		return;
	for (int i = 0; i < LOOP_SIGNALS; i++) {
		if (l->signals[i] != NULL)
			event_free(l->signals[i]);
	}
	timerq_free(l->timers);
	metrics_free(l->counters);
	rnd_free(l->random);
	event_free(l->wake);
	// Connections that were freed with work still queued go only now.
	(void)event_base_loop(l->base, EVLOOP_NONBLOCK);
	event_base_free(l->base);
	g_free(l);
}

static void
on_stop(evutil_socket_t fd, short what, void *arg)
{
	struct loop *l = arg;

	(void)what;
	if (l->stopping) {
		logger_event(
		    LOGGER_WARN, "process.stop_now", "signal=%d", (int)fd);
		loop_exit(l, LOOP_SECOND_SIGNAL_EXIT);
		return;
	}
	l->stopping = true;
	logger_event(LOGGER_INFO, "process.stopping", "signal=%d", (int)fd);
	l->callbacks.stop(l->callbacks.arg);
}

static void
on_reload(evutil_socket_t fd, short what, void *arg)
{
	struct loop *l = arg;

	(void)fd;
	(void)what;
	l->callbacks.reload(l->callbacks.arg);
}

/// Handles SIGTERM, SIGINT and SIGHUP. A second stop signal ends the loop at
/// once.
void
loop_on_signals(struct loop *l, const struct loop_callbacks *callbacks)
{
	l->callbacks = *callbacks;
	l->signals[0] = evsignal_new(l->base, SIGTERM, on_stop, l);
	l->signals[1] = evsignal_new(l->base, SIGINT, on_stop, l);
	l->signals[2] = evsignal_new(l->base, SIGHUP, on_reload, l);
	for (int i = 0; i < LOOP_SIGNALS; i++)
		(void)event_add(l->signals[i], NULL);
}

/// Runs until loop_exit().
void
loop_run(struct loop *l)
{
	(void)event_base_loop(l->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

/// Ends loop_run() after the current callbacks.
void
loop_exit(struct loop *l, int code)
{
	l->exit_code = code;
	(void)event_base_loopbreak(l->base);
}

/// Code given to loop_exit().
int
loop_exit_code(const struct loop *l)
{
	return l->exit_code;
}

/// The libevent loop, for adapters.
struct event_base *
loop_event_base(const struct loop *l)
{
	return l->base;
}

/// Timer service of this loop.
struct timerq *
loop_timers(const struct loop *l)
{
	return l->timers;
}

/// Counters of this process.
struct metrics_registry *
loop_counters(const struct loop *l)
{
	return l->counters;
}

/// Random numbers of this process.
struct rnd *
loop_random(const struct loop *l)
{
	return l->random;
}

/// Time in microseconds that never steps and counts while the VM is frozen.
uint64_t
loop_now_us(const struct loop *l)
{
	return timerq_now_us(l->timers);
}

/// Time since 1970 in microseconds; it may jump.
uint64_t
loop_wall_us(void)
{
	return clock_us(CLOCK_REALTIME);
}

/// Number that tells this start of the process from any other.
uint64_t
loop_incarnation(const struct loop *l)
{
	return l->incarnation;
}
