#include "common/relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/// Delay of the bytes on a slow link.
#define RELAY_DELAY_US 150000

struct relay {
	pid_t pid;
	int commands; ///< Pipe, written by the test and read by the child.
};

struct command {
	size_t link;
	enum relay_mode mode;
};

struct link;

/// One relayed connection.
struct pair {
	struct link *link;
	struct bufferevent *from;
	struct bufferevent *to;
	struct event *late; ///< forwards the delayed bytes of a slow link
	bool silent;        ///< forwards nothing for the rest of its life
	bool closing;       ///< is freed once all bytes are forwarded
};

struct link {
	struct event_base *base;
	struct relay_link ports;
	enum relay_mode mode;
	GPtrArray *pairs;
};

static struct sockaddr_in
address(const char *host, uint16_t port)
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
	};

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (host != NULL)
		(void)inet_pton(AF_INET, host, &a.sin_addr);
	return a;
}

static void
set_reading(struct bufferevent *b, int on)
{
	if (on)
		(void)bufferevent_enable(b, EV_READ);
	else
		(void)bufferevent_disable(b, EV_READ);
}

/// Reads only from the sides whose bytes the link's mode lets through; the
/// kernel buffers those of the others.
static void
apply_mode(const struct pair *p)
{
	const enum relay_mode m = p->link->mode;
	const bool both =
	    m == RELAY_OPEN || m == RELAY_SLOW || m == RELAY_FORGET;

	set_reading(p->from, !p->silent && (both || m == RELAY_TO_ONLY));
	set_reading(p->to, !p->silent && (both || m == RELAY_BACK_ONLY));
}

static void
forward(const struct pair *p)
{
	(void)bufferevent_write_buffer(p->to, bufferevent_get_input(p->from));
	(void)bufferevent_write_buffer(p->from, bufferevent_get_input(p->to));
}

static void
on_late(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	forward(arg);
}

static void
pair_free(struct pair *p, bool reset)
{
	const struct linger now = { .l_onoff = 1 };

	if (reset)
		(void)setsockopt(bufferevent_getfd(p->from), SOL_SOCKET,
		    SO_LINGER, &now, sizeof(now));
	(void)g_ptr_array_remove_fast(p->link->pairs, p);
	event_free(p->late);
	bufferevent_free(p->from);
	bufferevent_free(p->to);
	g_free(p);
}

static void
on_read(struct bufferevent *b, void *arg)
{
	static const struct timeval delay = { .tv_usec = RELAY_DELAY_US };
	struct pair *p = arg;

	(void)b;
	if (p->link->mode != RELAY_SLOW)
		forward(p);
	else if (!event_pending(p->late, EV_TIMEOUT, NULL))
		(void)event_add(p->late, &delay);
}

static size_t
unsent(struct bufferevent *b)
{
	return evbuffer_get_length(bufferevent_get_output(b));
}

static void
on_written(struct bufferevent *b, void *arg)
{
	struct pair *p = arg;

	(void)b;
	if (p->closing && unsent(p->from) == 0 && unsent(p->to) == 0)
		pair_free(p, false);
}

static void
on_event(struct bufferevent *b, short what, void *arg)
{
	struct pair *p = arg;

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || p->silent)
		return;
	if (what & BEV_EVENT_ERROR) {
		pair_free(p, true);
		return;
	}
	forward(p);
	p->closing = true;
	on_written(b, p);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *peer, int len, void *arg)
{
	struct link *l = arg;
	const struct sockaddr_in to =
	    address(l->ports.to_host, l->ports.to_port);
	struct pair *p = g_new0(struct pair, 1);

	(void)listener;
	(void)peer;
	(void)len;
	p->link = l;
	p->from = bufferevent_socket_new(l->base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->to = bufferevent_socket_new(l->base, -1, BEV_OPT_CLOSE_ON_FREE);
	p->late = evtimer_new(l->base, on_late, p);
	bufferevent_setcb(p->from, on_read, on_written, on_event, p);
	bufferevent_setcb(p->to, on_read, on_written, on_event, p);
	g_ptr_array_add(l->pairs, p);
	if (l->mode == RELAY_RESET) {
		pair_free(p, true);
		return;
	}
	apply_mode(p);
	(void)bufferevent_socket_connect(
	    p->to, (const struct sockaddr *)&to, sizeof(to));
}

static void
on_command(evutil_socket_t fd, short what, void *arg)
{
	struct link *links = arg;
	struct command c;
	struct link *l;

	(void)what;
	if (read(fd, &c, sizeof(c)) != (ssize_t)sizeof(c))
		_exit(0);
	l = &links[c.link];
	l->mode = c.mode;
	for (guint i = l->pairs->len; i > 0; i--) {
		struct pair *p = g_ptr_array_index(l->pairs, i - 1);

		p->silent = p->silent || c.mode == RELAY_FORGET;
		if (c.mode == RELAY_RESET)
			pair_free(p, true);
		else
			apply_mode(p);
	}
}

/// Runs the relay in the child; doesn't return.
static void
run_relay(const struct relay_link *ports, size_t n, int commands)
{
	struct event_base *base = event_base_new();
	struct link *links = g_new0(struct link, n + 1);
	struct event *command =
	    event_new(base, commands, EV_READ | EV_PERSIST, on_command, links);

	for (size_t i = 0; i < n; i++) {
		const struct sockaddr_in at =
		    address(ports[i].listen_host, ports[i].listen_port);

		links[i] = (struct link){ .base = base, .ports = ports[i] };
		links[i].pairs = g_ptr_array_new();
		(void)evconnlistener_new_bind(base, on_accept, &links[i],
		    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
		    (const struct sockaddr *)&at, sizeof(at));
	}
	(void)event_add(command, NULL);
	(void)event_base_dispatch(base);
	_exit(0);
}

/// Starts a relay, with all links open. It ends with relay_free or with the
/// test.
///
/// @return freed by relay_free; NULL when no pipe can be made
struct relay *
relay_new(const struct relay_link *links, size_t n)
{
	struct relay *r = g_new0(struct relay, 1);
	int ends[2];

	if (pipe(ends) != 0) {
		g_free(r);
		return NULL;
	}
	r->pid = fork();
	if (r->pid == 0) {
		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		(void)close(ends[1]);
		(void)signal(SIGPIPE, SIG_IGN);
		run_relay(links, n, ends[0]);
	}
	(void)close(ends[0]);
	r->commands = ends[1];
	return r;
}

/// Sets the mode of a link, also for its open connections.
///
/// @param link  index into the links given to relay_new
void
relay_set(struct relay *r, size_t link, enum relay_mode mode)
{
	struct command c;

	memset(&c, 0, sizeof(c));
	c.link = link;
	c.mode = mode;
	if (write(r->commands, &c, sizeof(c)) != (ssize_t)sizeof(c))
		(void)kill(r->pid, SIGKILL);
}

/// Ends the relay and all its connections; NULL is allowed.
void
relay_free(struct relay *r)
{
	if (r == NULL)
		return;
	(void)close(r->commands);
	(void)kill(r->pid, SIGKILL);
	(void)waitpid(r->pid, NULL, 0);
	g_free(r);
}
