#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "base/logger.h"
#include "front/httpd_internal.h"

/// A connection on which no byte has moved for this long, though one could,
/// goes before others.
#define HTTPD_STALLED_US 2000000

/// Choice of the connections that go when all together hold too much.

/// Why a connection may go, the first to go first.
enum rank {
	RANK_CLOSING,    ///< its request was refused
	RANK_IDLE,       ///< between two requests
	RANK_STALLED,    ///< neither sends nor reads
	RANK_UNFINISHED, ///< sends a request
	RANK_NEEDED,     ///< waits for a response, or reads one
};

/// Monotonic time in microseconds.
uint64_t
httpd_room_now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static bool
is_unfinished(const struct httpd_conn *hc)
{
	return hc->state == HTTPD_CONN_HEAD || hc->state == HTTPD_CONN_BODY;
}

static bool
is_stalled(const struct httpd_conn *hc, uint64_t now_us)
{
	return (is_unfinished(hc) || hc->unsent > 0) &&
	    now_us - hc->moved_us >= HTTPD_STALLED_US;
}

static enum rank
rank_of(const struct httpd_conn *hc, uint64_t now_us)
{
	if (hc->state == HTTPD_CONN_CLOSING)
		return RANK_CLOSING;
	if (httpd_input_is_idle(hc))
		return RANK_IDLE;
	if (is_stalled(hc, now_us))
		return RANK_STALLED;
	return is_unfinished(hc) ? RANK_UNFINISHED : RANK_NEEDED;
}

/// Whether `a` goes before `b`, of the same rank, for its place: idle ones and
/// stalled ones by when a byte moved, others by when the request began.
static bool
is_older(const struct httpd_conn *a, const struct httpd_conn *b, enum rank rank)
{
	return rank == RANK_UNFINISHED ? a->begun_us < b->begun_us
				       : a->moved_us < b->moved_us;
}

/// The connection that goes for a new one, or NULL.
static struct httpd_conn *
find_replaceable(const struct httpd *f)
{
	const uint64_t now = httpd_room_now_us();
	struct httpd_conn *found = NULL;
	enum rank best = RANK_NEEDED;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->connections);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct httpd_conn *hc = p;
		const enum rank rank = rank_of(hc, now);

		if (rank < best ||
		    (found != NULL && rank == best &&
			is_older(hc, found, rank))) {
			found = hc;
			best = rank;
		}
	}
	return found;
}

/// Makes room for a connection that was accepted.
///
/// @return false if it can't stay, as all others wait for responses
bool
httpd_room_accept(struct httpd *f)
{
	struct httpd_conn *oldest;

	while (f->limits.max_connections > 0 &&
	    g_hash_table_size(f->connections) >= f->limits.max_connections) {
		oldest = find_replaceable(f);
		if (oldest == NULL) {
			logger_event(LOGGER_WARN, "caller.closed",
			    "reason=\"all connections wait for responses\"");
			return false;
		}
		if (!httpd_input_is_idle(oldest))
			logger_event(LOGGER_WARN, "caller.closed",
			    "reason=\"too many connections\"");
		evhtp_connection_free(oldest->evhtp);
	}
	return true;
}

/// Sets what a connection holds.
void
httpd_room_set_held(struct httpd_conn *hc, size_t bytes)
{
	hc->owner->held = hc->owner->held - hc->held + bytes;
	hc->held = bytes;
}

/// What a connection would give back: all if its request is unfinished or its
/// caller doesn't read, else what came behind the request.
static size_t
releasable(const struct httpd_conn *hc, uint64_t now_us)
{
	return is_unfinished(hc) || is_stalled(hc, now_us)
	    ? hc->held
	    : evbuffer_get_length(hc->pending);
}

/// The connection that would give back most, a stalled one if there is any, or
/// NULL.
static struct httpd_conn *
find_largest(const struct httpd *f)
{
	const uint64_t now = httpd_room_now_us();
	struct httpd_conn *largest = NULL;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->connections);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct httpd_conn *hc = p;
		const size_t n = releasable(hc, now);

		if (n == 0 ||
		    (largest != NULL &&
			(is_stalled(hc, now) < is_stalled(largest, now) ||
			    (is_stalled(hc, now) == is_stalled(largest, now) &&
				n <= releasable(largest, now)))))
			continue;
		largest = hc;
	}
	return largest;
}

/// Counts what a connection holds. If all requests together hold too much,
/// stalled callers are closed, then the largest unfinished requests refused and
/// the largest amounts that were sent ahead dropped.
void
httpd_room_count_held(struct httpd_conn *hc, size_t bytes)
{
	struct httpd *f = hc->owner;
	struct httpd_conn *largest;

	httpd_room_set_held(hc, bytes);
	while (f->held > f->limits.max_held_bytes &&
	    (largest = find_largest(f)) != NULL) {
		if (is_unfinished(largest)) {
			httpd_input_refuse(
			    largest, 503, "requests hold too much memory");
		} else if (evbuffer_get_length(largest->pending) > 0) {
			httpd_input_drop_pending(largest);
		} else {
			logger_event(LOGGER_WARN, "caller.closed",
			    "reason=\"a response isn't read\"");
			evhtp_connection_free(largest->evhtp);
		}
	}
}

/// Counts what waits to be sent on a connection.
static void
on_output(struct evbuffer *out, const struct evbuffer_cb_info *info, void *arg)
{
	struct httpd_conn *hc = arg;
	struct httpd *f = hc->owner;
	const size_t n = info->orig_size + info->n_added - info->n_deleted;

	(void)out;
	if (info->n_deleted > 0 || hc->unsent == 0)
		hc->moved_us = httpd_room_now_us();
	f->unsent_bytes = f->unsent_bytes - hc->unsent + n;
	hc->unsent = n;
	if (f->limits.max_unsent_bytes > 0 &&
	    f->unsent_bytes > f->limits.max_unsent_bytes)
		event_active(f->shed, EV_TIMEOUT, 0);
}

/// Begins to count what waits to be sent on a connection.
void
httpd_room_watch_output(struct httpd_conn *hc)
{
	(void)evbuffer_add_cb(
	    bufferevent_get_output(hc->evhtp->bev), on_output, hc);
}

/// Forgets a connection that is about to be released.
void
httpd_room_forget(struct httpd_conn *hc)
{
	httpd_room_set_held(hc, 0);
	hc->owner->unsent_bytes -= hc->unsent;
	(void)evbuffer_remove_cb(
	    bufferevent_get_output(hc->evhtp->bev), on_output, hc);
}

/// Whether `a` goes before `b` when unsent responses hold too much: a caller
/// that has stopped reading, then the longest response.
static bool
is_worse_reader(const struct httpd_conn *a, const struct httpd_conn *b)
{
	const uint64_t now = httpd_room_now_us();
	const bool a_stalled = a->unsent > 0 && is_stalled(a, now);
	const bool b_stalled = b->unsent > 0 && is_stalled(b, now);

	return a_stalled != b_stalled ? a_stalled : a->unsent > b->unsent;
}

/// Bytes of responses that wait to be sent, on all connections.
size_t
httpd_total_unsent_bytes(const struct httpd *f)
{
	return f->unsent_bytes;
}

/// Closes the connections with the longest unsent responses if all together
/// hold too much. One alone may hold more.
void
httpd_room_shed_unsent(int fd, short what, void *arg)
{
	struct httpd *f = arg;

	(void)fd;
	(void)what;
	while (f->unsent_bytes > f->limits.max_unsent_bytes) {
		struct httpd_conn *largest = NULL;
		GHashTableIter it;
		gpointer p;

		g_hash_table_iter_init(&it, f->connections);
		while (g_hash_table_iter_next(&it, NULL, &p)) {
			struct httpd_conn *hc = p;

			if (largest == NULL || is_worse_reader(hc, largest))
				largest = hc;
		}
		if (largest == NULL || largest->unsent == f->unsent_bytes)
			return;
		logger_event(LOGGER_WARN, "caller.closed",
		    "reason=\"responses that aren't read hold too much "
		    "memory\"");
		evhtp_connection_free(largest->evhtp);
	}
}
