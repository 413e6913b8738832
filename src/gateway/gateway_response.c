#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>

#include "platform/api_names.h"

#define GATEWAY_RETRY_AFTER_US (250 * USEC_PER_MSEC)

/// Answers a caller whose request didn't go further than this gateway, or
/// failed.
///
/// @param retry_us  when to come back; 0: not stated
void
gateway_refuse(struct gateway *g, handle_t caller, int status,
    uint64_t retry_us, const char *id, const char *why)
{
	char after[32];

	if (retry_us > 0) {
		(void)g_snprintf(after, sizeof(after), "%" PRIu64 ".%03" PRIu64,
		    retry_us / USEC_PER_SEC,
		    retry_us % USEC_PER_SEC / USEC_PER_MSEC);
		httpd_add_header(g->callers, caller, "Retry-After", after);
	}
	if (id[0] != '\0')
		httpd_add_header(g->callers, caller, API_HDR_REQUEST_ID, id);
	if (status == 429 || status == 503)
		g->n_refused->n++;
	else
		g->n_failed->n++;
	logger_event(LOGGER_INFO, "request.refused",
	    "request=%s status=%d retry_after_ms=%" PRIu64 " reason=\"%s\"", id,
	    status, retry_us / USEC_PER_MSEC, why);
	httpd_reply(
	    g->callers, caller, status, NULL, "text/plain", why, strlen(why));
}

/// A time to come back that differs from request to request, so that those
/// who were refused together don't return together.
uint64_t
gateway_retry_after(const struct gateway_request *q)
{
	struct rnd *r = loop_random(q->gw->loop);

	return GATEWAY_RETRY_AFTER_US / 2 +
	    rnd_below(r, GATEWAY_RETRY_AFTER_US);
}

static void
log_end(const struct gateway_request *q, const char *event, int status,
    const char *why)
{
	const uint64_t now = loop_now_us(q->gw->loop);

	logger_event(LOGGER_INFO, event,
	    "request=%s route=%s service=%s customer=%s config=%" PRIu64
	    " status=%d verdict=\"%s\" attempts=%u server=%s reason=\"%s\" "
	    "ms=%" PRIu64,
	    q->call.id, q->route->name,
	    q->service != NULL ? q->service->name : "-",
	    q->customer != NULL ? q->customer->name : "-",
	    fleetcfg_version(q->config), status, verdict_name(q->verdict),
	    q->sent, q->server[0] != '\0' ? q->server : "-", why,
	    (now - q->arrived_us) / USEC_PER_MSEC);
}

/// Ends a request without a backend server's answer.
void
gateway_fail(
    struct gateway_request *q, int status, uint64_t retry_us, const char *why)
{
	struct gateway *g = q->gw;
	const handle_t caller = q->caller;

	if (q->service != NULL && status == 503)
		gateway_service_load(g, q->service->name)->refused++;
	log_end(q, "request.failed", status, why);
	gateway_request_drop(q, BALANCER_CANCELLED);
	q->caller = HANDLE_NONE;
	if (q->started) {
		g->n_failed->n++;
		httpd_abort(g->callers, caller);
	} else {
		gateway_refuse(g, caller, status, retry_us, q->call.id, why);
	}
	gateway_request_free(q);
}

static void
add_headers(struct gateway_request *q, const struct api_headers *headers)
{
	const struct httpc_header *h = api_headers_array(headers);

	for (size_t i = 0; i < api_headers_count(headers); i++)
		httpd_add_header(
		    q->gw->callers, q->caller, h[i].name, h[i].value);
}

static void
observe_first(struct gateway_request *q)
{
	struct gateway *g = q->gw;
	const uint64_t took = loop_now_us(g->loop) - q->arrived_us;
	metrics_observe(g->first, took);
}

/// Passes a backend server's whole answer on; its headers were kept.
void
gateway_forward_response(
    struct gateway_request *q, int status, const uint8_t *body, size_t len)
{
	struct gateway *g = q->gw;
	const handle_t caller = q->caller;

	observe_first(q);
	metrics_observe(g->whole, loop_now_us(g->loop) - q->arrived_us);
	log_end(q, "request.done", status, "");
	add_headers(q, q->response_headers);
	q->caller = HANDLE_NONE;
	httpd_reply(g->callers, caller, status, NULL, NULL, body, len);
	gateway_request_free(q);
}

static void
pass_event(void *arg, const char *text, size_t len)
{
	struct gateway_request *q = arg;
	struct gateway *g = q->gw;

	if (!q->started) {
		q->started = true;
		observe_first(q);
		add_headers(q, q->response_headers);
		httpd_stream_start(
		    g->callers, q->caller, q->status, NULL, NULL);
	}
	httpd_stream_data(g->callers, q->caller, text, len);
}

/// Passes the whole events among new bytes of a stream on.
///
/// @return false when the stream is broken
bool
gateway_stream_feed(struct gateway_request *q, const uint8_t *bytes, size_t len)
{
	return evstream_feed(q->events, bytes, len, pass_event, q) ==
	    EVSTREAM_OK;
}

/// Ends a stream that is whole.
void
gateway_stream_end(struct gateway_request *q)
{
	struct gateway *g = q->gw;
	const handle_t caller = q->caller;

	if (!q->started) {
		add_headers(q, q->response_headers);
		httpd_stream_start(g->callers, caller, q->status, NULL, NULL);
	}
	metrics_observe(g->whole, loop_now_us(g->loop) - q->arrived_us);
	log_end(q, "request.done", q->status, "");
	q->caller = HANDLE_NONE;
	httpd_stream_end(g->callers, caller);
	gateway_request_free(q);
}
