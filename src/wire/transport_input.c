#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

#include "base/logger.h"
#include "wire/transport_internal.h"

/// Messages that were received. Those of control processes are handled at once.
/// Those of all others, of which there may be hundreds, are read at once too,
/// but wait to be handled a few at a time: between two batches the loop runs
/// whatever else is ready, such as operators' requests.

/// Messages that are handled in one callback. As few as the loop runs callbacks
/// before it looks for urgent events.
#define TRANSPORT_BATCH 4
/// A batch is due after this time at the latest, however many other events are
/// ready: leases of gateways depend on it.
#define TRANSPORT_OVERDUE_US (5 * USEC_PER_MSEC)
/// After a batch that took long, other events have this many times as long
/// before the next one is overdue. Else they would have no time at all.
#define TRANSPORT_OVERDUE_FACTOR 4
/// A link on which more bytes wait isn't read, so that no peer fills the
/// memory.
#define TRANSPORT_MAX_WAITING_BYTES (64UL << 10)

enum input_result {
	INPUT_HANDLED, ///< a message; the link is as it was
	INPUT_NONE,    ///< no message has arrived whole
	INPUT_GONE,    ///< the link was closed or removed
};

/// Whether messages of this link are handled before any other events.
static bool
is_urgent(const struct transport_link *link)
{
	return !link->up || link->hello.role == WIRE_ROLE_CONTROL;
}

/// Decodes a frame and passes its message to the owner.
///
/// @return false when the link must be closed
static bool
handle_frame(struct transport_link *link, const uint8_t *bytes, size_t len)
{
	struct transport *t = link->owner;
	const uint64_t begun_us = timerq_now_us(t->config.timers);
	struct wire_hello hello;
	struct wire_msg msg;

	if (wire_decode(bytes, len, &msg) != STATUS_OK) {
		logger_event(LOGGER_WARN, "link.corrupt",
		    "peer=%s reason=\"%s\"", link->hello.node, status_last());
		return false;
	}
	t->traffic[msg.kind].received++;
	t->traffic[msg.kind].received_bytes += len + TRANSPORT_LENGTH_BYTES;
	if (!link->up)
		return transport_link_accept_hello(link, &msg);
	if (msg.kind == WIRE_HELLO)
		return false;
	// The callback may remove the link.
	hello = link->hello;
	t->config.callbacks.message(
	    t->config.callbacks.arg, link->self, &hello, &msg);
	t->traffic[msg.kind].handling_us +=
	    timerq_now_us(t->config.timers) - begun_us;
	return true;
}

/// Reads the length of the next frame; it may be invalid.
///
/// @return false if it hasn't arrived
static bool
peek_length(struct evbuffer *in, uint32_t *len)
{
	uint32_t be;

	if (evbuffer_copyout(in, &be, sizeof(be)) < TRANSPORT_LENGTH_BYTES)
		return false;
	*len = ntohl(be);
	return true;
}

static bool
is_valid_length(uint32_t len)
{
	return len > 0 && len <= WIRE_MAX_FRAME_BYTES;
}

/// Whether there is a frame to handle, or an invalid length.
static bool
has_frame(const struct transport_link *link)
{
	struct evbuffer *in = bufferevent_get_input(link->bev);
	uint32_t len;

	return peek_length(in, &len) &&
	    (!is_valid_length(len) ||
		evbuffer_get_length(in) >=
		    (size_t)len + TRANSPORT_LENGTH_BYTES);
}

/// Handles the next frame of a link. An empty or oversized frame closes it.
static enum input_result
handle_next(struct transport_link *link)
{
	struct transport *t = link->owner;
	const handle_t self = link->self;
	struct bufferevent *bev = link->bev;
	struct evbuffer *in = bufferevent_get_input(bev);
	uint32_t len = 0;
	uint8_t *frame;
	bool ok;

	if (!has_frame(link))
		return INPUT_NONE;
	(void)peek_length(in, &len);
	if (!is_valid_length(len)) {
		transport_link_close(link);
		return INPUT_GONE;
	}
	(void)evbuffer_drain(in, TRANSPORT_LENGTH_BYTES);
	frame = g_malloc(len);
	(void)evbuffer_remove(in, frame, len);
	t->bytes_received += len + TRANSPORT_LENGTH_BYTES;
	ok = handle_frame(link, frame, len);
	g_free(frame);
	// The callbacks may have closed or removed the link.
	link = slotmap_get(t->links, self);
	if (link == NULL || link->bev != bev)
		return INPUT_GONE;
	if (!ok) {
		transport_link_close(link);
		return INPUT_GONE;
	}
	return INPUT_HANDLED;
}

/// Schedules the next batch: in the next round of the loop behind the events
/// that are ready by then, or once it is overdue before them.
///
/// @param took_us  by the last batch, if others wait behind it
static void
schedule_batch(struct transport *t, uint64_t took_us)
{
	const struct timeval next_round = { 0 };

	// Adding an event again would take it out of those that are due.
	if (event_pending(t->batch, EV_TIMEOUT, NULL))
		return;
	(void)event_add(t->batch, &next_round);
	timerq_arm_in(t->overdue,
	    MAX(TRANSPORT_OVERDUE_US, TRANSPORT_OVERDUE_FACTOR * took_us));
}

/// Stops reading a link on which too much waits, and resumes later.
static void
limit_waiting(struct transport_link *link)
{
	const bool is_full = link->is_waiting &&
	    evbuffer_get_length(bufferevent_get_input(link->bev)) >
		TRANSPORT_MAX_WAITING_BYTES;

	if (is_full == link->is_paused || link->has_ended)
		return;
	link->is_paused = is_full;
	if (is_full)
		(void)bufferevent_disable(link->bev, EV_READ);
	else
		(void)bufferevent_enable(link->bev, EV_READ);
}

/// Queues a link if a message waits there. One that has ended goes first: its
/// peer may be linked again, and its messages there must come later.
static void
queue_if_waiting(struct transport_link *link)
{
	struct transport *t = link->owner;

	if (!link->is_waiting && has_frame(link)) {
		link->is_waiting = true;
		if (link->has_ended)
			TAILQ_INSERT_HEAD(&t->waiting, link, waiting);
		else
			TAILQ_INSERT_TAIL(&t->waiting, link, waiting);
	}
	limit_waiting(link);
}

static void
unqueue(struct transport_link *link)
{
	if (link->is_waiting)
		TAILQ_REMOVE(&link->owner->waiting, link, waiting);
	link->is_waiting = false;
}

/// Handles a few of the messages that wait, one a link in turn.
static void
handle_batch(struct transport *t)
{
	const uint64_t begun_us = timerq_now_us(t->config.timers);

	(void)event_del(t->batch);
	timerq_disarm(t->overdue);
	for (int n = 0; n < TRANSPORT_BATCH; n++) {
		struct transport_link *link = TAILQ_FIRST(&t->waiting);

		if (link == NULL)
			return;
		unqueue(link);
		if (handle_next(link) == INPUT_GONE)
			continue;
		queue_if_waiting(link);
		if (link->has_ended && !link->is_waiting)
			transport_link_close(link);
	}
	if (!TAILQ_EMPTY(&t->waiting))
		schedule_batch(t, timerq_now_us(t->config.timers) - begun_us);
}

static void
on_batch(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	handle_batch(arg);
}

static void
on_overdue(void *arg, uint64_t now_us)
{
	(void)now_us;
	handle_batch(arg);
}

/// Handles the messages that have arrived, or queues them. Those of a link that
/// isn't up yet, and so is urgent, may bring it up.
void
transport_input_on_read(struct bufferevent *bev, void *arg)
{
	struct transport_link *link = arg;

	(void)bev;
	while (is_urgent(link)) {
		if (handle_next(link) != INPUT_HANDLED)
			return;
	}
	queue_if_waiting(link);
	if (link->is_waiting)
		schedule_batch(link->owner, 0);
}

/// The connection of a link has ended.
///
/// @return false: no message waits there, and the link can be closed at once;
///         true: it is closed after these are handled
bool
transport_input_end(struct transport_link *link)
{
	if (!link->is_waiting)
		return false;
	unqueue(link);
	link->has_ended = true;
	(void)bufferevent_disable(link->bev, EV_READ | EV_WRITE);
	queue_if_waiting(link);
	return true;
}

/// Forgets what waits on a link whose connection is about to be released.
void
transport_input_drop(struct transport_link *link)
{
	unqueue(link);
	link->is_paused = false;
	link->has_ended = false;
}

/// Makes the queue of a transport, to be released with transport_input_stop().
void
transport_input_start(struct transport *t)
{
	TAILQ_INIT(&t->waiting);
	t->batch = event_new(t->config.base, -1, 0, on_batch, t);
	t->overdue = timerq_timer_new(t->config.timers, on_overdue, t);
}

/// Releases the queue.
void
transport_input_stop(struct transport *t)
{
	event_free(t->batch);
	timerq_timer_free(t->overdue);
}
