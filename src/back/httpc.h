#ifndef BACK_HTTPC_H
#define BACK_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"
#include "base/status.h"
#include "base/verdict.h"

/// HTTP client on one event loop, with a pool of kept-alive connections per
/// address. A call is known by a handle until on_end is called or the call is
/// cancelled; functions ignore a handle that has ended.
///
/// Who owns what. The client owns calls and connections; a connection belongs
/// to one call, to the pool, or to those that wait to be closed. It has left
/// its call when on_end begins: within on_end the handle gives the response's
/// headers, and httpc_discard() may close the connection, but the call can't
/// be cancelled any more. `arg` belongs to whoever made the call. It must live
/// until on_end returns or the call is cancelled, and may be released within
/// either; no callback follows. No function of the client calls a callback:
/// they come from the event loop. Callbacks may make and cancel calls, but
/// mustn't release the client.

struct event_base;
struct json_t;
struct ssl_ctx_st;
struct httpc;

#define HTTPC_MAX_HEADERS 16

struct httpc_header {
	const char *name;
	const char *value;
};

/// How a call ended. `verdict` is VERDICT_NOT_RUN only when no byte of the
/// request can have reached the server, VERDICT_RAN when a complete response
/// arrived.
struct httpc_result {
	enum status status; ///< OK, TIMEOUT, IO (connection lost, or the
			    ///< response is none or too large), UNAVAILABLE
			    ///< (could not connect)
	const char *error;  ///< what is wrong with the response, a static
			    ///< string; NULL: nothing, or not known
	enum verdict verdict;
	int http_status;  ///< 0 when no response head arrived
	bool until_close; ///< the end of the connection was that of the body
	const char *content_type; ///< "" when none; valid in on_end only
	const uint8_t *body;      ///< valid in on_end only; empty with on_data
	size_t len;               ///< of `body`, in bytes
};

typedef void (*httpc_head_cb)(void *arg, int http_status);
typedef void (*httpc_data_cb)(void *arg, const uint8_t *bytes, size_t len);
typedef void (*httpc_end_cb)(void *arg, const struct httpc_result *result);

struct httpc_request {
	const char *method; ///< in capitals; one not known is sent as GET
	const char *host;   ///< IP address, numeric
	uint16_t port;
	const char *path;
	struct httpc_header
	    headers[HTTPC_MAX_HEADERS]; ///< ended by a NULL name
	/// More headers, sent unchanged. If "Host" is among them, it replaces
	/// the one that is made from host and port.
	const struct httpc_header *extra_headers;
	size_t n_extra_headers;
	const uint8_t *body;
	size_t len;
	uint64_t connect_us; ///< until the connection is up; 0: no limit
	uint64_t timeout_us; ///< until the response is complete; 0: no limit
	/// No byte of the request may leave after timeout_us, by a clock that
	/// also counts suspended time; bytes still unsent when the call ends
	/// are dropped. For requests that must not arrive late.
	bool expires;
	/// With `expires`: time by that clock (CLOCK_BOOTTIME) from which
	/// timeout_us counts; 0: when the call is made.
	uint64_t expires_from_us;
	size_t max_body;     ///< bytes of the response; 0: 16 MiB
	bool new_connection; ///< open a new connection and close it afterwards
	struct ssl_ctx_st *tls; ///< NULL: plain
	httpc_head_cb on_head;  ///< may be NULL
	httpc_data_cb on_data;  ///< NULL: the body is collected for on_end
	httpc_end_cb on_end;    ///< exactly once, unless cancelled
	void *arg;
};

struct httpc *httpc_new(struct event_base *base);
void httpc_free(struct httpc *c);
handle_t httpc_send(struct httpc *c, const struct httpc_request *call);
void httpc_cancel(struct httpc *c, handle_t handle);
void httpc_discard(struct httpc *c, handle_t handle);
const char *httpc_response_header(
    struct httpc *c, handle_t handle, const char *name);

/// Called once for each header of a response, in the order received.
typedef void (*httpc_header_cb)(void *arg, const char *name, const char *value);
void httpc_foreach_response_header(
    struct httpc *c, handle_t handle, httpc_header_cb cb, void *arg);

void httpc_set_max_held(struct httpc *c, size_t bytes);
void httpc_set_retained(struct httpc *c, handle_t handle, size_t bytes);
size_t httpc_held_bytes(const struct httpc *c);
uint64_t httpc_connections_opened(const struct httpc *c);

enum status httpc_send_blocking(const struct httpc_request *call,
    int *http_status, char **body, size_t *len);
struct json_t *httpc_json(const struct httpc_result *result);

#endif
