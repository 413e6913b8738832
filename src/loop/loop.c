#include "loop/loop.h"

#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#include "base/logger.h"

#define LOOP_SIGNALS 3
/// What is queued when a loop is released takes a few rounds. An event that
/// stays ready would take rounds without end.
#define LOOP_FREE_ROUNDS 64
#define LOOP_SECOND_SIGNAL_EXIT 130
/// Urgent events, such as due timers and links to control, have priority 0.
/// All others have libevent's default, the middle one.
#define LOOP_PRIORITIES 2
/// After this many other callbacks the loop looks for urgent events again.
#define LOOP_MAX_CALLBACKS 4
/// Events that run this late are logged, at most once in LOOP_LATE_LOG_US.
#define LOOP_LATE_US (100 * USEC_PER_MSEC)
#define LOOP_LATE_LOG_US USEC_PER_SEC
/// How often the wait of events that aren't urgent is measured.
#define LOOP_PROBE_US (100 * USEC_PER_MSEC)

/// How late events of one priority run.
struct lateness {
	const char *events; ///< name of the priority in the log
	struct metrics_hist *hist;
	uint64_t logged_us;
};

struct loop {
	struct event_base *base;
	struct event *wake;
	struct event *probe; ///< an event that isn't urgent
	struct event *signals[LOOP_SIGNALS];
	struct timerq *timers;
	struct metrics_registry *counters;
	struct lateness urgent;
	struct lateness other;
	uint64_t wake_at_us;  ///< when the next timer is due
	uint64_t probe_at_us; ///< when the last probe was queued
	bool is_probing;      ///< it hasn't run yet
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
monotonic_us(void *arg)
{
	(void)arg;
	// It also counts while the VM is suspended, so that leases expire then.
	return clock_us(CLOCK_BOOTTIME);
}

static void
wake_at(void *arg, uint64_t at_us)
{
	struct loop *l = arg;
	const uint64_t now = monotonic_us(NULL);
	const uint64_t in = at_us > now ? at_us - now : 0;
	const struct timeval tv = {
		.tv_sec = (time_t)(in / USEC_PER_SEC),
		.tv_usec = (suseconds_t)(in % USEC_PER_SEC),
	};

	l->wake_at_us = at_us;
	(void)event_add(l->wake, &tv);
}

/// Records by how much an event ran late: what the loop was busy with before
/// held up all others of that priority as well.
static void
note_lateness(struct lateness *l, uint64_t due_us)
{
	const uint64_t now = monotonic_us(NULL);
	const uint64_t late_us = now > due_us ? now - due_us : 0;

	metrics_observe(l->hist, late_us);
	if (late_us < LOOP_LATE_US ||
	    (l->logged_us != 0 && now < l->logged_us + LOOP_LATE_LOG_US))
		return;
	l->logged_us = now;
	logger_event(LOGGER_WARN, "loop.late", "events=%s by_ms=%" PRIu64,
	    l->events, late_us / USEC_PER_MSEC);
}

static void
on_probe(evutil_socket_t fd, short what, void *arg)
{
	struct loop *l = arg;

	(void)fd;
	(void)what;
	l->is_probing = false;
	note_lateness(&l->other, l->probe_at_us);
}

/// Queues the probe behind the events that are ready now, from time to time.
static void
probe(struct loop *l)
{
	const uint64_t now = monotonic_us(NULL);

	if (l->is_probing || now < l->probe_at_us + LOOP_PROBE_US)
		return;
	l->is_probing = true;
	l->probe_at_us = now;
	event_active(l->probe, EV_TIMEOUT, 0);
}

static void
on_wake(evutil_socket_t fd, short what, void *arg)
{
	struct loop *l = arg;

	(void)fd;
	(void)what;
	note_lateness(&l->urgent, l->wake_at_us);
	probe(l);
	timerq_run(l->timers);
}

/// Random number from the system: never 0, and below 2^63, so that it fits a
/// signed integer of msgpack and JSON.
static uint64_t
system_random(void)
{
	uint64_t v = 0;

	if (getrandom(&v, sizeof(v), 0) != sizeof(v))
		v = clock_us(CLOCK_REALTIME) ^ ((uint64_t)getpid() << 40);
	return (v >> 1) | 1;
}

static struct event_base *
new_event_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	(void)event_config_set_max_dispatch_interval(
	    config, NULL, LOOP_MAX_CALLBACKS, 1);
	base = event_base_new_with_config(config);
	event_config_free(config);
	(void)event_base_priority_init(base, LOOP_PRIORITIES);
	return base;
}

/// Creates a loop and ignores SIGPIPE.
///
/// @param seed  of its random numbers; 0: taken from the system
/// @return to be released with loop_free()
struct loop *
loop_new(uint64_t seed)
{
	struct loop *l = g_new0(struct loop, 1);
	const struct timerq_source source = {
		.now_us = monotonic_us,
		.wake_at = wake_at,
		.arg = l,
	};

	(void)signal(SIGPIPE, SIG_IGN);
	l->base = new_event_base();
	l->wake = evtimer_new(l->base, on_wake, l);
	(void)event_priority_set(l->wake, 0);
	l->probe = event_new(l->base, -1, 0, on_probe, l);
	l->timers = timerq_new(&source);
	l->counters = metrics_new();
	l->urgent = (struct lateness){
		.events = "urgent",
		.hist = metrics_hist(l->counters, "ac_loop_late_seconds", ""),
	};
	l->other = (struct lateness){
		.events = "other",
		.hist = metrics_hist(l->counters, "ac_loop_wait_seconds", ""),
	};
	l->random = rnd_new(seed != 0 ? seed : system_random());
	l->incarnation = system_random();
	return l;
}

/// Runs the callbacks that are queued: connections that were freed with one
/// queued are released only then. Events that are left after that have no owner
/// any more, and would be released with the base unseen.
static void
run_queued(struct event_base *base)
{
	int n_left;

	for (int i = 0; i < LOOP_FREE_ROUNDS &&
	     event_base_get_num_events(base, EVENT_BASE_COUNT_ACTIVE) > 0;
	     i++)
		(void)event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
	n_left = event_base_get_num_events(
	    base, EVENT_BASE_COUNT_ACTIVE | EVENT_BASE_COUNT_ADDED);
	if (n_left == 0)
		return;
	logger_event(LOGGER_ERROR, "loop.events_left", "n=%d", n_left);
	event_base_dump_events(base, stderr);
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
	event_free(l->wake);
	event_free(l->probe);
	run_queued(l->base);
	timerq_free(l->timers);
	metrics_free(l->counters);
	rnd_free(l->random);
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

/// Handles SIGTERM, SIGINT and SIGHUP. A second SIGTERM or SIGINT ends the loop
/// at once with exit code 130 (128 + SIGINT).
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

/// Runs the loop until loop_exit() is called.
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

/// Exit code that was passed to loop_exit(); 0 before.
int
loop_exit_code(const struct loop *l)
{
	return l->exit_code;
}

/// The libevent loop, for modules that use libevent directly.
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

/// Monotonic time in microseconds, which also counts while the VM is suspended.
uint64_t
loop_now_us(const struct loop *l)
{
	return timerq_now_us(l->timers);
}

/// Wall-clock time in microseconds since 1970 (UTC); it may jump.
uint64_t
loop_wall_us(void)
{
	return clock_us(CLOCK_REALTIME);
}

/// Random number, not 0, that distinguishes this start of the process from any
/// other.
uint64_t
loop_incarnation(const struct loop *l)
{
	return l->incarnation;
}
