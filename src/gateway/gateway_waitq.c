#include "gateway/gateway_internal.h"

#include <inttypes.h>

#include "fleet/waitq.h"

/// What a caller has left when it doesn't say.
#define GATEWAY_UNSTATED_US USEC_PER_SEC

/// A request that waits here for control's word.
struct gateway_waiting_request {
	handle_t caller;
	uint64_t arrived_us;
	uint64_t until_us;
	struct httpd_request req;
	char *method;
	char *path;
	char *query;
	uint8_t *body;
};

static void
held_free(struct gateway *g, struct gateway_waiting_request *h)
{
	g->waiting_bytes -= h->req.len;
	g_free(h->method);
	g_free(h->path);
	g_free(h->query);
	g_free(h->body);
	g_free(h);
}

/// Since when this gateway can't serve.
static uint64_t
out_since_us(const struct gateway *g)
{
	return MAX(g->started_us, g->lease_until_us);
}

/// Holds a request until this gateway can serve, if that is likely soon.
///
/// @return false when it is to be refused at once
bool
gateway_waitq_add(struct gateway *g, handle_t caller,
    const struct httpd_request *req, const struct api_request *call,
    const char *why)
{
	const uint64_t now = loop_now_us(g->loop);
	const uint64_t wait = waitq_max_wait_us(now, out_since_us(g),
	    call->has_deadline ? call->deadline_ms * USEC_PER_MSEC
			       : GATEWAY_UNSTATED_US);
	struct gateway_waiting_request *h;

	if (wait == 0 || g->stopping || g->held.length >= WAITQ_MAX_REQUESTS ||
	    g->waiting_bytes + req->len > WAITQ_MAX_BYTES)
		return false;
	h = g_new0(struct gateway_waiting_request, 1);
	h->caller = caller;
	h->arrived_us = now;
	h->until_us = now + wait;
	h->req = *req;
	h->req.method_name = h->method = g_strdup(req->method_name);
	h->req.path = h->path = g_strdup(req->path);
	h->req.query = h->query = g_strdup(req->query);
	h->req.body = h->body = g_memdup2(req->body, req->len);
	g->waiting_bytes += req->len;
	g_queue_push_tail(&g->held, h);
	logger_event(LOGGER_INFO, "request.held",
	    "request=%s wait_ms=%" PRIu64 " out_ms=%" PRIu64 " reason=\"%s\"",
	    call->id, wait / USEC_PER_MSEC,
	    (now - out_since_us(g)) / USEC_PER_MSEC, why);
	return true;
}

/// The caller of a held request left.
///
/// @return whether there was one
bool
gateway_waitq_remove(struct gateway *g, handle_t caller)
{
	for (GList *l = g->held.head; l != NULL; l = l->next) {
		struct gateway_waiting_request *h = l->data;

		if (h->caller != caller)
			continue;
		g_queue_delete_link(&g->held, l);
		held_free(g, h);
		return true;
	}
	return false;
}

/// Takes the held requests up again, in the order in which they came, and
/// ends the wait of those whose time is over.
void
gateway_waitq_step(struct gateway *g, uint64_t now_us)
{
	const char *why;
	const bool ready = gateway_is_ready(g, &why);
	guint n = g->held.length;

	while (n-- > 0) {
		struct gateway_waiting_request *h = g_queue_pop_head(&g->held);

		if (!ready && !g->stopping && now_us < h->until_us) {
			g_queue_push_tail(&g->held, h);
			continue;
		}
		gateway_accept_request(
		    g, h->caller, &h->req, h->arrived_us, true);
		held_free(g, h);
	}
}

/// Forgets what is held; nobody is answered.
void
gateway_waitq_clear(struct gateway *g)
{
	struct gateway_waiting_request *h;

	while ((h = g_queue_pop_head(&g->held)) != NULL)
		held_free(g, h);
}
