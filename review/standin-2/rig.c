/// Stand-ins of the review's scripts: backend server, platform and client.

#include "net.h"

#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define REQUEST_ID "X-Acaciahinge-Request-Id"
/// A stream: events, and the pause between them.
#define STREAM_EVENTS 70
#define STREAM_PAUSE_MS 100
#define ANSWER_MS 20000
#define SURPLUS_MS 500
#define MAX_REDIRECTS 3

/// What a server thread needs.
struct server {
	const char *id;   ///< of a backend server
	const char *list; ///< file with the platform's list
	bool is_platform;
};

struct work {
	const struct server *server;
	struct net_conn conn;
};

static const char *record_file;

static double
now_s(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_REALTIME, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void
pause_ms(int ms)
{
	const struct timespec t = { .tv_sec = ms / 1000,
		.tv_nsec = (long)(ms % 1000) * 1000000 };

	(void)nanosleep(&t, NULL);
}

/// Appends a line to the record: what was sent, answered or run.
static void
record(const char *who, const char *what, const char *text)
{
	char line[1024];
	FILE *f = fopen(record_file, "a");

	(void)snprintf(
	    line, sizeof(line), "%.3f %s %s %s\n", now_s(), who, what, text);
	if (f == NULL)
		net_fail("no record");
	(void)fputs(line, f);
	(void)fclose(f);
}

static bool
send_file(int fd, const char *path)
{
	char text[65536];
	FILE *f = fopen(path, "r");
	size_t n;

	if (f == NULL)
		net_fail("no list");
	n = fread(text, 1, sizeof(text), f);
	(void)fclose(f);
	return net_sendf(fd,
		   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		   "Content-Length: %zu\r\n\r\n",
		   n) &&
	    net_send(fd, text, n);
}

/// Answers a call to the platform: the list, or a duty.
static bool
answer_platform(const struct work *w, const struct net_message *m)
{
	if (strncmp(m->head, "GET /instances", 14) == 0)
		return send_file(w->conn.fd, w->server->list);
	return net_sendf(w->conn.fd,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: 2\r\n\r\n{}");
}

static bool
begin_stream(int fd, const char *id)
{
	return net_sendf(fd,
	    "HTTP/1.1 200 OK\r\n" REQUEST_ID ": %s\r\n"
	    "X-Acaciahinge-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n",
	    id);
}

/// Sends a stream that ends with its connection.
static void
send_stream(int fd, const char *id, const char *head)
{
	char after[32] = "0";

	(void)net_header(head, "Last-Event-Id", after, sizeof(after));
	if (!begin_stream(fd, id))
		return;
	for (long i = strtol(after, NULL, 10) + 1; i <= STREAM_EVENTS; i++) {
		if (!net_sendf(fd, "id: %ld\ndata: piece %ld of %d\n\n", i, i,
			STREAM_EVENTS))
			return;
		pause_ms(STREAM_PAUSE_MS);
	}
}

static bool
send_framed(int fd, const char *id, bool to_head)
{
	return net_sendf(fd,
	    "HTTP/1.1 200 OK\r\n" REQUEST_ID ": %s\r\n"
	    "X-Acaciahinge-Server-Stamp: s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: 5\r\n\r\n%s",
	    id, to_head ? "" : "whole");
}

/// Records a request that is run, with the headers that say for whom.
static void
record_run(const struct server *s, const struct net_message *m, const char *id)
{
	char customer[128] = "-";
	char key[128] = "-";
	char text[700];

	(void)net_header(
	    m->head, "X-Acaciahinge-Tenant", customer, sizeof(customer));
	(void)net_header(m->head, "Authorization", key, sizeof(key));
	(void)snprintf(text, sizeof(text),
	    "request=%s line=\"%.*s\" tenant=%s authorization=\"%s\"", id,
	    (int)strcspn(m->head, "\r\n"), m->head, customer, key);
	record(s->id, "runs", text);
}

/// Answers a request to a backend server.
///
/// @return false when the connection ends with the response
static bool
answer_server(const struct work *w, const struct net_message *m)
{
	const int fd = w->conn.fd;
	const bool to_head = strncmp(m->head, "HEAD ", 5) == 0;
	char id[128] = "";
	char expected[128] = "";

	if (strncmp(m->head, "GET /health", 11) == 0)
		return net_sendf(fd,
		    "HTTP/1.1 200 OK\r\nX-Acaciahinge-Instance-Id: %s\r\n"
		    "X-Acaciahinge-Server-Load: 0,0,64\r\n"
		    "Content-Length: 0\r\n\r\n",
		    w->server->id);
	(void)net_header(m->head, REQUEST_ID, id, sizeof(id));
	if (net_header(m->head, "X-Acaciahinge-Expect-Instance", expected,
		sizeof(expected)) &&
	    strcmp(expected, w->server->id) != 0)
		return net_sendf(fd,
		    "HTTP/1.1 421 Misdirected Request\r\n" REQUEST_ID
		    ": %s\r\nX-Acaciahinge-Not-Run: 1\r\n"
		    "Content-Length: 0\r\n\r\n",
		    id);
	record_run(w->server, m, id);
	if (strstr(m->head, " /stream/") != NULL) {
		send_stream(fd, id, m->head);
		return false;
	}
	return send_framed(fd, id, to_head);
}

static void *
serve_connection(void *arg)
{
	struct work *w = arg;
	struct net_message *m = calloc(1, sizeof(*m));
	bool goes_on = m != NULL;

	while (goes_on && net_read_request(&w->conn, m)) {
		goes_on = w->server->is_platform ? answer_platform(w, m)
						 : answer_server(w, m);
		net_message_clear(m);
	}
	net_close(&w->conn);
	free(m);
	free(w);
	return NULL;
}

static _Noreturn void
serve(const char *host, const struct server *s)
{
	const int listener = net_listen(host, 80);

	for (;;) {
		struct work *w = calloc(1, sizeof(*w));
		pthread_t thread;

		if (w == NULL)
			net_fail("no memory");
		w->server = s;
		w->conn.fd = accept(listener, NULL, NULL);
		if (w->conn.fd < 0) {
			free(w);
			continue;
		}
		if (pthread_create(&thread, NULL, serve_connection, w) != 0)
			net_fail("no thread");
		(void)pthread_detach(thread);
	}
}

/// Highest event id in a stream's data.
static long
last_event(const char *body)
{
	long last = 0;

	for (const char *at = body; at != NULL && *at != '\0';) {
		if (strncmp(at, "id: ", 4) == 0)
			last = strtol(at + 4, NULL, 10);
		at = strchr(at, '\n');
		at = at == NULL ? NULL : at + 1;
	}
	return last;
}

/// Sends requests one after the other on one connection, and prints a line for
/// each response: its status, whether it is whole by its framing, its bytes,
/// its last event, whether a backend server gave it, and how many bytes came
/// after it while no request waited.
///
/// @param args  METHOD PATH KEY...
static int
ask(const char *host, int port, char **args, int n)
{
	struct net_message *m = calloc(1, sizeof(*m));
	struct net_conn c;

	if (m == NULL || !net_dial(host, port, &c)) {
		(void)printf("no connection\n");
		free(m);
		return 1;
	}
	for (int i = 0; i + 2 < n; i += 3) {
		const bool to_head = strcmp(args[i], "HEAD") == 0;
		char text[512];
		char stamp[16] = "-";
		size_t surplus;

		(void)snprintf(text, sizeof(text), "r%d-%d-%.0f", (int)getpid(),
		    i / 3, now_s() * 1000);
		if (!net_sendf(c.fd,
			"%s %s HTTP/1.1\r\nHost: desk.example\r\n" REQUEST_ID
			": %s\r\nX-Acaciahinge-Deadline-Ms: 15000\r\n"
			"Authorization: Bearer %s\r\n\r\n",
			args[i], args[i + 1], text, args[i + 2]) ||
		    !net_read_response(&c, to_head, ANSWER_MS, m)) {
			record("client", "no answer to", text);
			(void)printf("status=0 whole=no\n");
			break;
		}
		(void)net_header(m->head, "X-Acaciahinge-Server-Stamp", stamp,
		    sizeof(stamp));
		surplus = net_read_surplus(&c, SURPLUS_MS);
		(void)snprintf(text + strlen(text), sizeof(text) - strlen(text),
		    " %s %s status=%d whole=%s bytes=%zu last=%ld stamp=%s "
		    "surplus=%zu",
		    args[i], args[i + 1], net_status(m->head),
		    m->is_whole ? "yes" : "no", m->len,
		    m->body != NULL ? last_event(m->body) : 0, stamp, surplus);
		record("client", "got", text);
		if (surplus > 0)
			record("client", "surplus", c.bytes);
		(void)printf("%s\n", strstr(text, "status="));
		net_message_clear(m);
	}
	net_close(&c);
	free(m);
	return 0;
}

/// Sends a manifest to an operators' address and follows redirections.
static int
put(const char *host, int port, const char *file)
{
	char text[65536];
	char at[64];
	struct net_message *m = calloc(1, sizeof(*m));
	FILE *f = fopen(file, "r");
	size_t n;
	int status = 307;

	if (f == NULL || m == NULL)
		net_fail("no manifest");
	n = fread(text, 1, sizeof(text), f);
	(void)fclose(f);
	(void)snprintf(at, sizeof(at), "%s", host);
	for (int i = 0; i < MAX_REDIRECTS && status == 307; i++) {
		char location[256] = "";
		struct net_conn c;

		status = 0;
		if (!net_dial(at, port, &c))
			break;
		if (net_sendf(c.fd,
			"PUT /api/config HTTP/1.1\r\nHost: %s\r\n"
			"Content-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n",
			at, n) &&
		    net_send(c.fd, text, n) &&
		    net_read_response(&c, false, 2000, m))
			status = net_status(m->head);
		if (status == 307 &&
		    net_header(m->head, "Location", location, sizeof(location)))
			(void)sscanf(location, "http://%63[^:/]", at);
		net_message_clear(m);
		net_close(&c);
	}
	free(m);
	(void)snprintf(text, sizeof(text), "%s status=%d", file, status);
	record("operator", "sent", text);
	(void)printf("%d\n", status);
	return 0;
}

int
main(int argc, char **argv)
{
	static struct server s;

	(void)signal(SIGPIPE, SIG_IGN);
	record_file = getenv("RECORD");
	if (record_file == NULL || argc < 4)
		net_fail("RECORD, and: platform HOST LIST | server HOST ID | "
			 "ask HOST PORT METHOD PATH KEY... | "
			 "put HOST PORT FILE");
	s = (struct server){ .id = argv[3], .list = argv[3] };
	if (strcmp(argv[1], "platform") == 0) {
		s.is_platform = true;
		serve(argv[2], &s);
	}
	if (strcmp(argv[1], "server") == 0)
		serve(argv[2], &s);
	if (strcmp(argv[1], "ask") == 0)
		return ask(argv[2], (int)strtol(argv[3], NULL, 10), argv + 4,
		    argc - 4);
	if (strcmp(argv[1], "put") == 0 && argc == 5)
		return put(argv[2], (int)strtol(argv[3], NULL, 10), argv[4]);
	net_fail("no such role");
	return 2;
}
