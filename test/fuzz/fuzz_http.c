#include <arpa/inet.h>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/inv.h"
#include "platform/api_request.h"

/// Fuzzes the HTTP libraries with the project's code around them, over
/// loopback: an input is what a caller sends to the server, or what a backend
/// server sends to the client. The first byte selects which, and in how many
/// pieces it comes.

#define MAX_HELD_BYTES 65536
#define MAX_BODY_BYTES 32768
#define MAX_ROUNDS 2000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static struct event_base *base;
static struct httpd *server;
static struct httpc *client;
static int listener; ///< of the backend server that the input plays
static struct sockaddr_in server_address;
static struct sockaddr_in backend_address;
static bool call_ended;

static void
on_request(void *arg, handle_t handle, const struct httpd_request *req)
{
	struct api_request request;

	(void)arg;
	inv_check(req->len <= MAX_BODY_BYTES, "fuzz.body", "len=%zu", req->len);
	api_request_read(server, handle, &request);
	inv_check(request.prompt_tokens <= API_MAX_TOKENS * 17U, "fuzz.tokens",
	    "tokens=%u", request.prompt_tokens);
	api_headers_free(api_headers_from_request(server, handle, true));
	httpd_reply(server, handle, 200, NULL, "text/plain", "ok", 2);
}

static void
on_gone(void *arg, handle_t handle)
{
	(void)arg;
	(void)handle;
}

static void
on_end(void *arg, const struct httpc_result *result)
{
	const handle_t *call = arg;
	struct api_response response;

	inv_check(result->status != STATUS_OK ||
		(result->http_status >= 200 && result->http_status < 600),
	    "fuzz.status", "status=%d", result->http_status);
	inv_check(result->len <= MAX_BODY_BYTES, "fuzz.response", "len=%zu",
	    result->len);
	api_response_read(client, *call, &response);
	api_headers_free(api_headers_from_response(client, *call));
	call_ended = true;
}

static struct sockaddr_in
loopback(uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
}

static void
start(void)
{
	const struct httpd_limits limits = {
		.max_head_bytes = 16384,
		.max_body_bytes = MAX_BODY_BYTES,
		.head_timeout_us = 10000000,
		.body_idle_us = 10000000,
		.max_held_bytes = MAX_HELD_BYTES,
	};
	struct httpd_config config = {
		.max_body_bytes = MAX_BODY_BYTES,
		.idle_ms = 10000,
		.on_request = on_request,
		.on_disconnect = on_gone,
	};
	socklen_t len = sizeof(backend_address);
	uint16_t port = (uint16_t)(20000 + getpid() % 20000);

	(void)signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	config.base = base;
	server = httpd_new(&config);
	httpd_set_limits(server, &limits);
	while (httpd_listen(server, "127.0.0.1", port) != STATUS_OK)
		port++;
	server_address = loopback(port);
	client = httpc_new(base);
	httpc_set_max_held(client, MAX_HELD_BYTES);
	listener = socket(AF_INET, SOCK_STREAM, 0);
	backend_address = loopback(0);
	inv_check(
	    bind(listener, (struct sockaddr *)&backend_address, len) == 0 &&
		listen(listener, 8) == 0 &&
		getsockname(
		    listener, (struct sockaddr *)&backend_address, &len) == 0,
	    "fuzz.listen", "port=%u", port);
}

static void
run_loop(int rounds)
{
	for (int i = 0; i < rounds; i++)
		(void)event_base_loop(base, EVLOOP_NONBLOCK);
}

/// Writes the input in pieces and drops what comes back.
static void
play(int fd, const uint8_t *data, size_t size, size_t pieces)
{
	const size_t step = size / pieces + 1;
	char dropped[4096];

	(void)fcntl(fd, F_SETFL, O_NONBLOCK);
	for (size_t at = 0; at < size; at += step) {
		const size_t n = size - at < step ? size - at : step;

		(void)send(fd, data + at, n, MSG_NOSIGNAL);
		run_loop(2);
		inv_check(httpd_held_bytes(server) <= MAX_HELD_BYTES &&
			httpc_held_bytes(client) <= MAX_HELD_BYTES,
		    "fuzz.held", "requests=%zu responses=%zu",
		    httpd_held_bytes(server), httpc_held_bytes(client));
		while (recv(fd, dropped, sizeof(dropped), 0) > 0)
			;
	}
	run_loop(2);
}

/// Closes a connection so that its port is free again at once: thousands of
/// them a second would leave none for other programs.
static void
reset_connection(int fd)
{
	const struct linger now = { .l_onoff = 1 };

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

static void
fuzz_server(const uint8_t *data, size_t size, size_t pieces)
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	int rounds = 0;

	if (connect(fd, (struct sockaddr *)&server_address,
		sizeof(server_address)) == 0)
		play(fd, data, size, pieces);
	reset_connection(fd);
	while (httpd_connection_count(server) > 0 && rounds++ < MAX_ROUNDS)
		run_loop(1);
	inv_check(httpd_connection_count(server) == 0 &&
		httpd_held_bytes(server) == 0,
	    "fuzz.released", "held=%zu", httpd_held_bytes(server));
}

static void
fuzz_client(const uint8_t *data, size_t size, size_t pieces)
{
	static handle_t call;
	const struct httpc_request request = {
		.method = "GET",
		.host = "127.0.0.1",
		.port = ntohs(backend_address.sin_port),
		.path = "/",
		.max_body = MAX_BODY_BYTES,
		.new_connection = true,
		.on_end = on_end,
		.arg = &call,
	};
	int rounds = 0;
	int fd;

	call_ended = false;
	call = httpc_send(client, &request);
	run_loop(2);
	fd = accept(listener, NULL, NULL);
	play(fd, data, size, pieces);
	// The end of a body may be that of its connection.
	if (call_ended)
		reset_connection(fd);
	else
		close(fd);
	while (!call_ended && rounds++ < MAX_ROUNDS)
		run_loop(1);
	inv_check(call_ended && httpc_held_bytes(client) == 0, "fuzz.ended",
	    "held=%zu", httpc_held_bytes(client));
	run_loop(2);
}

/// Runs one input of the fuzzer; returns 0 always.
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t pieces;

	if (size == 0)
		return 0;
	if (base == NULL)
		start();
	pieces = 1 + data[0] / 2 % 8;
	if (data[0] % 2 == 0)
		fuzz_server(data + 1, size - 1, pieces);
	else
		fuzz_client(data + 1, size - 1, pieces);
	return 0;
}
