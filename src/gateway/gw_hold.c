#include "gateway/gw_internal.h"

#include <inttypes.h>

#include "fleet/hq.h"

/// What a caller has left when it doesn't say.
#define GW_UNSTATED_US USEC_PER_SEC

/// A request that waits here for control's word.
struct gw_held {
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
held_free(struct gw *g, struct gw_held *h)
{
	g->held_bytes -= h->req.len;
	g_free(h->method);
	g_free(h->path);
	g_free(h->query);
	g_free(h->body);
	g_free(h);
}

/// Since when this gateway can't serve.
static uint64_t
out_since_us(const struct gw *g)
{
	return MAX(g->started_us, g->lease_until_us);
}

/// Holds a request until this gateway can serve, if that is likely soon.
///
/// @return false when it is to be refused at once
bool
gw_hold(struct gw *g, handle_t caller, const struct httpd_request *req,
    const struct pf_call *call, const char *why)
{
	const uint64_t now = loop_now_us(g->loop);
	const uint64_t wait = hq_wait_us(now, out_since_us(g),
	    call->has_deadline ? call->deadline_ms * USEC_PER_MSEC
			       : GW_UNSTATED_US);
	struct gw_held *h;

	if (wait == 0 || g->stopping || g->held.length >= HQ_MAX_REQUESTS ||
	    g->held_bytes + req->len > HQ_MAX_BYTES)
		return false;
	h = g_new0(struct gw_held, 1);
	h->caller = caller;
	h->arrived_us = now;
	h->until_us = now + wait;
	h->req = *req;
	h->req.method_name = h->method = g_strdup(req->method_name);
	h->req.path = h->path = g_strdup(req->path);
	h->req.query = h->query = g_strdup(req->query);
	h->req.body = h->body = g_memdup2(req->body, req->len);
	g->held_bytes += req->len;
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
gw_hold_forget(struct gw *g, handle_t caller)
{
	for (GList *l = g->held.head; l != NULL; l = l->next) {
		struct gw_held *h = l->data;

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
gw_hold_step(struct gw *g, uint64_t now_us)
{
	const char *why;
	const bool ready = gw_in_service(g, &why);
	guint n = g->held.length;

	while (n-- > 0) {
		struct gw_held *h = g_queue_pop_head(&g->held);

		if (!ready && !g->stopping && now_us < h->until_us) {
			g_queue_push_tail(&g->held, h);
			continue;
		}
		gw_take(g, h->caller, &h->req, h->arrived_us, true);
		held_free(g, h);
	}
}

/// Forgets what is held; nobody is answered.
void
gw_hold_clear(struct gw *g)
{
	struct gw_held *h;

	while ((h = g_queue_pop_head(&g->held)) != NULL)
		held_free(g, h);
}
