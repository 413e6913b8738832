#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/// Clients that don't behave: many connections that send a shape of bytes, read
/// nothing and stay open. "settled" is printed when no byte has moved for a
/// while; the program ends when it is ended.
///
/// usage: crowd HOST PORT METHOD PATH SHAPE CONNECTIONS BYTES

#define CROWD_SETTLED_MS 1500
#define CROWD_LONGEST_MS 20000
#define CROWD_POLL_MS 50
#define CROWD_PORTION 16384
#define CROWD_PIECE 16 ///< of the shape "pieces"
#define CROWD_CHUNK 512
/// Receive buffer of a connection: what isn't read stays with the sender.
#define CROWD_RCVBUF 2048

enum shape {
	SHAPE_SHORT,       ///< a body of BYTES without its last byte
	SHAPE_PIECES,      ///< the same in small pieces
	SHAPE_CHUNKS,      ///< the same in chunks, without the last one
	SHAPE_ENDLESS,     ///< chunks of one body without an end
	SHAPE_OVER,        ///< a length of 4,096 times BYTES, and as much
	SHAPE_FIELDS,      ///< a head of BYTES in short fields
	SHAPE_FIELDS_OPEN, ///< the same without its last line
	SHAPE_PIPELINE,    ///< BYTES of requests without bodies
	SHAPE_WHOLE,       ///< a complete body of BYTES
	SHAPE_HALF,        ///< half a head
	SHAPE_TRICKLE,     ///< a head, byte by byte
	SHAPE_SILENT,      ///< nothing
	SHAPE_COUNT,
};

static const char *const shape_names[SHAPE_COUNT] = { "short", "pieces",
	"chunks", "endless", "over", "fields", "fields-open", "pipeline",
	"whole", "half", "trickle", "silent" };

struct client {
	int fd; ///< -1: closed
	uint64_t sent;
};

struct crowd {
	const char *method;
	const char *path;
	enum shape shape;
	size_t bytes;
	char head[1024];
	char *unit; ///< sent again and again after the head
	size_t unit_len;
	uint64_t total;   ///< bytes that a client sends
	const char *tail; ///< the last bytes of them
	struct client *clients;
	size_t n;
};

static uint64_t
now_ms(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static void
set_unit(struct crowd *c, const char *text, size_t len)
{
	c->unit = malloc(len);
	assert(c->unit != NULL);
	if (text != NULL)
		(void)memcpy(c->unit, text, len);
	else
		(void)memset(c->unit, 'x', len);
	c->unit_len = len;
}

/// Writes a head whose last line is `framing`; the empty line that ends it is
/// part of `framing` if it has one.
static void
set_head(struct crowd *c, const char *framing)
{
	const int n = snprintf(c->head, sizeof(c->head),
	    "%s %s HTTP/1.1\r\nHost: desk.example\r\n"
	    "Authorization: Bearer k1\r\nX-Acaciahinge-Request-Id: crowd\r\n"
	    "X-Acaciahinge-Deadline-Ms: 2000\r\n%s",
	    c->method, c->path, framing);

	assert(n > 0 && (size_t)n < sizeof(c->head));
}

static void
set_length(struct crowd *c, uint64_t length, uint64_t sent)
{
	char framing[64];

	(void)snprintf(framing, sizeof(framing), "Content-Length: %llu\r\n\r\n",
	    (unsigned long long)length);
	set_head(c, framing);
	set_unit(c, NULL, CROWD_PORTION);
	c->total = strlen(c->head) + sent;
}

static void
set_chunks(struct crowd *c, uint64_t sent)
{
	char chunk[CROWD_CHUNK + 16];
	const int n = snprintf(chunk, sizeof(chunk), "%x\r\n%0*d\r\n",
	    CROWD_CHUNK, CROWD_CHUNK, 0);

	set_head(c, "Transfer-Encoding: chunked\r\n\r\n");
	set_unit(c, chunk, (size_t)n);
	c->total = strlen(c->head) + sent;
}

/// Sets what each client sends.
static void
set_shape(struct crowd *c)
{
	c->tail = "";
	switch (c->shape) {
	case SHAPE_SHORT:
	case SHAPE_PIECES:
		set_length(c, c->bytes, c->bytes - 1);
		break;
	case SHAPE_WHOLE:
		set_length(c, c->bytes, c->bytes);
		break;
	case SHAPE_OVER:
		set_length(
		    c, (uint64_t)c->bytes << 12, (uint64_t)c->bytes << 12);
		break;
	case SHAPE_CHUNKS:
		set_chunks(c, c->bytes);
		break;
	case SHAPE_ENDLESS:
		set_chunks(c, UINT64_MAX / 2);
		break;
	case SHAPE_FIELDS:
	case SHAPE_FIELDS_OPEN:
		set_head(c, "");
		set_unit(c, "a: b\r\n", 6);
		c->total = strlen(c->head) + c->bytes / 6 * 6;
		c->tail = c->shape == SHAPE_FIELDS ? "\r\n" : "";
		break;
	case SHAPE_PIPELINE:
		set_head(c, "\r\n");
		set_unit(c, c->head, strlen(c->head));
		c->total = c->bytes;
		break;
	case SHAPE_HALF:
	case SHAPE_TRICKLE:
		set_head(c, "A: b");
		set_unit(c, "b", 1);
		c->total = strlen(c->head) +
		    (c->shape == SHAPE_TRICKLE ? c->bytes : 0);
		break;
	case SHAPE_SILENT:
	case SHAPE_COUNT:
		set_unit(c, "b", 1);
		break;
	}
}

/// The bytes at a place of what a client sends.
///
/// @param len  set to how many there are in one piece
static const char *
bytes_at(const struct crowd *c, uint64_t at, size_t *len)
{
	const size_t head_len = strlen(c->head);
	size_t within;

	if (at < head_len) {
		*len = head_len - (size_t)at;
		return c->head + at;
	}
	if (at >= c->total) {
		*len = strlen(c->tail) - (size_t)(at - c->total);
		return c->tail + (at - c->total);
	}
	within = (size_t)((at - head_len) % c->unit_len);
	*len = c->unit_len - within;
	if (*len > c->total - at)
		*len = (size_t)(c->total - at);
	return c->unit + within;
}

static bool
has_more(const struct crowd *c, const struct client *cl)
{
	return cl->fd >= 0 && cl->sent < c->total + strlen(c->tail);
}

static void
close_client(struct client *cl)
{
	(void)close(cl->fd);
	cl->fd = -1;
}

/// Sends what the socket takes of a portion.
///
/// @return whether a byte was sent
static bool
send_some(const struct crowd *c, struct client *cl)
{
	char portion[CROWD_PORTION];
	size_t limit = sizeof(portion);
	size_t n = 0;
	ssize_t sent;

	if (c->shape == SHAPE_PIECES && cl->sent >= strlen(c->head))
		limit = CROWD_PIECE;
	if (c->shape == SHAPE_TRICKLE)
		limit = 1;
	while (n < limit && cl->sent + n < c->total + strlen(c->tail)) {
		size_t len;
		const char *part = bytes_at(c, cl->sent + n, &len);

		if (len > limit - n)
			len = limit - n;
		(void)memcpy(portion + n, part, len);
		n += len;
	}
	sent = send(cl->fd, portion, n, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent > 0)
		cl->sent += (uint64_t)sent;
	else if (sent < 0 && errno != EAGAIN && errno != EINTR)
		close_client(cl);
	return sent > 0;
}

static void
connect_client(struct client *cl, const struct sockaddr_in *to)
{
	const int size = CROWD_RCVBUF;
	const int one = 1;

	cl->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	assert(cl->fd >= 0);
	(void)setsockopt(cl->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	(void)setsockopt(cl->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(cl->fd, (const struct sockaddr *)to, sizeof(*to)) != 0 &&
	    errno != EINPROGRESS)
		close_client(cl);
}

/// One round over all clients.
///
/// @return whether a byte was sent
static bool
play_round(struct crowd *c, struct pollfd *fds, int wait_ms)
{
	bool moved = false;

	for (size_t i = 0; i < c->n; i++)
		fds[i] = (struct pollfd){
			.fd = c->clients[i].fd,
			.events = has_more(c, &c->clients[i]) ? POLLOUT : 0,
		};
	if (poll(fds, c->n, wait_ms) <= 0)
		return false;
	for (size_t i = 0; i < c->n; i++) {
		if ((fds[i].revents & (POLLHUP | POLLERR)) != 0)
			close_client(&c->clients[i]);
		else if ((fds[i].revents & POLLOUT) != 0)
			moved |= send_some(c, &c->clients[i]);
	}
	return moved;
}

static void
play(struct crowd *c)
{
	struct pollfd *fds = calloc(c->n, sizeof(*fds));
	const uint64_t began = now_ms();
	uint64_t last = began;
	bool settled = false;

	assert(fds != NULL);
	for (;;) {
		const bool moved = play_round(c, fds, CROWD_POLL_MS);
		const uint64_t now = now_ms();

		if (moved && c->shape != SHAPE_TRICKLE)
			last = now;
		if (c->shape == SHAPE_TRICKLE)
			(void)poll(NULL, 0, CROWD_POLL_MS);
		if (settled ||
		    (now - last < CROWD_SETTLED_MS &&
			now - began < CROWD_LONGEST_MS))
			continue;
		settled = true;
		(void)printf("settled\n");
		(void)fflush(stdout);
	}
}

static enum shape
find_shape(const char *name)
{
	int i = 0;

	while (i < SHAPE_COUNT && strcmp(shape_names[i], name) != 0)
		i++;
	return (enum shape)i;
}

int
main(int argc, char **argv)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct crowd c;

	if (argc != 8 || find_shape(argv[5]) == SHAPE_COUNT ||
	    inet_pton(AF_INET, argv[1], &to.sin_addr) != 1) {
		(void)fprintf(stderr,
		    "usage: crowd HOST PORT METHOD PATH SHAPE CONNECTIONS "
		    "BYTES\n");
		return 2;
	}
	to.sin_port = htons((uint16_t)strtoul(argv[2], NULL, 10));
	c = (struct crowd){
		.method = argv[3],
		.path = argv[4],
		.shape = find_shape(argv[5]),
		.n = strtoul(argv[6], NULL, 10),
		.bytes = strtoul(argv[7], NULL, 10),
	};
	set_shape(&c);
	c.clients = calloc(c.n, sizeof(*c.clients));
	assert(c.clients != NULL);
	for (size_t i = 0; i < c.n; i++)
		connect_client(&c.clients[i], &to);
	play(&c);
}
