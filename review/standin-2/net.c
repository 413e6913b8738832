#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define LINE_BYTES 4096

/// Ends the program: the case can't run.
void
net_fail(const char *what)
{
	(void)fprintf(stderr, "rig: %s\n", what);
	exit(2);
}

static struct sockaddr_in
address(const char *host, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((unsigned short)port) };

	if (inet_pton(AF_INET, host, &a.sin_addr) != 1)
		net_fail("an address can't be read");
	return a;
}

/// Listens at an address, or ends the program.
int
net_listen(const char *host, int port)
{
	const struct sockaddr_in a = address(host, port);
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	const int one = 1;

	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) != 0 ||
	    bind(fd, (const struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, 1024) != 0)
		net_fail("can't listen");
	return fd;
}

/// Opens a connection.
bool
net_dial(const char *host, int port, struct net_conn *out)
{
	const struct sockaddr_in a = address(host, port);
	const int one = 1;

	*out = (struct net_conn){ .fd = socket(AF_INET, SOCK_STREAM, 0) };
	if (out->fd < 0)
		net_fail("no socket");
	if (connect(out->fd, (const struct sockaddr *)&a, sizeof(a)) != 0) {
		net_close(out);
		return false;
	}
	(void)setsockopt(out->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return true;
}

void
net_close(struct net_conn *c)
{
	(void)close(c->fd);
	free(c->bytes);
	c->bytes = NULL;
	c->len = 0;
}

/// Sends all bytes.
bool
net_send(int fd, const char *bytes, size_t len)
{
	while (len > 0) {
		const ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

bool
net_sendf(int fd, const char *fmt, ...)
{
	char text[LINE_BYTES];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (n < 0 || (size_t)n >= sizeof(text))
		net_fail("a line is too long");
	return net_send(fd, text, (size_t)n);
}

/// Reads more bytes.
///
/// @param timeout_ms  -1: none
/// @return false at the end of the connection or after the timeout
static bool
read_more(struct net_conn *c, int timeout_ms)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	ssize_t n;

	if (poll(&p, 1, timeout_ms) <= 0)
		return false;
	c->bytes = realloc(c->bytes, c->len + READ_BYTES + 1);
	if (c->bytes == NULL)
		net_fail("no memory");
	n = recv(c->fd, c->bytes + c->len, READ_BYTES, 0);
	if (n <= 0)
		return false;
	c->len += (size_t)n;
	c->bytes[c->len] = '\0';
	return true;
}

/// Takes bytes from the front of what was read.
static void
take(struct net_conn *c, char *out, size_t n)
{
	if (out != NULL)
		memcpy(out, c->bytes, n);
	c->len -= n;
	memmove(c->bytes, c->bytes + n, c->len);
	c->bytes[c->len] = '\0';
}

static bool
read_head(struct net_conn *c, char *head, int timeout_ms)
{
	for (;;) {
		const char *end =
		    c->len > 0 ? strstr(c->bytes, "\r\n\r\n") : NULL;

		if (end != NULL) {
			const size_t n = (size_t)(end - c->bytes) + 4;

			if (n >= NET_MAX_HEAD)
				return false;
			take(c, head, n);
			head[n] = '\0';
			return true;
		}
		if (!read_more(c, timeout_ms))
			return false;
	}
}

static bool
read_exactly(struct net_conn *c, size_t n, int timeout_ms)
{
	while (c->len < n) {
		if (!read_more(c, timeout_ms))
			return false;
	}
	return true;
}

static void
append(struct net_message *m, struct net_conn *c, size_t n)
{
	m->body = realloc(m->body, m->len + n + 1);
	if (m->body == NULL)
		net_fail("no memory");
	take(c, m->body + m->len, n);
	m->len += n;
	m->body[m->len] = '\0';
}

/// Reads a body of known length, or as much of it as comes.
static bool
read_length(struct net_conn *c, size_t n, int timeout_ms, struct net_message *m)
{
	const bool whole = read_exactly(c, n, timeout_ms);

	if (c->len > 0)
		append(m, c, whole ? n : c->len);
	return whole;
}

/// Reads a body in chunks, or as much of it as comes.
static bool
read_chunks(struct net_conn *c, int timeout_ms, struct net_message *m)
{
	for (;;) {
		const char *end;
		size_t n;

		while (c->len == 0 || strstr(c->bytes, "\r\n") == NULL) {
			if (!read_more(c, timeout_ms))
				return false;
		}
		end = strstr(c->bytes, "\r\n");
		n = strtoul(c->bytes, NULL, 16);
		take(c, NULL, (size_t)(end - c->bytes) + 2);
		if (!read_exactly(c, n + 2, timeout_ms))
			return false;
		if (n > 0)
			append(m, c, n);
		take(c, NULL, 2);
		if (n == 0)
			return true;
	}
}

/// Reads a request whose body has a length.
bool
net_read_request(struct net_conn *c, struct net_message *m)
{
	char value[32] = "0";

	m->body = NULL;
	m->len = 0;
	if (!read_head(c, m->head, -1))
		return false;
	(void)net_header(m->head, "Content-Length", value, sizeof(value));
	m->is_whole = read_length(c, strtoul(value, NULL, 10), -1, m);
	return m->is_whole;
}

/// Reads a response.
///
/// @param to_head  to a HEAD request, so that it has no body
/// @return false if no head came
bool
net_read_response(
    struct net_conn *c, bool to_head, int timeout_ms, struct net_message *m)
{
	char value[64];

	m->body = NULL;
	m->len = 0;
	if (!read_head(c, m->head, timeout_ms))
		return false;
	m->is_whole = true;
	if (to_head)
		return true;
	if (net_header(m->head, "Transfer-Encoding", value, sizeof(value)))
		m->is_whole = read_chunks(c, timeout_ms, m);
	else if (net_header(m->head, "Content-Length", value, sizeof(value)))
		m->is_whole =
		    read_length(c, strtoul(value, NULL, 10), timeout_ms, m);
	return true;
}

/// Reads what comes while no request waits.
///
/// @return number of bytes; they stay in `c`
size_t
net_read_surplus(struct net_conn *c, int wait_ms)
{
	while (read_more(c, wait_ms))
		;
	return c->len;
}

void
net_message_clear(struct net_message *m)
{
	free(m->body);
	m->body = NULL;
	m->len = 0;
}

/// Finds a header field.
///
/// @param out  receives its value
bool
net_header(const char *head, const char *name, char *out, size_t size)
{
	const size_t len = strlen(name);
	const char *line = strstr(head, "\r\n");

	for (; line != NULL; line = strstr(line, "\r\n")) {
		size_t n;

		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		n = strcspn(line, "\r\n");
		(void)snprintf(out, size, "%.*s", (int)n, line);
		return true;
	}
	return false;
}

/// Status of a response's head.
int
net_status(const char *head)
{
	const char *space = strchr(head, ' ');

	return space == NULL ? 0 : (int)strtol(space, NULL, 10);
}
