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

/// Parts of the HTTP server: requests and their responses (httpd.c), what
/// arrives on connections (httpd_input.c), and what all connections together
/// may hold (httpd_room.c).

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
	size_t held;              ///< cost of the request and of `pending`
	size_t head_cost;         ///< of the complete head
	size_t unsent;            ///< bytes of responses
	uint64_t moved_us;        ///< a byte last came or left
	uint64_t begun_us;        ///< first byte of the unfinished request
	struct event *closed;     ///< the caller has left; set if not read
	bool is_last;             ///< closed after the response
	struct event *timer;      ///< for the next bytes
	struct event *resume;     ///< reads the next request
};

struct httpd {
	struct httpd_config config;
	struct httpd_limits limits;
	evhtp_t *http;
	struct slotmap *open;    ///< struct httpd_open_request
	GHashTable *connections; ///< evhtp_connection_t -> struct httpd_conn
	size_t held;             ///< cost of requests on all of them
	size_t unsent_bytes;     ///< of responses on all of them
	struct event *shed;      ///< closes connections with unsent responses
	size_t unsent;           ///< responses complete but not yet written
	bool listening;
	bool closing_keepalive; ///< draining: see httpd_drain()
};

void httpd_input_accept(struct httpd *f, evhtp_connection_t *conn);
void httpd_input_free(struct httpd_conn *hc);
void httpd_input_on_response(struct httpd *f, evhtp_connection_t *conn);
void httpd_input_stop(struct httpd *f, evhtp_connection_t *conn);
bool httpd_input_is_idle(const struct httpd_conn *hc);
bool httpd_input_is_unfinished(const struct httpd_conn *hc);
void httpd_input_refuse(struct httpd_conn *hc, int status, const char *why);
void httpd_input_drop_pending(struct httpd_conn *hc);

uint64_t httpd_room_now_us(void);
void httpd_room_set_held(struct httpd_conn *hc, size_t bytes);
void httpd_room_count_held(struct httpd_conn *hc, size_t bytes);
bool httpd_room_accept(struct httpd *f);
void httpd_room_watch_output(struct httpd_conn *hc);
void httpd_room_forget(struct httpd_conn *hc);
void httpd_room_shed_unsent(int fd, short what, void *arg);

#endif
