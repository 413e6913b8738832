#include "wire/transport_internal.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/ssl.h>
#include <string.h>

#include "base/logger.h"

#define TRANSPORT_RETRY_MIN_US (50 * USEC_PER_MSEC)
#define TRANSPORT_RETRY_MAX_US (250 * USEC_PER_MSEC)
/// A connection that isn't established within this timeout is dialled again,
/// and the timeout doubles up to the maximum. It starts short because the
/// first packet to a VM that is just starting is lost, and the kernel
/// retransmits it only after a second.
#define TRANSPORT_CONNECT_MIN_US (100 * USEC_PER_MSEC)
#define TRANSPORT_CONNECT_MAX_US (1 * USEC_PER_SEC)
/// An established connection that received no hello from the peer within this
/// time is closed and dialled again.
#define TRANSPORT_HELLO_TIMEOUT_US (1 * USEC_PER_SEC)
/// A connection whose sent data stays unacknowledged this long is closed, even
/// if no TCP reset arrives.
#define TRANSPORT_UNACKED_MS 2000
#define TRANSPORT_KEEPALIVE_S 1
/// A peer that closes the link this soon after the hello may have refused it.
#define TRANSPORT_REFUSED_US USEC_PER_SEC
#define TRANSPORT_KEEPALIVE_PROBES 2

static void dial(struct transport_link *link);

static enum status
parse_socket_address(
    const char *host, uint16_t port, struct sockaddr_storage *out, int *len)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		*len = sizeof(*v4);
		return STATUS_OK;
	}
	if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		*len = sizeof(*v6);
		return STATUS_OK;
	}
	return status_fail(STATUS_INVALID, "'%s' is not an IP address", host);
}

/// Redials a link that is down, or closes one whose connection or hello timed
/// out.
static void
on_retry(void *arg, uint64_t now_us)
{
	struct transport_link *link = arg;

	(void)now_us;
	if (link->bev == NULL)
		dial(link);
	else if (!link->up)
		transport_link_close(link);
}

/// Releases the connection of a link and marks the link down, without the
/// `down` callback or a redial; see transport_link_close().
static void
release_connection(struct transport_link *link)
{
	transport_input_drop(link);
	if (link->bev != NULL)
		bufferevent_free(link->bev);
	link->bev = NULL;
	link->up = false;
}

/// Chooses the form of the next hello of a dialled link: the two take turns as
/// long as the peer closes the link at once.
static void
choose_hello(struct transport_link *link, bool was_up)
{
	const uint64_t now = timerq_now_us(link->owner->config.timers);
	const bool was_refused = link->hello_sent &&
	    (!was_up || now - link->up_us < TRANSPORT_REFUSED_US);

	link->hides_host = was_refused && !link->hides_host;
	link->hello_sent = false;
}

/// Closes a link's connection and calls the `down` callback if the link was
/// up. A dialled link is scheduled for a redial, an accepted one is removed.
void
transport_link_close(struct transport_link *link)
{
	struct transport *t = link->owner;
	const bool was_up = link->up;
	const handle_t self = link->self;
	const struct wire_hello hello = link->hello;

	// The redial delay is reset only after a link that stayed up for a
	// while, so that the backoff also applies to a peer that closes the
	// link right after its hello.
	if (was_up &&
	    timerq_now_us(t->config.timers) - link->up_us >
		TRANSPORT_RETRY_MAX_US)
		link->retry_delay_us = TRANSPORT_RETRY_MIN_US;
	release_connection(link);
	if (link->dialled) {
		choose_hello(link, was_up);
		timerq_arm_in(link->retry_timer, link->retry_delay_us);
		link->retry_delay_us =
		    MIN(link->retry_delay_us * 2, TRANSPORT_RETRY_MAX_US);
	}
	if (was_up)
		t->config.callbacks.down(t->config.callbacks.arg, self, &hello);
	link = slotmap_get(t->links, self);
	if (link != NULL && !link->dialled)
		slotmap_remove(t->links, self);
}

/// Whether the common name of the peer's certificate is `node`.
static bool
certificate_matches(struct transport_link *link, const char *node)
{
	SSL *ssl = bufferevent_openssl_get_ssl(link->bev);
	X509 *cert = SSL_get1_peer_certificate(ssl);
	char name[WIRE_NAME_BYTES] = "";

	if (cert == NULL)
		return false;
	(void)X509_NAME_get_text_by_NID(
	    X509_get_subject_name(cert), NID_commonName, name, sizeof(name));
	X509_free(cert);
	return strcmp(name, node) == 0;
}

/// Lets messages of control precede those of other peers and callers: the
/// replicated log and leases depend on their timing. Has no effect on a loop
/// without priorities.
static void
set_urgent(struct transport_link *link)
{
	if (event_base_get_npriorities(link->owner->config.base) > 1)
		(void)bufferevent_priority_set(link->bev, 0);
}

/// Checks the first message of a link, which must be a hello, and marks the
/// link up.
///
/// @return false when the link must be closed
bool
transport_link_accept_hello(
    struct transport_link *link, const struct wire_msg *msg)
{
	struct transport *t = link->owner;

	if (msg->kind != WIRE_HELLO) {
		logger_event(LOGGER_WARN, "link.refused", "reason=no_hello");
		return false;
	}
	if (strcmp(msg->hello.deployment, t->config.self.deployment) != 0) {
		logger_event(LOGGER_WARN, "link.refused",
		    "reason=deployment peer=%s deployment=%s", msg->hello.node,
		    msg->hello.deployment);
		return false;
	}
	if (t->config.tls != NULL &&
	    !certificate_matches(link, msg->hello.node)) {
		logger_event(LOGGER_WARN, "link.refused",
		    "reason=certificate peer=%s", msg->hello.node);
		return false;
	}
	link->hello = msg->hello;
	link->up = true;
	link->up_us = timerq_now_us(t->config.timers);
	link->connect_timeout_us = TRANSPORT_CONNECT_MIN_US;
	if (link->dialled)
		timerq_disarm(link->retry_timer);
	if (link->hello.role == WIRE_ROLE_CONTROL)
		set_urgent(link);
	// The callback may remove the link.
	t->config.callbacks.up(
	    t->config.callbacks.arg, link->self, &msg->hello);
	return true;
}

static void
set_option(evutil_socket_t fd, int level, int option, int value)
{
	if (setsockopt(fd, level, option, &value, sizeof(value)) != 0)
		logger_event(LOGGER_WARN, "link.option", "option=%d errno=%d",
		    option, errno);
}

/// Disables Nagle's algorithm, so that small messages are sent at once, and
/// enables the timeouts that detect an unresponsive peer.
static void
set_options(struct bufferevent *bev)
{
	const evutil_socket_t fd = bufferevent_getfd(bev);

	if (fd < 0)
		return;
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, TRANSPORT_UNACKED_MS);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, TRANSPORT_KEEPALIVE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, TRANSPORT_KEEPALIVE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, TRANSPORT_KEEPALIVE_PROBES);
}

static void
send_hello(struct transport_link *link)
{
	struct wire_msg msg = {
		.kind = WIRE_HELLO,
		.hello = link->owner->config.self,
	};

	msg.hello.hides_host = link->hides_host;
	link->hello_sent = true;
	(void)transport_send(link->owner, link->self, &msg);
}

/// Sends the hello once connected; any other event closes the link, after the
/// messages that have arrived.
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct transport_link *link = arg;

	if (what & BEV_EVENT_CONNECTED) {
		if (link->dialled)
			timerq_arm_in(
			    link->retry_timer, TRANSPORT_HELLO_TIMEOUT_US);
		set_options(bev);
		send_hello(link);
		return;
	}
	if (!transport_input_end(link))
		transport_link_close(link);
}

static struct bufferevent *
make_bev(struct transport *t, evutil_socket_t fd, bool dialled)
{
	SSL *ssl;

	if (t->config.tls == NULL)
		return bufferevent_socket_new(
		    t->config.base, fd, BEV_OPT_CLOSE_ON_FREE);
	ssl = SSL_new(t->config.tls);
	return bufferevent_openssl_socket_new(t->config.base, fd, ssl,
	    dialled ? BUFFEREVENT_SSL_CONNECTING : BUFFEREVENT_SSL_ACCEPTING,
	    BEV_OPT_CLOSE_ON_FREE);
}

static void
dial(struct transport_link *link)
{
	link->owner->n_dials++;
	timerq_arm_in(link->retry_timer, link->connect_timeout_us);
	link->connect_timeout_us =
	    MIN(link->connect_timeout_us * 2, TRANSPORT_CONNECT_MAX_US);
	link->bev = make_bev(link->owner, -1, true);
	bufferevent_setcb(
	    link->bev, transport_input_on_read, NULL, on_event, link);
	(void)bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(link->bev,
		(struct sockaddr *)&link->address, link->address_len) != 0 &&
	    link->bev != NULL)
		transport_link_close(link);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	struct transport *t = arg;
	struct transport_link *link;
	void *item;
	handle_t self;

	(void)listener;
	(void)from;
	(void)len;
	self = slotmap_add(t->links, &item);
	link = item;
	link->owner = t;
	link->self = self;
	link->bev = make_bev(t, fd, false);
	bufferevent_setcb(
	    link->bev, transport_input_on_read, NULL, on_event, link);
	(void)bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	if (t->config.tls == NULL) {
		set_options(link->bev);
		send_hello(link);
	}
}

/// Creates a transport without links.
///
/// @param config  copied; `base`, `timers` and `tls` must outlive the transport
/// @return transport, to be released with transport_free()
struct transport *
transport_new(const struct transport_config *config)
{
	struct transport *t = g_new0(struct transport, 1);

	t->config = *config;
	t->links = slotmap_new(sizeof(struct transport_link));
	transport_input_start(t);
	return t;
}

/// Closes all links without callbacks and releases the transport; NULL is
/// allowed.
void
transport_free(struct transport *t)
{
	if (t == NULL)
		return;
	for (handle_t h = slotmap_next(t->links, HANDLE_NONE); h != HANDLE_NONE;
	     h = slotmap_next(t->links, h)) {
		struct transport_link *link = slotmap_get(t->links, h);

		release_connection(link);
		timerq_timer_free(link->retry_timer);
	}
	if (t->listener != NULL)
		evconnlistener_free(t->listener);
	transport_input_stop(t);
	slotmap_free(t->links);
	g_free(t);
}

/// Starts to accept links at an address.
///
/// @param host  IPv4 or IPv6 address in text form, without brackets
/// @return STATUS_OK, STATUS_INVALID when `host` is not an IP address, or
///         STATUS_IO when the socket can't be bound
enum status
transport_listen(struct transport *t, const char *host, uint16_t port)
{
	struct sockaddr_storage address;
	enum status status;
	int len = 0;

	status = parse_socket_address(host, port, &address, &len);
	if (status != STATUS_OK)
		return status;
	t->listener = evconnlistener_new_bind(t->config.base, on_accept, t,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
	    (struct sockaddr *)&address, len);
	if (t->listener == NULL)
		return status_fail(
		    STATUS_IO, "can't listen at %s:%u", host, port);
	return STATUS_OK;
}

/// Dials a peer, and redials it whenever the connection fails or ends, until
/// the transport is released.
///
/// @param host  IPv4 or IPv6 address in text form, without brackets
/// @return handle of the link, HANDLE_NONE when `host` is not an IP address
handle_t
transport_dial(struct transport *t, const char *host, uint16_t port)
{
	struct sockaddr_storage address;
	struct transport_link *link;
	void *item;
	handle_t self;
	int len = 0;

	if (parse_socket_address(host, port, &address, &len) != STATUS_OK)
		return HANDLE_NONE;
	self = slotmap_add(t->links, &item);
	link = item;
	link->owner = t;
	link->self = self;
	link->dialled = true;
	link->address = address;
	link->address_len = len;
	link->retry_delay_us = TRANSPORT_RETRY_MIN_US;
	link->connect_timeout_us = TRANSPORT_CONNECT_MIN_US;
	link->retry_timer = timerq_timer_new(t->config.timers, on_retry, link);
	dial(link);
	return self;
}

/// Writes to a connection at once if nothing waits to be written before. Else
/// each message would cost an event of the loop, and its turn.
///
/// @return bytes written; the rest is queued by the caller, and an error is
///         met by the loop
static size_t
write_now(const struct transport_link *link, const uint8_t *bytes, size_t len)
{
	const struct transport *t = link->owner;
	const evutil_socket_t fd = bufferevent_getfd(link->bev);
	ssize_t n;

	if (t->config.tls != NULL || fd < 0 ||
	    evbuffer_get_length(bufferevent_get_output(link->bev)) > 0)
		return 0;
	n = send(fd, bytes, len, MSG_DONTWAIT | MSG_NOSIGNAL);
	return n > 0 ? (size_t)n : 0;
}

/// Sends a message, or queues what can't be sent at once.
///
/// @return false when the message is discarded: the link is down, or its send
///         queue exceeds max_queue_bytes, in which case the link is closed too
bool
transport_send(struct transport *t, handle_t h, const struct wire_msg *msg)
{
	struct transport_link *link = slotmap_get(t->links, h);
	struct evbuffer *out;
	uint8_t *bytes;
	size_t written;
	size_t len;

	if (link == NULL || link->bev == NULL)
		return false;
	if (!link->up && msg->kind != WIRE_HELLO)
		return false;
	out = bufferevent_get_output(link->bev);
	if (evbuffer_get_length(out) > t->config.max_queue_bytes) {
		logger_event(LOGGER_WARN, "link.queue_full", "peer=%s",
		    link->hello.node);
		transport_close(t, h);
		return false;
	}
	wire_encode(msg, &bytes, &len);
	written = write_now(link, bytes, len);
	if (written < len)
		(void)bufferevent_write(
		    link->bev, bytes + written, len - written);
	t->bytes_sent += len;
	t->traffic[msg->kind].sent++;
	t->traffic[msg->kind].sent_bytes += len;
	g_free(bytes);
	return true;
}

/// Bytes that wait to be written to a link.
size_t
transport_queued(const struct transport *t, handle_t h)
{
	const struct transport_link *link = slotmap_get(t->links, h);

	return link == NULL || link->bev == NULL
	    ? 0
	    : evbuffer_get_length(bufferevent_get_output(link->bev));
}

/// Whether the link is established and the peer's hello was accepted.
bool
transport_is_up(const struct transport *t, handle_t h)
{
	const struct transport_link *link = slotmap_get(t->links, h);

	return link != NULL && link->up;
}

/// The hello of a link's peer; NULL while the link is down. Valid until the
/// link goes down.
const struct wire_hello *
transport_peer(const struct transport *t, handle_t h)
{
	const struct transport_link *link = slotmap_get(t->links, h);

	return link != NULL && link->up ? &link->hello : NULL;
}

/// Replaces the hello that is sent on every link, and closes all links, so that
/// the peers get the new one when they are dialled again.
void
transport_set_self(struct transport *t, const struct wire_hello *self)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(handle_t));

	t->config.self = *self;
	for (handle_t h = slotmap_next(t->links, HANDLE_NONE); h != HANDLE_NONE;
	     h = slotmap_next(t->links, h))
		g_array_append_val(all, h);
	for (guint i = 0; i < all->len; i++)
		transport_close(t, g_array_index(all, handle_t, i));
	g_array_unref(all);
}

/// Closes a link's connection at once, discarding unsent messages. Calls the
/// `down` callback if the link was up. A dialled link is redialled.
void
transport_close(struct transport *t, handle_t h)
{
	struct transport_link *link = slotmap_get(t->links, h);

	if (link == NULL || link->bev == NULL)
		return;
	transport_link_close(link);
}

/// Closes a link and dials it no more. Calls the `down` callback if it was up.
void
transport_remove(struct transport *t, handle_t h)
{
	struct transport_link *link = slotmap_get(t->links, h);
	struct wire_hello hello;
	bool was_up;

	if (link == NULL)
		return;
	was_up = link->up;
	hello = link->hello;
	release_connection(link);
	timerq_timer_free(link->retry_timer);
	slotmap_remove(t->links, h);
	if (was_up)
		t->config.callbacks.down(t->config.callbacks.arg, h, &hello);
}

/// Messages of a kind so far.
struct transport_traffic
transport_traffic(const struct transport *t, enum wire_kind kind)
{
	assert(kind > 0 && kind < WIRE_KIND_COUNT);
	return t->traffic[kind];
}

static void
export_direction(struct metrics_registry *registry, enum wire_kind kind,
    const char *direction, uint64_t n, uint64_t bytes)
{
	char labels[80];

	if (n == 0)
		return;
	(void)g_snprintf(labels, sizeof(labels), "kind=\"%s\",direction=\"%s\"",
	    wire_kind_name(kind), direction);
	metrics_counter(registry, "ac_peer_messages_total", labels)->value = n;
	metrics_counter(registry, "ac_peer_message_bytes_total", labels)
	    ->value = bytes;
}

static void
export_handling(struct metrics_registry *registry, enum wire_kind kind,
    const struct transport_traffic *c)
{
	char labels[48];

	if (c->received == 0)
		return;
	(void)g_snprintf(
	    labels, sizeof(labels), "kind=\"%s\"", wire_kind_name(kind));
	metrics_counter(registry, "ac_peer_message_us_total", labels)->value =
	    c->handling_us;
}

/// Writes the messages of each kind, their bytes and the time spent on those
/// that were received to counters.
void
transport_export(const struct transport *t, struct metrics_registry *registry)
{
	for (enum wire_kind k = WIRE_HELLO; k < WIRE_KIND_COUNT; k++) {
		const struct transport_traffic *c = &t->traffic[k];

		export_direction(registry, k, "sent", c->sent, c->sent_bytes);
		export_direction(
		    registry, k, "received", c->received, c->received_bytes);
		export_handling(registry, k, c);
	}
}

/// Bytes queued on all links so far, frame lengths included.
uint64_t
transport_bytes_sent(const struct transport *t)
{
	return t->bytes_sent;
}

/// Bytes of whole frames received on all links so far, lengths included.
uint64_t
transport_bytes_received(const struct transport *t)
{
	return t->bytes_received;
}

/// Connection attempts so far.
uint64_t
transport_dials(const struct transport *t)
{
	return t->n_dials;
}
