#include "wire/transport.h"

#include <arpa/inet.h>
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

#define TRANSPORT_RETRY_FIRST_US (50 * USEC_PER_MSEC)
#define TRANSPORT_RETRY_MAX_US (250 * USEC_PER_MSEC)
#define TRANSPORT_HEAD_BYTES 4
/// A connection that doesn't stand by then is dialled again, with twice the
/// time. The first packet to a VM that is just starting is lost, and the
/// kernel sends it again only after a second.
#define TRANSPORT_CONNECT_FIRST_US (100 * USEC_PER_MSEC)
#define TRANSPORT_CONNECT_MAX_US (1 * USEC_PER_SEC)
/// A connection without the peer's hello by then is dialled again.
#define TRANSPORT_HELLO_US (1 * USEC_PER_SEC)
/// A peer that acknowledges nothing for so long is gone, also without a reset.
#define TRANSPORT_SILENT_MS 2000
#define TRANSPORT_PROBE_S 1
#define TRANSPORT_PROBES 2

/// One link; a dialled one stays in the table while it is down.
struct transport_link {
	struct transport *owner;
	handle_t self;
	struct bufferevent *bev;    ///< NULL while down
	struct timerq_timer *retry; ///< dialled links only
	uint64_t retry_us;
	uint64_t connect_us;
	struct sockaddr_storage address;
	int address_len;
	bool dialled;
	bool up; ///< the peer's hello came
	uint64_t up_us;
	struct wire_hello hello;
};

struct transport {
	struct transport_config config;
	struct slotmap *links;
	struct evconnlistener *listener;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t n_dials;
};

static void dial(struct transport_link *link);

static enum status
parse_address(
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
	return status_fail(STATUS_INVALID, "'%s' is not an IP number", host);
}

static void link_down(struct transport_link *link);

static void
on_retry(void *arg, uint64_t now_us)
{
	struct transport_link *link = arg;

	(void)now_us;
	if (link->bev == NULL)
		dial(link);
	else if (!link->up)
		link_down(link);
}

static void
drop(struct transport_link *link)
{
	if (link->bev != NULL)
		bufferevent_free(link->bev);
	link->bev = NULL;
	link->up = false;
}

/// Takes a link down and tells the owner when it was up. A dialled link is
/// tried again later, an accepted one is forgotten.
static void
link_down(struct transport_link *link)
{
	struct transport *l = link->owner;
	const bool was_up = link->up;
	const handle_t self = link->self;
	const struct wire_hello hello = link->hello;

	// A peer that refuses us after its hello is not asked more often.
	if (was_up &&
	    timerq_now_us(l->config.timers) - link->up_us >
		TRANSPORT_RETRY_MAX_US)
		link->retry_us = TRANSPORT_RETRY_FIRST_US;
	drop(link);
	if (link->dialled) {
		timerq_arm_in(link->retry, link->retry_us);
		link->retry_us =
		    MIN(link->retry_us * 2, TRANSPORT_RETRY_MAX_US);
	}
	if (was_up)
		l->config.callbacks.down(l->config.callbacks.arg, self, &hello);
	link = slotmap_get(l->links, self);
	if (link != NULL && !link->dialled)
		slotmap_remove(l->links, self);
}

/// Whether the peer's certificate is made out to the name that it gives.
static bool
proves_name(struct transport_link *link, const char *node)
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

static bool
take_hello(struct transport_link *link, const struct wire_msg *msg)
{
	struct transport *l = link->owner;

	if (msg->kind != WIRE_HELLO) {
		logger_event(LOGGER_WARN, "link.refused", "reason=no_hello");
		return false;
	}
	if (strcmp(msg->hello.deployment, l->config.self.deployment) != 0) {
		logger_event(LOGGER_WARN, "link.refused",
		    "reason=deployment peer=%s deployment=%s", msg->hello.node,
		    msg->hello.deployment);
		return false;
	}
	if (l->config.tls != NULL && !proves_name(link, msg->hello.node)) {
		logger_event(LOGGER_WARN, "link.refused",
		    "reason=certificate peer=%s", msg->hello.node);
		return false;
	}
	link->hello = msg->hello;
	link->up = true;
	link->up_us = timerq_now_us(l->config.timers);
	link->connect_us = TRANSPORT_CONNECT_FIRST_US;
	if (link->dialled)
		timerq_disarm(link->retry);
	l->config.callbacks.up(
	    l->config.callbacks.arg, link->self, &link->hello);
	return true;
}

/// @return false when the link must go down
static bool
take_frame(struct transport_link *link, const uint8_t *bytes, size_t len)
{
	struct transport *l = link->owner;
	struct wire_msg msg;

	if (wire_decode(bytes, len, &msg) != STATUS_OK) {
		logger_event(LOGGER_WARN, "link.corrupt",
		    "peer=%s reason=\"%s\"", link->hello.node, status_last());
		return false;
	}
	if (!link->up)
		return take_hello(link, &msg);
	if (msg.kind == WIRE_HELLO)
		return false;
	l->config.callbacks.message(
	    l->config.callbacks.arg, link->self, &link->hello, &msg);
	return true;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct transport_link *link = arg;
	struct transport *l = link->owner;
	const handle_t self = link->self;
	struct evbuffer *in = bufferevent_get_input(bev);

	for (;;) {
		uint32_t be;
		uint32_t len;
		uint8_t *frame;
		bool ok;

		if (evbuffer_copyout(in, &be, sizeof(be)) <
		    TRANSPORT_HEAD_BYTES)
			return;
		len = ntohl(be);
		if (len == 0 || len > WIRE_MAX_FRAME_BYTES) {
			link_down(link);
			return;
		}
		if (evbuffer_get_length(in) <
		    (size_t)len + TRANSPORT_HEAD_BYTES)
			return;
		(void)evbuffer_drain(in, TRANSPORT_HEAD_BYTES);
		frame = g_malloc(len);
		(void)evbuffer_remove(in, frame, len);
		l->bytes_received += len + TRANSPORT_HEAD_BYTES;
		ok = take_frame(link, frame, len);
		g_free(frame);
		// The owner may have closed the link meanwhile.
		link = slotmap_get(l->links, self);
		if (link == NULL || link->bev != bev)
			return;
		if (!ok) {
			link_down(link);
			return;
		}
	}
}

static void
set_option(evutil_socket_t fd, int level, int option, int value)
{
	if (setsockopt(fd, level, option, &value, sizeof(value)) != 0)
		logger_event(LOGGER_WARN, "link.option", "option=%d errno=%d",
		    option, errno);
}

/// Small messages leave at once; a peer that fell silent is noticed.
static void
set_options(struct bufferevent *bev)
{
	const evutil_socket_t fd = bufferevent_getfd(bev);

	if (fd < 0)
		return;
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, TRANSPORT_SILENT_MS);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, TRANSPORT_PROBE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, TRANSPORT_PROBE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, TRANSPORT_PROBES);
}

static void
send_hello(struct transport_link *link)
{
	const struct wire_msg msg = {
		.kind = WIRE_HELLO,
		.hello = link->owner->config.self,
	};

	(void)transport_send(link->owner, link->self, &msg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct transport_link *link = arg;

	if (what & BEV_EVENT_CONNECTED) {
		if (link->dialled)
			timerq_arm_in(link->retry, TRANSPORT_HELLO_US);
		set_options(bev);
		send_hello(link);
		return;
	}
	link_down(link);
}

static struct bufferevent *
make_bev(struct transport *l, evutil_socket_t fd, bool dialled)
{
	SSL *ssl;

	if (l->config.tls == NULL)
		return bufferevent_socket_new(
		    l->config.base, fd, BEV_OPT_CLOSE_ON_FREE);
	ssl = SSL_new(l->config.tls);
	return bufferevent_openssl_socket_new(l->config.base, fd, ssl,
	    dialled ? BUFFEREVENT_SSL_CONNECTING : BUFFEREVENT_SSL_ACCEPTING,
	    BEV_OPT_CLOSE_ON_FREE);
}

static void
dial(struct transport_link *link)
{
	link->owner->n_dials++;
	timerq_arm_in(link->retry, link->connect_us);
	link->connect_us = MIN(link->connect_us * 2, TRANSPORT_CONNECT_MAX_US);
	link->bev = make_bev(link->owner, -1, true);
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	(void)bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(link->bev,
		(struct sockaddr *)&link->address, link->address_len) != 0 &&
	    link->bev != NULL)
		link_down(link);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	struct transport *l = arg;
	struct transport_link *link;
	void *item;
	handle_t self;

	(void)listener;
	(void)from;
	(void)len;
	self = slotmap_add(l->links, &item);
	link = item;
	link->owner = l;
	link->self = self;
	link->bev = make_bev(l, fd, false);
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	(void)bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	if (l->config.tls == NULL) {
		set_options(link->bev);
		send_hello(link);
	}
}

/// Makes an empty set of links.
struct transport *
transport_new(const struct transport_config *config)
{
	struct transport *l = g_new0(struct transport, 1);

	l->config = *config;
	l->links = slotmap_new(sizeof(struct transport_link));
	return l;
}

/// Closes and releases all links, without callbacks; NULL is allowed.
void
transport_free(struct transport *l)
{
	if (l == NULL)
		return;
	for (handle_t h = slotmap_next(l->links, HANDLE_NONE); h != HANDLE_NONE;
	     h = slotmap_next(l->links, h)) {
		struct transport_link *link = slotmap_get(l->links, h);

		drop(link);
		timerq_timer_free(link->retry);
	}
	if (l->listener != NULL)
		evconnlistener_free(l->listener);
	slotmap_free(l->links);
	g_free(l);
}

/// Accepts links at an address.
///
/// @return STATUS_OK, STATUS_INVALID or STATUS_IO
enum status
transport_listen(struct transport *l, const char *host, uint16_t port)
{
	struct sockaddr_storage address;
	enum status status;
	int len = 0;

	status = parse_address(host, port, &address, &len);
	if (status != STATUS_OK)
		return status;
	l->listener = evconnlistener_new_bind(l->config.base, on_accept, l,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
	    (struct sockaddr *)&address, len);
	if (l->listener == NULL)
		return status_fail(
		    STATUS_IO, "can't listen at %s:%u", host, port);
	return STATUS_OK;
}

/// Dials a peer and keeps trying until the link is closed.
///
/// @return handle of the link, HANDLE_NONE when the address is no IP number
handle_t
transport_dial(struct transport *l, const char *host, uint16_t port)
{
	struct sockaddr_storage address;
	struct transport_link *link;
	void *item;
	handle_t self;
	int len = 0;

	if (parse_address(host, port, &address, &len) != STATUS_OK)
		return HANDLE_NONE;
	self = slotmap_add(l->links, &item);
	link = item;
	link->owner = l;
	link->self = self;
	link->dialled = true;
	link->address = address;
	link->address_len = len;
	link->retry_us = TRANSPORT_RETRY_FIRST_US;
	link->connect_us = TRANSPORT_CONNECT_FIRST_US;
	link->retry = timerq_timer_new(l->config.timers, on_retry, link);
	dial(link);
	return self;
}

/// Sends a message.
///
/// @return false when the link is down or its queue is full (it is cut
///         then); the message is lost
bool
transport_send(struct transport *l, handle_t h, const struct wire_msg *msg)
{
	struct transport_link *link = slotmap_get(l->links, h);
	struct evbuffer *out;
	uint8_t *bytes;
	size_t len;

	if (link == NULL || link->bev == NULL)
		return false;
	if (!link->up && msg->kind != WIRE_HELLO)
		return false;
	out = bufferevent_get_output(link->bev);
	if (evbuffer_get_length(out) > l->config.max_queue_bytes) {
		logger_event(LOGGER_WARN, "link.queue_full", "peer=%s",
		    link->hello.node);
		transport_close(l, h);
		return false;
	}
	wire_encode(msg, &bytes, &len);
	(void)bufferevent_write(link->bev, bytes, len);
	l->bytes_sent += len;
	g_free(bytes);
	return true;
}

/// Whether the peer's hello came and the link stands.
bool
transport_is_up(const struct transport *l, handle_t h)
{
	const struct transport_link *link = slotmap_get(l->links, h);

	return link != NULL && link->up;
}

/// Cuts a link at once, with the `down` callback unless it never came up. A
/// dialled link comes back by itself.
void
transport_close(struct transport *l, handle_t h)
{
	struct transport_link *link = slotmap_get(l->links, h);

	if (link == NULL || link->bev == NULL)
		return;
	link_down(link);
}

/// Bytes handed to the links so far.
uint64_t
transport_bytes_sent(const struct transport *l)
{
	return l->bytes_sent;
}

/// Bytes taken from the links so far.
uint64_t
transport_bytes_received(const struct transport *l)
{
	return l->bytes_received;
}

/// Connections dialled so far.
uint64_t
transport_dials(const struct transport *l)
{
	return l->n_dials;
}
