#ifndef BACK_HTTPC_INTERNAL_H
#define BACK_HTTPC_INTERNAL_H

#include <glib.h>

#include "back/httpc.h"
#include "back/respscan.h"

/// Parts of the HTTP client: connections (httpc_conn.c), what arrives on them
/// (httpc_input.c), calls (httpc.c).

struct event;
struct evhttp_connection;
struct evhttp_request;

/// One connection; it carries one call at a time.
struct httpc_conn {
	struct httpc *client;
	struct evhttp_connection *evcon;
	char *key;               ///< "HOST:PORT", key of its idle queue
	handle_t call;           ///< HANDLE_NONE while idle
	bool pooled;             ///< in the idle queue of its key
	bool single_use;         ///< closed after its call
	bool dead;               ///< waits to be freed by free_dead_conns()
	bool checks_output;      ///< on_output() is set
	bool expired;            ///< its call expired before it was sent
	bool checks_input;       ///< on_input() is set
	struct respscan scan;    ///< of the response to its call
	int64_t unused_after_us; ///< not reused after (monotonic); 0: no limit
};

/// One call in flight.
struct httpc_active {
	struct httpc_conn *conn;
	struct evhttp_request *response; ///< set while a callback runs
	struct event *timeout;
	struct event *connect_timeout;
	httpc_head_cb on_head;
	httpc_data_cb on_data;
	httpc_end_cb on_end;
	void *arg;
	uint64_t expires_us; ///< no byte leaves after this; 0: no limit
	int http_status;
	size_t max_body;
	size_t received;   ///< bytes of the response, parsed or not
	size_t held;       ///< bytes of the response in memory
	size_t retained;   ///< of these, kept by the owner of the call
	bool starting;     ///< httpc_send() is at work on it
	bool is_sent;      ///< bytes of the request were given to a connection
			   ///< that was up
	bool ended;        ///< on_end runs; the connection isn't its any more
	bool refused;      ///< waits for httpc_input_end_refused()
	const char *error; ///< why it was refused
	handle_t handle;
	struct httpc *client;
};

struct httpc {
	struct event_base *base;
	struct slotmap *calls;
	GHashTable *idle; ///< address -> GQueue of struct httpc_conn
	GPtrArray *dead_conns;
	struct event *free_dead_event;
	GArray *refused; ///< handles of calls that end_refused_calls() ends
	struct event *end_refused_event;
	uint64_t n_opened;
	size_t held;          ///< sum over calls that aren't refused
	size_t max_held;      ///< see httpc_set_max_held()
	uint32_t n_callbacks; ///< that run; one may end within another
};

void httpc_conn_reset_on_close(const struct httpc_conn *conn);
void httpc_conn_free(struct httpc_conn *conn);
void httpc_conn_free_later(struct httpc_conn *conn);
void httpc_conn_free_dead(int fd, short what, void *arg);
void httpc_conn_release(struct httpc_conn *conn, struct evhttp_request *req);
void httpc_conn_discard(struct httpc_conn *conn);
bool httpc_conn_is_connected(const struct httpc_conn *conn);
struct httpc_conn *httpc_conn_get(
    struct httpc *c, const struct httpc_request *call);
struct httpc_active *httpc_conn_call(const struct httpc_conn *conn);

void httpc_input_check(struct httpc_conn *conn,
    const struct httpc_request *call, uint64_t max_body);
void httpc_input_count(struct httpc_active *a);
void httpc_input_release(struct httpc_active *a);
void httpc_input_end_refused(int fd, short what, void *arg);

void httpc_finish_failed(struct httpc_conn *conn, enum status status);

#endif
