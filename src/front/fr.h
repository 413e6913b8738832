#ifndef FRONT_FR_H
#define FRONT_FR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"
#include "base/status.h"

/// HTTP server over one event loop, for callers and for operators.

struct event_base;
struct ssl_ctx_st;
struct metrics_registry;
struct fr;

#define FR_MAX_HEADERS 8

enum fr_method {
	FR_GET,
	FR_POST,
	FR_PUT,
	FR_DELETE,
	FR_OTHER,
};

/// A request whose body has arrived whole. Its strings live until the
/// callback returns.
struct fr_request {
	enum fr_method method;
	const char *method_name;
	const char *path;
	const char *query; ///< "" when none
	const uint8_t *body;
	size_t len;
};

struct fr_header {
	const char *name;
	const char *value;
};

struct fr_config {
	struct event_base *base;
	size_t max_body_bytes;
	uint32_t idle_ms;       ///< a silent connection is closed
	struct ssl_ctx_st *tls; ///< NULL: plain
	/// A request came: answer it now or later with fr_reply() or the
	/// fr_stream functions.
	void (*request)(
	    void *arg, handle_t handle, const struct fr_request *req);
	/// The caller is gone before its answer was whole; the handle ends.
	void (*gone)(void *arg, handle_t handle);
	void *arg;
};

struct fr *fr_new(const struct fr_config *config);
void fr_free(struct fr *f);
enum status fr_listen(struct fr *f, const char *host, uint16_t port);
void fr_stop_listening(struct fr *f);
void fr_drain(struct fr *f);
/// Header by header, in the order in which they came.
typedef void (*fr_header_cb)(void *arg, const char *name, const char *value);

bool fr_bears(struct fr *f, handle_t handle, const char *token);
const char *fr_header(struct fr *f, handle_t handle, const char *name);
void fr_each_header(struct fr *f, handle_t handle, fr_header_cb cb, void *arg);
void fr_add_header(
    struct fr *f, handle_t handle, const char *name, const char *value);
void fr_close_after(struct fr *f, handle_t handle);
void fr_abort(struct fr *f, handle_t handle);
void fr_reply(struct fr *f, handle_t handle, int status,
    const struct fr_header *headers, const char *type, const void *body,
    size_t len);
void fr_reply_metrics(
    struct fr *f, handle_t handle, const struct metrics_registry *set);
void fr_stream_start(struct fr *f, handle_t handle, int status,
    const struct fr_header *headers, const char *type);
void fr_stream_data(
    struct fr *f, handle_t handle, const void *bytes, size_t len);
void fr_stream_end(struct fr *f, handle_t handle);
size_t fr_unsent_bytes(struct fr *f, handle_t handle);
size_t fr_open(const struct fr *f);
size_t fr_connections(const struct fr *f);

#endif
