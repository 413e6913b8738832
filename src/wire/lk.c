#include "wire/lk.h"

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

#include "base/lg.h"

#define LK_RETRY_FIRST_US (50 * TM_US_PER_MS)
#define LK_RETRY_MAX_US (250 * TM_US_PER_MS)
#define LK_HEAD_BYTES 4
/// A connection that doesn't stand by then is dialled again, with twice the
/// time. The first packet to a VM that is just starting is lost, and the
/// kernel sends it again only after a second.
#define LK_CONNECT_FIRST_US (100 * TM_US_PER_MS)
#define LK_CONNECT_MAX_US (1 * TM_US_PER_S)
/// A connection without the peer's hello by then is dialled again.
#define LK_HELLO_US (1 * TM_US_PER_S)
/// A peer that acknowledges nothing for so long is gone, also without a reset.
#define LK_SILENT_MS 2000
#define LK_PROBE_S 1
#define LK_PROBES 2

/// One link; a dialled one stays in the table while it is down.
struct lk_link {
	struct lk *owner;
	hd_t self;
	struct bufferevent *bev; ///< NULL while down
	struct tm_timer *retry;  ///< dialled links only
	uint64_t retry_us;
	uint64_t connect_us;
	struct sockaddr_storage address;
	int address_len;
	bool dialled;
	bool up; ///< the peer's hello came
	uint64_t up_us;
	struct wr_hello hello;
};

struct lk {
	struct lk_config config;
	struct hd_table *links;
	struct evconnlistener *listener;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t n_dials;
};

static void dial(struct lk_link *link);

static enum st
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
		return ST_OK;
	}
	if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		*len = sizeof(*v6);
		return ST_OK;
	}
	return st_fail(ST_INVALID, "'%s' is not an IP number", host);
}

static void link_down(struct lk_link *link);

static void
on_retry(void *arg, uint64_t now_us)
{
	struct lk_link *link = arg;

	(void)now_us;
	if (link->bev == NULL)
		dial(link);
	else if (!link->up)
		link_down(link);
}

static void
drop(struct lk_link *link)
{
	if (link->bev != NULL)
		bufferevent_free(link->bev);
	link->bev = NULL;
	link->up = false;
}

/// Takes a link down and tells the owner when it was up. A dialled link is
/// tried again later, an accepted one is forgotten.
static void
link_down(struct lk_link *link)
{
	struct lk *l = link->owner;
	const bool was_up = link->up;
	const hd_t self = link->self;
	const struct wr_hello hello = link->hello;

	// A peer that refuses us after its hello is not asked more often.
	if (was_up &&
	    tm_now_us(l->config.timers) - link->up_us > LK_RETRY_MAX_US)
		link->retry_us = LK_RETRY_FIRST_US;
	drop(link);
	if (link->dialled) {
		tm_arm_in(link->retry, link->retry_us);
		link->retry_us = MIN(link->retry_us * 2, LK_RETRY_MAX_US);
	}
	if (was_up)
		l->config.callbacks.down(l->config.callbacks.arg, self, &hello);
	link = hd_get(l->links, self);
	if (link != NULL && !link->dialled)
		hd_remove(l->links, self);
}

/// Whether the peer's certificate is made out to the name that it gives.
static bool
proves_name(struct lk_link *link, const char *node)
{
	SSL *ssl = bufferevent_openssl_get_ssl(link->bev);
	X509 *cert = SSL_get1_peer_certificate(ssl);
	char name[WR_NAME_BYTES] = "";

	if (cert == NULL)
		return false;
	(void)X509_NAME_get_text_by_NID(
	    X509_get_subject_name(cert), NID_commonName, name, sizeof(name));
	X509_free(cert);
	return strcmp(name, node) == 0;
}

static bool
take_hello(struct lk_link *link, const struct wr_msg *msg)
{
	struct lk *l = link->owner;

	if (msg->kind != WR_HELLO) {
		lg_event(LG_WARN, "link.refused", "reason=no_hello");
		return false;
	}
	if (strcmp(msg->hello.deployment, l->config.self.deployment) != 0) {
		lg_event(LG_WARN, "link.refused",
		    "reason=deployment peer=%s deployment=%s", msg->hello.node,
		    msg->hello.deployment);
		return false;
	}
	if (l->config.tls != NULL && !proves_name(link, msg->hello.node)) {
		lg_event(LG_WARN, "link.refused", "reason=certificate peer=%s",
		    msg->hello.node);
		return false;
	}
	link->hello = msg->hello;
	link->up = true;
	link->up_us = tm_now_us(l->config.timers);
	link->connect_us = LK_CONNECT_FIRST_US;
	if (link->dialled)
		tm_disarm(link->retry);
	l->config.callbacks.up(
	    l->config.callbacks.arg, link->self, &link->hello);
	return true;
}

/// @return false when the link must go down
static bool
take_frame(struct lk_link *link, const uint8_t *bytes, size_t len)
{
	struct lk *l = link->owner;
	struct wr_msg msg;

	if (wr_decode(bytes, len, &msg) != ST_OK) {
		lg_event(LG_WARN, "link.corrupt", "peer=%s reason=\"%s\"",
		    link->hello.node, st_last());
		return false;
	}
	if (!link->up)
		return take_hello(link, &msg);
	if (msg.kind == WR_HELLO)
		return false;
	l->config.callbacks.message(
	    l->config.callbacks.arg, link->self, &link->hello, &msg);
	return true;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct lk_link *link = arg;
	struct lk *l = link->owner;
	const hd_t self = link->self;
	struct evbuffer *in = bufferevent_get_input(bev);

	for (;;) {
		uint32_t be;
		uint32_t len;
		uint8_t *frame;
		bool ok;

		if (evbuffer_copyout(in, &be, sizeof(be)) < LK_HEAD_BYTES)
			return;
		len = ntohl(be);
		if (len == 0 || len > WR_MAX_FRAME_BYTES) {
			link_down(link);
			return;
		}
		if (evbuffer_get_length(in) < (size_t)len + LK_HEAD_BYTES)
			return;
		(void)evbuffer_drain(in, LK_HEAD_BYTES);
		frame = g_malloc(len);
		(void)evbuffer_remove(in, frame, len);
		l->bytes_received += len + LK_HEAD_BYTES;
		ok = take_frame(link, frame, len);
		g_free(frame);
		// The owner may have closed the link meanwhile.
		link = hd_get(l->links, self);
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
		lg_event(LG_WARN, "link.option", "option=%d errno=%d", option,
		    errno);
}

/// Small messages leave at once; a peer that fell silent is noticed.
static void
set_options(struct bufferevent *bev)
{
	const evutil_socket_t fd = bufferevent_getfd(bev);

	if (fd < 0)
		return;
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, LK_SILENT_MS);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, LK_PROBE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, LK_PROBE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, LK_PROBES);
}

static void
send_hello(struct lk_link *link)
{
	const struct wr_msg msg = {
		.kind = WR_HELLO,
		.hello = link->owner->config.self,
	};

	(void)lk_send(link->owner, link->self, &msg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct lk_link *link = arg;

	if (what & BEV_EVENT_CONNECTED) {
		if (link->dialled)
			tm_arm_in(link->retry, LK_HELLO_US);
		set_options(bev);
		send_hello(link);
		return;
	}
	link_down(link);
}

static struct bufferevent *
make_bev(struct lk *l, evutil_socket_t fd, bool dialled)
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
dial(struct lk_link *link)
{
	link->owner->n_dials++;
	tm_arm_in(link->retry, link->connect_us);
	link->connect_us = MIN(link->connect_us * 2, LK_CONNECT_MAX_US);
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
	struct lk *l = arg;
	struct lk_link *link;
	void *item;
	hd_t self;

	(void)listener;
	(void)from;
	(void)len;
	self = hd_add(l->links, &item);
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
struct lk *
lk_new(const struct lk_config *config)
{
	struct lk *l = g_new0(struct lk, 1);

	l->config = *config;
	l->links = hd_new(sizeof(struct lk_link));
	return l;
}

/// Closes and releases all links, without callbacks; NULL is allowed.
void
lk_free(struct lk *l)
{
	if (l == NULL)
		return;
	for (hd_t h = hd_next(l->links, HD_NONE); h != HD_NONE;
	     h = hd_next(l->links, h)) {
		struct lk_link *link = hd_get(l->links, h);

		drop(link);
		tm_unsubscribe(link->retry);
	}
	if (l->listener != NULL)
		evconnlistener_free(l->listener);
	hd_free(l->links);
	g_free(l);
}

/// Accepts links at an address.
///
/// @return ST_OK, ST_INVALID or ST_IO
enum st
lk_listen(struct lk *l, const char *host, uint16_t port)
{
	struct sockaddr_storage address;
	enum st status;
	int len = 0;

	status = parse_address(host, port, &address, &len);
	if (status != ST_OK)
		return status;
	l->listener = evconnlistener_new_bind(l->config.base, on_accept, l,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
	    (struct sockaddr *)&address, len);
	if (l->listener == NULL)
		return st_fail(ST_IO, "can't listen at %s:%u", host, port);
	return ST_OK;
}

/// Dials a peer and keeps trying until the link is closed.
///
/// @return handle of the link, HD_NONE when the address is no IP number
hd_t
lk_dial(struct lk *l, const char *host, uint16_t port)
{
	struct sockaddr_storage address;
	struct lk_link *link;
	void *item;
	hd_t self;
	int len = 0;

	if (parse_address(host, port, &address, &len) != ST_OK)
		return HD_NONE;
	self = hd_add(l->links, &item);
	link = item;
	link->owner = l;
	link->self = self;
	link->dialled = true;
	link->address = address;
	link->address_len = len;
	link->retry_us = LK_RETRY_FIRST_US;
	link->connect_us = LK_CONNECT_FIRST_US;
	link->retry = tm_subscribe(l->config.timers, on_retry, link);
	dial(link);
	return self;
}

/// Sends a message.
///
/// @return false when the link is down or its queue is full (it is cut
///         then); the message is lost
bool
lk_send(struct lk *l, hd_t h, const struct wr_msg *msg)
{
	struct lk_link *link = hd_get(l->links, h);
	struct evbuffer *out;
	uint8_t *bytes;
	size_t len;

	if (link == NULL || link->bev == NULL)
		return false;
	if (!link->up && msg->kind != WR_HELLO)
		return false;
	out = bufferevent_get_output(link->bev);
	if (evbuffer_get_length(out) > l->config.max_queue_bytes) {
		lg_event(
		    LG_WARN, "link.queue_full", "peer=%s", link->hello.node);
		lk_close(l, h);
		return false;
	}
	wr_encode(msg, &bytes, &len);
	(void)bufferevent_write(link->bev, bytes, len);
	l->bytes_sent += len;
	g_free(bytes);
	return true;
}

/// Whether the peer's hello came and the link stands.
bool
lk_is_up(const struct lk *l, hd_t h)
{
	const struct lk_link *link = hd_get(l->links, h);

	return link != NULL && link->up;
}

/// Cuts a link at once, with the `down` callback unless it never came up. A
/// dialled link comes back by itself.
void
lk_close(struct lk *l, hd_t h)
{
	struct lk_link *link = hd_get(l->links, h);

	if (link == NULL || link->bev == NULL)
		return;
	link_down(link);
}

/// Bytes handed to the links so far.
uint64_t
lk_bytes_sent(const struct lk *l)
{
	return l->bytes_sent;
}

/// Bytes taken from the links so far.
uint64_t
lk_bytes_received(const struct lk *l)
{
	return l->bytes_received;
}

/// Connections dialled so far.
uint64_t
lk_dials(const struct lk *l)
{
	return l->n_dials;
}
