#include "gateway/gateway_internal.h"

#include <inttypes.h>

#include "fleet/waitq.h"

/// Time that a caller without a deadline is taken to wait.
#define GATEWAY_DEFAULT_WAIT_US USEC_PER_SEC

/// A request in the wait queue, with copies of what `req` points to.
struct gateway_waiting_request {
	handle_t caller;
	uint64_t arrived_us;
	uint64_t until_us;
	struct httpd_request req;
	char *method;
	char *path;
	char *query;
	char *target;
	uint8_t *body;
};

static void
waiting_request_free(struct gateway *g, struct gateway_waiting_request *w)
{
	g->waiting_bytes -= w->req.len;
	g_free(w->method);
	g_free(w->path);
	g_free(w->query);
	g_free(w->target);
	g_free(w->body);
	g_free(w);
}

/// Since when this gateway hasn't been ready: its start, or the end of its
/// lease.
static uint64_t
not_ready_since_us(const struct gateway *g)
{
	return MAX(g->started_us, g->lease_until_us);
}

/// Adds a request to the wait queue if this gateway is likely to be ready soon.
///
/// @param req  copied
/// @param why  why this gateway isn't ready, for the log
/// @return false if the request is to be refused at once
bool
gateway_waitq_add(struct gateway *g, handle_t caller,
    const struct httpd_request *req, const struct api_request *call,
    const char *why)
{
	const uint64_t now = loop_now_us(g->loop);
	const uint64_t wait_us = waitq_max_wait_us(now, not_ready_since_us(g),
	    call->has_deadline ? call->deadline_ms * USEC_PER_MSEC
			       : GATEWAY_DEFAULT_WAIT_US);
	struct gateway_waiting_request *w;

	if (wait_us == 0 || g->stopping ||
	    g->wait_queue.length >= WAITQ_MAX_REQUESTS ||
	    g->waiting_bytes + req->len > WAITQ_MAX_BYTES)
		return false;
	w = g_new0(struct gateway_waiting_request, 1);
	w->caller = caller;
	w->arrived_us = now;
	w->until_us = now + wait_us;
	w->req = *req;
	w->req.method_name = w->method = g_strdup(req->method_name);
	w->req.path = w->path = g_strdup(req->path);
	w->req.query = w->query = g_strdup(req->query);
	w->req.target = w->target = g_strdup(req->target);
	w->req.body = w->body = g_memdup2(req->body, req->len);
	g->waiting_bytes += req->len;
	g_queue_push_tail(&g->wait_queue, w);
	logger_event(LOGGER_INFO, "request.held",
	    "request=%s wait_ms=%" PRIu64 " out_ms=%" PRIu64 " reason=\"%s\"",
	    call->id, wait_us / USEC_PER_MSEC,
	    (now - not_ready_since_us(g)) / USEC_PER_MSEC, why);
	return true;
}

/// Removes the request of a caller that has left from the wait queue.
///
/// @return whether there was one
bool
gateway_waitq_remove(struct gateway *g, handle_t caller)
{
	for (GList *l = g->wait_queue.head; l != NULL; l = l->next) {
		struct gateway_waiting_request *w = l->data;

		if (w->caller != caller)
			continue;
		g_queue_delete_link(&g->wait_queue, l);
		waiting_request_free(g, w);
		return true;
	}
	return false;
}

/// Passes queued requests to gateway_accept_request() in the order of arrival:
/// all of them if this gateway is ready or stopping, else those whose wait is
/// over.
void
gateway_waitq_step(struct gateway *g, uint64_t now_us)
{
	const char *why;
	const bool ready = gateway_is_ready(g, &why);
	guint n = g->wait_queue.length;

	while (n-- > 0) {
		struct gateway_waiting_request *w =
		    g_queue_pop_head(&g->wait_queue);

		if (!ready && !g->stopping && now_us < w->until_us) {
			g_queue_push_tail(&g->wait_queue, w);
			continue;
		}
		gateway_accept_request(
		    g, w->caller, &w->req, w->arrived_us, true);
		waiting_request_free(g, w);
	}
}

/// Empties the wait queue without responses.
void
gateway_waitq_clear(struct gateway *g)
{
	struct gateway_waiting_request *w;

	while ((w = g_queue_pop_head(&g->wait_queue)) != NULL)
		waiting_request_free(g, w);
}
