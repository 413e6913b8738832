#include "standin.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#define ID_HEADER "X-Acaciahinge-Request-Id: "
#define ID_BYTES 128
/// A response that ends with this is followed by the end of the connection.
#define CLOSE_MARK "$CLOSE"
/// A response that ends with this is followed by a reset of the connection
/// after RESET_US, and nothing of the request's body is read.
#define RESET_MARK "$RESET"
#define RESET_US 200000
/// The program ends after a response that ends with this.
#define EXIT_MARK "$EXIT"
/// What stands after this is repeated until the client closes.
#define FOREVER_MARK "$FOREVER"
/// Bytes without an end are written in portions of about this size.
#define FOREVER_BYTES 65536

/// A backend server whose responses are the bytes of the setting "responses",
/// one for each request, the last one for all further ones. It listens on the
/// setting "raw_address". In a response "$ID" is the request's id. The response
/// "$AGAIN" is the connection's last one once more, or the last of the setting
/// on a new connection.
/// What stands after "$FOREVER" is sent without an end.
struct raw {
	struct standin_env *env;
	GHashTable *runs; ///< request id -> number of requests
	int64_t n_requests;
};

struct raw_conn {
	struct raw *r;
	struct bufferevent *bev;
	GString *sent;    ///< the last response, "": none
	bool exits;       ///< the program ends when all is written
	bool resets;      ///< the connection is reset when all is written
	GString *forever; ///< written again and again; NULL: nothing
};

static void
close_conn(struct raw_conn *c)
{
	bufferevent_free(c->bev);
	(void)g_string_free(c->sent, TRUE);
	if (c->forever != NULL)
		(void)g_string_free(c->forever, TRUE);
	g_free(c);
}

static void
reset_conn(void *arg)
{
	const struct raw_conn *c = arg;
	const struct linger reset = { .l_onoff = 1 };

	(void)setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER,
	    &reset, sizeof(reset));
	close_conn(arg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	close_conn(arg);
}

static void
write_forever(struct bufferevent *bev, void *arg)
{
	const struct raw_conn *c = arg;

	(void)bufferevent_write(bev, c->forever->str, c->forever->len);
}

/// Cuts the part after FOREVER_MARK off a response, and lets it be written
/// without an end.
static void
take_forever(struct raw_conn *c, GString *text)
{
	char *mark = strstr(text->str, FOREVER_MARK);
	const char *again = mark != NULL ? mark + strlen(FOREVER_MARK) : "";

	if (*again == '\0')
		return;
	c->forever = g_string_new(NULL);
	while (c->forever->len < FOREVER_BYTES)
		(void)g_string_append(c->forever, again);
	(void)g_string_truncate(text, (gsize)(mark - text->str));
	bufferevent_setcb(c->bev, NULL, write_forever, on_event, c);
}

static void
on_sent(struct bufferevent *bev, void *arg)
{
	const struct raw_conn *c = arg;

	if (evbuffer_get_length(bufferevent_get_output(bev)) > 0)
		return;
	if (c->exits)
		_exit(0);
	if (c->resets)
		standin_call_after(c->r->env, RESET_US, reset_conn, arg);
	else
		close_conn(arg);
}

/// The next response of the setting.
static const char *
next_response(const struct raw_conn *c)
{
	const struct raw *r = c->r;
	const json_t *responses =
	    json_object_get(r->env->settings, "responses");
	const size_t last = json_array_size(responses) - 1;
	const char *text = json_string_value(
	    json_array_get(responses, MIN((size_t)r->n_requests, last)));

	if (strcmp(text, "$AGAIN") != 0)
		return text;
	return c->sent->len > 0
	    ? c->sent->str
	    : json_string_value(json_array_get(responses, last));
}

static void
respond(struct raw_conn *c, const char *id)
{
	struct raw *r = c->r;
	GString *text = g_string_new(next_response(c));
	bool closes = g_str_has_suffix(text->str, CLOSE_MARK);

	c->exits = g_str_has_suffix(text->str, EXIT_MARK);
	c->resets = g_str_has_suffix(text->str, RESET_MARK);
	if (closes)
		(void)g_string_truncate(text, text->len - strlen(CLOSE_MARK));
	if (c->exits)
		(void)g_string_truncate(text, text->len - strlen(EXIT_MARK));
	if (c->resets)
		(void)g_string_truncate(text, text->len - strlen(RESET_MARK));
	closes |= c->exits || c->resets;
	(void)g_string_replace(text, "$ID", id, 0);
	take_forever(c, text);
	r->n_requests++;
	(void)g_hash_table_insert(r->runs, g_strdup(id),
	    GINT_TO_POINTER(
		GPOINTER_TO_INT(g_hash_table_lookup(r->runs, id)) + 1));
	(void)bufferevent_write(c->bev, text->str, text->len);
	if (c->forever != NULL)
		write_forever(c->bev, c);
	(void)g_string_free(c->sent, TRUE);
	c->sent = text;
	if (closes)
		bufferevent_setcb(c->bev, NULL, on_sent, NULL, c);
	if (c->resets)
		(void)bufferevent_disable(c->bev, EV_READ);
}

/// Reads a request's head; requests have no body.
static void
on_read(struct bufferevent *bev, void *arg)
{
	struct raw_conn *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	const struct evbuffer_ptr end =
	    evbuffer_search(in, "\r\n\r\n", 4, NULL);
	char id[ID_BYTES] = "";
	char *head;
	const char *at;

	if (end.pos < 0)
		return;
	head = g_malloc0((gsize)end.pos + 5);
	(void)evbuffer_remove(in, head, (size_t)end.pos + 4);
	at = strstr(head, ID_HEADER);
	if (at != NULL)
		(void)g_strlcpy(id, at + strlen(ID_HEADER),
		    MIN(sizeof(id), strcspn(at + strlen(ID_HEADER), "\r") + 1));
	g_free(head);
	respond(c, id);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *address, int len, void *arg)
{
	struct raw *r = arg;
	struct raw_conn *c = g_new0(struct raw_conn, 1);

	(void)listener;
	(void)address;
	(void)len;
	c->r = r;
	c->sent = g_string_new(NULL);
	c->bev =
	    bufferevent_socket_new(r->env->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	(void)bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

static void *
raw_start(struct standin_env *env)
{
	struct raw *r = g_new0(struct raw, 1);
	struct sockaddr_storage address;
	int len = sizeof(address);

	r->env = env;
	r->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (evutil_parse_sockaddr_port(
		standin_get_str(env->settings, "raw_address", ""),
		(struct sockaddr *)&address, &len) == 0)
		(void)evconnlistener_new_bind(env->base, on_accept, r,
		    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
		    (struct sockaddr *)&address, len);
	return r;
}

static void
raw_changed(void *self)
{
	struct raw *r = self;

	r->n_requests = 0;
	g_hash_table_remove_all(r->runs);
}

static void
raw_request(void *self, struct evhttp_request *req)
{
	(void)self;
	standin_reply_error(req, 404, "no such call");
}

/// Number of requests, and the most with one id.
static json_t *
raw_stats(void *self, struct evhttp_request *req)
{
	const struct raw *r = self;
	GHashTableIter it;
	gpointer n;
	int most = 0;

	(void)req;
	g_hash_table_iter_init(&it, r->runs);
	while (g_hash_table_iter_next(&it, NULL, &n))
		most = MAX(most, GPOINTER_TO_INT(n));
	return json_pack("{s:I, s:i}", "arrived", (json_int_t)r->n_requests,
	    "most_by_id", most);
}

const struct standin_kind standin_raw = {
	.name = "raw",
	.start = raw_start,
	.request = raw_request,
	.changed = raw_changed,
	.stats = raw_stats,
};
