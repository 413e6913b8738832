#include "back/httpc.h"

#include <event2/event.h>
#include <glib.h>
#include <string.h>

/// Result of a blocking call.
struct blocking_call {
	struct event_base *base;
	enum status status;
	int http_status;
	char *body;
	size_t len;
};

static void
on_blocking_end(void *arg, const struct httpc_result *result)
{
	struct blocking_call *o = arg;

	o->status = result->status;
	o->http_status = result->http_status;
	o->body = g_malloc(result->len + 1);
	if (result->len > 0)
		memcpy(o->body, result->body, result->len);
	o->body[result->len] = '\0';
	o->len = result->len;
	(void)event_base_loopbreak(o->base);
}

/// Runs one call to its end on an event loop of its own; for command-line use.
///
/// @param call         its callbacks are ignored
/// @param http_status  receives the status, 0 when no response head arrived
/// @param body         receives the body, NUL-terminated, to be released with
///                     free(); "" when there is none
/// @param len          receives its length; may be NULL
/// @return STATUS_OK when a complete response arrived, else as in struct
///         httpc_result
enum status
httpc_send_blocking(const struct httpc_request *call, int *http_status,
    char **body, size_t *len)
{
	struct blocking_call o = { .status = STATUS_UNAVAILABLE };
	struct httpc_request copy = *call;
	struct httpc *c;

	o.base = event_base_new();
	c = httpc_new(o.base);
	copy.on_head = NULL;
	copy.on_data = NULL;
	copy.on_end = on_blocking_end;
	copy.arg = &o;
	if (httpc_send(c, &copy) != HANDLE_NONE && o.body == NULL)
		(void)event_base_dispatch(o.base);
	httpc_free(c);
	event_base_free(o.base);
	*http_status = o.http_status;
	*body = o.body != NULL ? o.body : g_strdup("");
	if (len != NULL)
		*len = o.len;
	if (o.status != STATUS_OK)
		return status_fail(
		    o.status, "call to %s:%u failed", call->host, call->port);
	return STATUS_OK;
}
