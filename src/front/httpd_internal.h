#ifndef FRONT_HTTPD_INTERNAL_H
#define FRONT_HTTPD_INTERNAL_H

#include <event2/event.h>
#include <glib.h>

// evhtp's own headers need POSIX types declared before them.
#include <netinet/in.h>
#include <evhtp.h>

#include "base/http1.h"
#include "front/httpd.h"
#include "front/reqhead.h"

/// Parts of the HTTP server: requests and their responses (httpd.c), and what
/// arrives on connections (httpd_input.c).

/// Reading of requests on a connection.
enum httpd_conn_state {
	HTTPD_CONN_HEAD,    ///< reads a head, or is idle
	HTTPD_CONN_BODY,    ///< reads a body
	HTTPD_CONN_SERVING, ///< a request was read; it has no response yet
	HTTPD_CONN_CLOSING, ///< a request was refused; what comes is dropped
};

/// A connection of a caller.
struct httpd_conn {
	struct httpd *owner;
	evhtp_connection_t *evhtp;
	enum httpd_conn_state state;
	bool served;     ///< it has had a request before
	size_t searched; ///< bytes without the end of a head
	struct reqhead head;
	uint64_t left; ///< of a body of known length, in bytes
	struct http1_chunks chunks;
	struct evbuffer *body;
	struct evbuffer *pending; ///< came after the request that is served
	size_t held;              ///< bytes of the request
	struct event *timer;      ///< for the next bytes
	struct event *resume;     ///< reads the next request
};

struct httpd {
	struct httpd_config config;
	struct httpd_limits limits;
	evhtp_t *http;
	struct slotmap *open;    ///< struct httpd_open_request
	GHashTable *connections; ///< evhtp_connection_t -> struct httpd_conn
	size_t held;             ///< bytes of requests on all of them
	size_t unsent;           ///< responses complete but not yet written
	bool listening;
	bool closing_keepalive; ///< draining: see httpd_drain()
};

void httpd_input_accept(struct httpd *f, evhtp_connection_t *conn);
void httpd_input_free(struct httpd_conn *hc);
void httpd_input_on_response(struct httpd *f, evhtp_connection_t *conn);
void httpd_input_stop(struct httpd *f, evhtp_connection_t *conn);
bool httpd_input_is_idle(const struct httpd_conn *hc);

#endif
