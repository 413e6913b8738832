#ifndef FRONT_HTTPD_H
#define FRONT_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"
#include "base/status.h"

/// HTTP server on one event loop, for callers and for operators. A request is
/// known by a handle until its response is complete, the caller disconnects
/// or httpd_abort() is called; functions ignore a handle that has ended.

struct event_base;
struct ssl_ctx_st;
struct metrics_registry;
struct httpd;

#define HTTPD_MAX_HEADERS 8

enum httpd_method {
	HTTPD_METHOD_GET,
	HTTPD_METHOD_POST,
	HTTPD_METHOD_PUT,
	HTTPD_METHOD_DELETE,
	HTTPD_METHOD_OTHER,
};

/// A request whose body has arrived completely. Its strings and body are valid
/// until the callback returns.
struct httpd_request {
	enum httpd_method method;
	const char *method_name;
	const char *path;
	const char *query; ///< "" when none
	/// As the caller sent it. `path` and `query` leave out a fragment, and
	/// don't tell an empty query from none.
	const char *target;
	const uint8_t *body;
	size_t len; ///< of the body, in bytes
};

struct httpd_header {
	const char *name;
	const char *value;
};

struct httpd_config {
	struct event_base *base;
	size_t max_body_bytes;
	uint32_t idle_ms;       ///< read and write timeout of a connection
	struct ssl_ctx_st *tls; ///< NULL: plain HTTP; a reference is taken
	bool drops_bodies;      ///< no request has a use for one: len is 0
	/// A request arrived: respond now or later with httpd_reply() or the
	/// httpd_stream functions.
	void (*on_request)(
	    void *arg, handle_t handle, const struct httpd_request *req);
	/// The caller disconnected before its response was complete; the handle
	/// ends.
	void (*on_disconnect)(void *arg, handle_t handle);
	void *arg;
};

/// What callers may send. A request over a limit is refused while it comes, and
/// its connection closed.
struct httpd_limits {
	size_t max_head_bytes;
	size_t max_body_bytes;
	uint64_t head_timeout_us; ///< from a head's first byte to its last
	uint64_t body_idle_us;    ///< until a body's next byte
	size_t max_held_bytes;    ///< of all requests that are read or served
	size_t max_unsent_bytes;  ///< of all responses, unsent; 0: no limit
	size_t max_connections;   ///< at once; 0: no limit
};

struct httpd *httpd_new(const struct httpd_config *config);
void httpd_free(struct httpd *f);
enum status httpd_listen(struct httpd *f, const char *host, uint16_t port);
void httpd_set_limits(struct httpd *f, const struct httpd_limits *limits);
size_t httpd_longest_request(size_t max_head_bytes, size_t max_body_bytes);
size_t httpd_held_bytes(const struct httpd *f);
size_t httpd_total_unsent_bytes(const struct httpd *f);
void httpd_stop_listening(struct httpd *f);
bool httpd_stop_accepting(struct httpd *f);
void httpd_drain(struct httpd *f);
bool httpd_finish(struct httpd *f);
/// Called once for each header, in the order received.
typedef void (*httpd_header_cb)(void *arg, const char *name, const char *value);

bool httpd_check_bearer(struct httpd *f, handle_t handle, const char *token);
const char *httpd_header(struct httpd *f, handle_t handle, const char *name);
void httpd_foreach_header(
    struct httpd *f, handle_t handle, httpd_header_cb cb, void *arg);
void httpd_add_header(
    struct httpd *f, handle_t handle, const char *name, const char *value);
void httpd_close_after_response(struct httpd *f, handle_t handle);
void httpd_abort(struct httpd *f, handle_t handle);
void httpd_reply(struct httpd *f, handle_t handle, int status,
    const struct httpd_header *headers, const char *type, const void *body,
    size_t len);
void httpd_reply_metrics(
    struct httpd *f, handle_t handle, const struct metrics_registry *registry);
void httpd_stream_start(struct httpd *f, handle_t handle, int status,
    const struct httpd_header *headers, const char *type);
void httpd_stream_data(
    struct httpd *f, handle_t handle, const void *bytes, size_t len);
void httpd_stream_end(struct httpd *f, handle_t handle);
size_t httpd_unsent_bytes(struct httpd *f, handle_t handle);
size_t httpd_unfinished_count(const struct httpd *f);
size_t httpd_connection_count(const struct httpd *f);

#endif
