/// Stand-ins for the scripts in review/: a backend server, the platform's list
/// of servers, a caller and an operator, on plain sockets, so that what they
/// send and receive is known to the byte.
///
/// usage: stub server IP:PORT ID FILE BEHAVIOUR [NUMBER]
///        stub call IP:PORT METHOD PATH[,PATH...] MILLISECONDS [HEADER...]
///        stub post IP:PORT PATH MILLISECONDS TRAILER [HEADER...]
///        stub storm IP:PORT,... PATH FILE FROM SECONDS
///        stub list IP:PORT FILE
///        stub put IP:PORT PATH FILE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES (4U << 20)
#define VALUE_BYTES 1024
#define ADDRESS_BYTES 128
#define REPLY_BYTES (1U << 20)
#define BACKLOG 1024
#define STACK_BYTES (512U << 10)
#define MAX_HEADERS 16
#define FILLER_BYTES 65536
#define EVENTS 5
#define EVENT_GAP_MS 20
#define SPOILED_ONE_IN 50

/// How a backend server answers.
enum behaviour {
	BEHAVIOUR_SOUND,    ///< events in chunks, other answers with a length
	BEHAVIOUR_UNFRAMED, ///< events without length or chunks
	BEHAVIOUR_ENDLESS,  ///< a chunk's size without end
	BEHAVIOUR_SLOW,     ///< a whole answer after a time
	BEHAVIOUR_SPOILED,  ///< some answers have a status that is none
	BEHAVIOUR_BUSY,     ///< refuses all requests, and asks for a pause
	BEHAVIOUR_LIST,     ///< the platform: the list in a file
};

static const char *const behaviour_names[] = { "sound", "unframed", "endless",
	"slow", "spoiled", "busy", "list" };

struct server {
	char id[64];
	enum behaviour behaviour;
	long number;      ///< milliseconds of BEHAVIOUR_SLOW, or seconds of
			  ///< BEHAVIOUR_BUSY
	const char *list; ///< file of BEHAVIOUR_LIST
	long n_answers;
	FILE *record;
	pthread_mutex_t lock;
};

static struct server server;

static int64_t
now_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
sleep_ms(long ms)
{
	const struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

	(void)nanosleep(&ts, NULL);
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
	char host[64];
	const char *colon = strrchr(text, ':');
	const size_t len = colon == NULL ? 0 : (size_t)(colon - text);

	if (colon == NULL || len >= sizeof(host))
		return false;
	memcpy(host, text, len);
	host[len] = '\0';
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

/// Sends all bytes.
///
/// @return false when the connection is closed
static bool
send_all(int fd, const char *bytes, size_t len)
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

static bool
send_text(int fd, const char *text)
{
	return send_all(fd, text, strlen(text));
}

/// Copies the value of a header, "" when there is none.
static void
header_value(const char *head, const char *name, char *out, size_t size)
{
	const size_t len = strlen(name);
	const char *line = strstr(head, "\r\n");

	out[0] = '\0';
	while (line != NULL && line[2] != '\0') {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			const char *at = line + len + 1;
			size_t n;

			at += strspn(at, " ");
			n = strcspn(at, "\r");
			n = n < size - 1 ? n : size - 1;
			memcpy(out, at, n);
			out[n] = '\0';
			return;
		}
		line = strstr(line, "\r\n");
	}
}

/// Writes a line to the server's record.
static void
record(const char *what, const char *id, const char *detail)
{
	(void)pthread_mutex_lock(&server.lock);
	(void)fprintf(server.record, "%lld %s %s request=%s %s\n",
	    (long long)now_ms(), server.id, what, id, detail);
	(void)fflush(server.record);
	(void)pthread_mutex_unlock(&server.lock);
}

/// Ends the process as a crash does: the kernel closes its connections.
static void
crash(void)
{
	(void)raise(SIGKILL);
}

/// Whether the prompt has the part 'beef', on which the server crashes.
static bool
crashes_on(const char *prompt)
{
	const char *at = strstr(prompt, "beef:");

	return at != NULL && (at == prompt || at[-1] == ',');
}

/// The status of the next answer: 200, or what is none for one answer in
/// SPOILED_ONE_IN of BEHAVIOUR_SPOILED.
static const char *
next_status(void)
{
	bool spoiled;

	(void)pthread_mutex_lock(&server.lock);
	spoiled = server.behaviour == BEHAVIOUR_SPOILED &&
	    ++server.n_answers % SPOILED_ONE_IN == 0;
	(void)pthread_mutex_unlock(&server.lock);
	return spoiled ? "2000 OK" : "200 OK";
}

static void
send_head(int fd, const char *id, const char *framing, const char *type)
{
	const char *status = next_status();
	char head[2048];

	(void)snprintf(head, sizeof(head),
	    "HTTP/1.1 %s\r\nX-Acaciahinge-Request-Id: %s\r\n"
	    "X-Acaciahinge-Server-Stamp: stamp-%s\r\n"
	    "X-Acaciahinge-Instance-Id: %s\r\nContent-Type: %s\r\n%s\r\n",
	    status, id, server.id, server.id, type, framing);
	if (strncmp(status, "200 ", 4) != 0)
		record("spoils", id, status);
	(void)send_text(fd, head);
}

/// Sends the events of a stream.
///
/// @return false when the connection is closed
static bool
send_events(int fd, bool chunked)
{
	char event[64];
	char chunk[96];

	for (int i = 1; i <= EVENTS; i++) {
		(void)snprintf(
		    event, sizeof(event), "id: %d\ndata: token%d\n\n", i, i);
		(void)snprintf(chunk, sizeof(chunk), "%zx\r\n%s\r\n",
		    strlen(event), event);
		if (!send_text(fd, chunked ? chunk : event))
			return false;
		sleep_ms(EVENT_GAP_MS);
	}
	return !chunked || send_text(fd, "0\r\n\r\n");
}

/// Answers with chunks, the first of which has a size without end, until the
/// caller closes the connection.
static void
send_endless(int fd, const char *id)
{
	char *filler = malloc(FILLER_BYTES);
	unsigned long long sent = 0;
	char detail[64];

	if (filler == NULL)
		return;
	memset(filler, '0', FILLER_BYTES);
	send_head(
	    fd, id, "Transfer-Encoding: chunked\r\n", "text/event-stream");
	while (send_all(fd, filler, FILLER_BYTES))
		sent += FILLER_BYTES;
	(void)snprintf(detail, sizeof(detail), "bytes=%llu", sent);
	record("closed", id, detail);
	free(filler);
}

static void
send_plain(int fd, const char *id)
{
	static const char body[] = "the whole answer\n";
	char framing[64];

	(void)snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
	    sizeof(body) - 1);
	send_head(fd, id, framing, "text/plain");
	(void)send_text(fd, body);
}

/// Whether the peer closes the connection within a time.
static bool
closes_within(int fd, long ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char byte;

	return poll(&p, 1, (int)ms) > 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/// Runs a request.
///
/// @return whether the connection is kept
static bool
answer(int fd, const char *id, const char *path, const char *prompt)
{
	const bool stream = strstr(path, "/stream/") != NULL;

	if (server.behaviour == BEHAVIOUR_ENDLESS) {
		send_endless(fd, id);
		return false;
	}
	if (stream && server.behaviour == BEHAVIOUR_UNFRAMED) {
		send_head(fd, id, "", "text/event-stream");
		if (crashes_on(prompt)) {
			record("crashes", id, "");
			crash();
		}
		if (send_events(fd, false))
			record("answered", id, "");
		return false;
	}
	if (stream) {
		send_head(fd, id, "Transfer-Encoding: chunked\r\n",
		    "text/event-stream");
		if (crashes_on(prompt)) {
			record("crashes", id, "");
			crash();
		}
		if (send_events(fd, true))
			record("answered", id, "");
		return true;
	}
	if (server.behaviour == BEHAVIOUR_SLOW &&
	    closes_within(fd, server.number)) {
		record("caller_left", id, "");
		return false;
	}
	send_plain(fd, id);
	record("answered", id, "");
	return true;
}

/// Answers a call to the platform: the list for a GET, else an empty answer.
static bool
answer_as_platform(int fd, const char *head)
{
	char *body = calloc(1, HEAD_BYTES);
	char reply[VALUE_BYTES];
	FILE *f;
	size_t len = 0;
	bool kept;

	if (body == NULL)
		return false;
	f = strncmp(head, "GET ", 4) == 0 ? fopen(server.list, "r") : NULL;
	if (f != NULL) {
		len = fread(body, 1, HEAD_BYTES, f);
		(void)fclose(f);
	}
	(void)snprintf(reply, sizeof(reply),
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    len);
	kept = send_text(fd, reply) && send_all(fd, body, len);
	free(body);
	return kept;
}

/// Handles one request of a connection whose head has been read.
///
/// @return whether the connection is kept
static bool
handle(int fd, const char *head)
{
	char id[VALUE_BYTES];
	char expected[VALUE_BYTES];
	char prompt[VALUE_BYTES];
	char path[VALUE_BYTES] = "";
	char reply[2 * VALUE_BYTES];

	if (server.behaviour == BEHAVIOUR_LIST)
		return answer_as_platform(fd, head);
	(void)sscanf(head, "%*15s %1023s", path);
	header_value(head, "X-Acaciahinge-Request-Id", id, sizeof(id));
	header_value(
	    head, "X-Acaciahinge-Expect-Instance", expected, sizeof(expected));
	header_value(
	    head, "X-Acaciahinge-Prompt-Prefix", prompt, sizeof(prompt));
	if (expected[0] != '\0' && strcmp(expected, server.id) != 0) {
		(void)snprintf(reply, sizeof(reply),
		    "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
		    "X-Acaciahinge-Request-Id: %s\r\n\r\n",
		    id);
		return send_text(fd, reply);
	}
	if (strcmp(path, "/health") == 0) {
		(void)snprintf(reply, sizeof(reply),
		    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
		    "X-Acaciahinge-Instance-Id: %s\r\n\r\n",
		    server.id);
		return send_text(fd, reply);
	}
	if (server.behaviour == BEHAVIOUR_BUSY) {
		(void)snprintf(reply, sizeof(reply),
		    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
		    "Retry-After: %ld\r\nX-Acaciahinge-Not-Run: 1\r\n"
		    "X-Acaciahinge-Server-Stamp: stamp-%s\r\n"
		    "X-Acaciahinge-Request-Id: %s\r\n\r\n",
		    server.number, server.id, id);
		record("refuses", id, path);
		return send_text(fd, reply);
	}
	record("runs", id, prompt[0] != '\0' ? prompt : path);
	return answer(fd, id, path, prompt);
}

/// Whether a request has arrived with its whole body, which has a length.
static bool
has_arrived(const char *bytes, size_t len)
{
	const char *body = strstr(bytes, "\r\n\r\n");
	char value[VALUE_BYTES];

	if (body == NULL)
		return false;
	header_value(bytes, "Content-Length", value, sizeof(value));
	return len >= (size_t)(body + 4 - bytes) + strtoul(value, NULL, 10);
}

/// Serves the requests of a connection, one after the other.
static void *
serve(void *arg)
{
	const int fd = (int)(intptr_t)arg;
	char *bytes = calloc(1, HEAD_BYTES);
	size_t len = 0;
	bool kept = bytes != NULL;

	while (kept && len < HEAD_BYTES - 1) {
		const ssize_t n =
		    recv(fd, bytes + len, HEAD_BYTES - 1 - len, 0);

		if (n <= 0)
			break;
		len += (size_t)n;
		bytes[len] = '\0';
		if (!has_arrived(bytes, len))
			continue;
		kept = handle(fd, bytes);
		len = 0;
	}
	(void)close(fd);
	free(bytes);
	return NULL;
}

/// Accepts connections until the process is ended.
///
/// @return exit code if it can't listen
static int
listen_at(const char *text)
{
	const int one = 1;
	struct sockaddr_in address;
	pthread_attr_t attr;
	int fd;

	if (!parse_address(text, &address))
		return 64;
	(void)pthread_mutex_init(&server.lock, NULL);
	(void)pthread_attr_init(&attr);
	(void)pthread_attr_setstacksize(&attr, STACK_BYTES);
	(void)pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, BACKLOG) != 0) {
		(void)fprintf(stderr, "stub: can't listen on %s: %s\n", text,
		    strerror(errno));
		return 1;
	}
	for (;;) {
		pthread_t thread;
		const int conn = accept(fd, NULL, NULL);

		if (conn < 0)
			continue;
		(void)setsockopt(
		    conn, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (pthread_create(
			&thread, &attr, serve, (void *)(intptr_t)conn) != 0)
			(void)close(conn);
	}
}

static int
run_server(int argc, char **argv)
{
	if (argc < 6)
		return 64;
	(void)snprintf(server.id, sizeof(server.id), "%s", argv[3]);
	server.record = fopen(argv[4], "a");
	if (server.record == NULL)
		return 1;
	for (size_t i = 0;
	     i < sizeof(behaviour_names) / sizeof(behaviour_names[0]); i++) {
		if (strcmp(behaviour_names[i], argv[5]) == 0)
			server.behaviour = (enum behaviour)i;
	}
	server.number = argc > 6 ? strtol(argv[6], NULL, 10) : 0;
	return listen_at(argv[2]);
}

static int
run_list(int argc, char **argv)
{
	if (argc < 4)
		return 64;
	server.behaviour = BEHAVIOUR_LIST;
	server.list = argv[3];
	return listen_at(argv[2]);
}

/// What a caller received.
struct reply {
	char *bytes;
	size_t len;
	bool closed; ///< the connection ended, by a close or a reset
};

static char reply_bytes[REPLY_BYTES];

/// Whether a reply has ended by its own framing, and the length of its body.
static bool
is_complete(const struct reply *r, size_t *body_len)
{
	const char *body = strstr(r->bytes, "\r\n\r\n");
	char value[VALUE_BYTES];
	size_t at;

	*body_len = 0;
	if (body == NULL)
		return false;
	body += 4;
	header_value(r->bytes, "Content-Length", value, sizeof(value));
	if (value[0] != '\0') {
		*body_len = r->len - (size_t)(body - r->bytes);
		return *body_len >= strtoul(value, NULL, 10);
	}
	header_value(r->bytes, "Transfer-Encoding", value, sizeof(value));
	if (strcasecmp(value, "chunked") != 0)
		return r->closed;
	at = (size_t)(body - r->bytes);
	while (at < r->len) {
		char *end;
		const size_t n = strtoul(r->bytes + at, &end, 16);

		if (end == r->bytes + at || strncmp(end, "\r\n", 2) != 0)
			return false;
		if (n == 0)
			return strncmp(end, "\r\n\r\n", 4) == 0;
		*body_len += n;
		at = (size_t)(end - r->bytes) + 2 + n + 2;
	}
	return false;
}

/// Receives until the reply is complete, the connection ends or the time is
/// over.
static void
receive(int fd, int64_t until_ms, struct reply *r)
{
	size_t body_len;

	while (!r->closed && r->len < REPLY_BYTES - 1 &&
	    !is_complete(r, &body_len)) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		const int64_t left_ms = until_ms - now_ms();
		ssize_t n;

		if (left_ms <= 0 || poll(&p, 1, (int)left_ms) <= 0)
			return;
		n = recv(fd, r->bytes + r->len, REPLY_BYTES - 1 - r->len, 0);
		if (n <= 0)
			r->closed = true;
		else
			r->len += (size_t)n;
		r->bytes[r->len] = '\0';
	}
}

static int
connect_to(const char *address)
{
	const int one = 1;
	struct sockaddr_in to;
	int fd;

	if (!parse_address(address, &to))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
		(void)close(fd);
		return -1;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/// Prints the status, how the reply ended, the length of its body and the time
/// that it took, on one line.
static void
print_reply(const struct reply *r, int64_t start_ms)
{
	size_t body_len;
	const bool complete = is_complete(r, &body_len);

	(void)printf("status=%.*s end=%s body=%zu ms=%lld\n",
	    r->len > 9 ? (int)strcspn(r->bytes + 9, " \r\n") : 1,
	    r->len > 9 ? r->bytes + 9 : "0",
	    complete        ? "complete"
		: r->closed ? "closed"
			    : "none",
	    body_len, (long long)(now_ms() - start_ms));
}

/// Writes the head of a request; that of a later request on a connection gets
/// an id of its own.
static size_t
write_head(char *out, size_t size, const char *method, const char *path,
    long ms, char **headers, int n, int number)
{
	static const char id[] = "X-Acaciahinge-Request-Id:";
	size_t at = (size_t)snprintf(out, size,
	    "%s %s HTTP/1.1\r\nX-Acaciahinge-Deadline-Ms: %ld\r\n", method,
	    path, ms);

	for (int i = 0; i < n && i < MAX_HEADERS; i++) {
		at += (size_t)snprintf(out + at, size - at, "%s", headers[i]);
		if (number > 0 && strncmp(headers[i], id, sizeof(id) - 1) == 0)
			at += (size_t)snprintf(
			    out + at, size - at, "-%d", number);
		at += (size_t)snprintf(out + at, size - at, "\r\n");
	}
	return at;
}

/// Sends requests with GET or the like on one connection, one after the other,
/// and prints how the last one ended.
static int
run_call(int argc, char **argv)
{
	char request[8192];
	struct reply r = { .bytes = reply_bytes };
	int64_t start_ms = now_ms();
	const char *path;
	char *next = NULL;
	int number = 0;
	long ms;
	int fd;

	if (argc < 6)
		return 64;
	ms = strtol(argv[5], NULL, 10);
	fd = connect_to(argv[2]);
	if (fd < 0) {
		(void)printf("status=0 end=no_connection body=0 ms=0\n");
		return 0;
	}
	for (path = strtok_r(argv[4], ",", &next); path != NULL;
	     path = strtok_r(NULL, ",", &next), number++) {
		const size_t len = write_head(request, sizeof(request), argv[3],
		    path, ms, argv + 6, argc - 6, number);

		(void)snprintf(request + len, sizeof(request) - len, "\r\n");
		start_ms = now_ms();
		r = (struct reply){ .bytes = reply_bytes };
		r.bytes[0] = '\0';
		(void)send_text(fd, request);
		receive(fd, start_ms + ms + 1000, &r);
	}
	print_reply(&r, start_ms);
	(void)close(fd);
	return 0;
}

/// Sends a request with a body in chunks. TRAILER is a field that follows the
/// last chunk, "" for none.
static int
run_post(int argc, char **argv)
{
	char request[8192];
	struct reply r = { .bytes = reply_bytes };
	const int64_t start_ms = now_ms();
	size_t at;
	long ms;
	int fd;

	if (argc < 6)
		return 64;
	ms = strtol(argv[4], NULL, 10);
	at = write_head(request, sizeof(request), "POST", argv[3], ms, argv + 6,
	    argc - 6, 0);
	(void)snprintf(request + at, sizeof(request) - at,
	    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n%s%s\r\n",
	    argv[5], argv[5][0] != '\0' ? "\r\n" : "");
	fd = connect_to(argv[2]);
	if (fd < 0) {
		(void)printf("status=0 end=no_connection body=0 ms=0\n");
		return 0;
	}
	(void)send_text(fd, request);
	receive(fd, start_ms + ms + 1000, &r);
	print_reply(&r, start_ms);
	(void)close(fd);
	return 0;
}

/// Sends a body with PUT and follows two redirects.
///
/// @param address  where to send it; receives the address that answered
/// @return the status, 0 without an answer
static long
put(char address[ADDRESS_BYTES], const char *to, const char *body, size_t len)
{
	char path[256];
	char head[1024];
	struct reply r = { .bytes = reply_bytes };
	long status = 0;

	(void)snprintf(path, sizeof(path), "%s", to);
	for (int hop = 0; hop < 3; hop++) {
		const int fd = connect_to(address);
		char location[VALUE_BYTES];

		if (fd < 0)
			return 0;
		r = (struct reply){ .bytes = reply_bytes };
		r.bytes[0] = '\0';
		(void)snprintf(head, sizeof(head),
		    "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
		    "application/json\r\nContent-Length: %zu\r\n\r\n",
		    path, address, len);
		(void)send_text(fd, head);
		(void)send_all(fd, body, len);
		receive(fd, now_ms() + 2000, &r);
		(void)close(fd);
		status = r.len > 9 ? strtol(r.bytes + 9, NULL, 10) : 0;
		if (status != 307)
			break;
		header_value(r.bytes, "Location", location, sizeof(location));
		if (sscanf(location, "http://%127[^/]%255s", address, path) !=
		    2)
			break;
	}
	return status;
}

/// Reads a file of at most HEAD_BYTES.
static size_t
read_file(const char *name, char *out)
{
	FILE *f = fopen(name, "r");
	const size_t len = f == NULL ? 0 : fread(out, 1, HEAD_BYTES, f);

	if (f != NULL)
		(void)fclose(f);
	return len;
}

static char put_bytes[HEAD_BYTES];

/// Sends a file with PUT and prints the status.
static int
run_put(int argc, char **argv)
{
	char address[ADDRESS_BYTES];
	size_t len;

	if (argc < 5)
		return 64;
	(void)snprintf(address, sizeof(address), "%s", argv[2]);
	len = read_file(argv[4], put_bytes);
	(void)printf("%ld\n", put(address, argv[3], put_bytes, len));
	return 0;
}

/// Sends a manifest again and again for a time, with a higher version each time
/// that one was acknowledged, at the start of the file: {"version":0000000. The
/// addresses are tried in turn. Prints a line for each hundred changes.
static int
run_storm(int argc, char **argv)
{
	char address[ADDRESS_BYTES] = "";
	char number[16];
	char *at = argv[2];
	int64_t until_ms;
	size_t len;
	long version;
	long n = 0;

	if (argc < 7)
		return 64;
	len = read_file(argv[4], put_bytes);
	version = strtol(argv[5], NULL, 10);
	until_ms = now_ms() + strtol(argv[6], NULL, 10) * 1000;
	while (now_ms() < until_ms) {
		if (address[0] == '\0') {
			const size_t size = strcspn(at, ",");

			(void)snprintf(
			    address, sizeof(address), "%.*s", (int)size, at);
			at = at[size] == ',' ? at + size + 1 : argv[2];
		}
		(void)snprintf(number, sizeof(number), "%07ld", version);
		memcpy(put_bytes + strlen("{\"version\":"), number, 7);
		if (put(address, argv[3], put_bytes, len) != 200) {
			address[0] = '\0';
			sleep_ms(200);
			continue;
		}
		version++;
		if (++n % 100 == 0)
			(void)printf("%lld changes acknowledged: %ld\n",
			    (long long)now_ms(), n);
		(void)fflush(stdout);
	}
	(void)printf(
	    "%lld changes acknowledged: %ld\n", (long long)now_ms(), n);
	return 0;
}

int
main(int argc, char **argv)
{
	(void)signal(SIGPIPE, SIG_IGN);
	if (argc > 1 && strcmp(argv[1], "server") == 0)
		return run_server(argc, argv);
	if (argc > 1 && strcmp(argv[1], "list") == 0)
		return run_list(argc, argv);
	if (argc > 1 && strcmp(argv[1], "call") == 0)
		return run_call(argc, argv);
	if (argc > 1 && strcmp(argv[1], "post") == 0)
		return run_post(argc, argv);
	if (argc > 1 && strcmp(argv[1], "put") == 0)
		return run_put(argc, argv);
	if (argc > 1 && strcmp(argv[1], "storm") == 0)
		return run_storm(argc, argv);
	(void)fprintf(
	    stderr, "usage: stub server|list|call|post|put|storm ...\n");
	return 64;
}
