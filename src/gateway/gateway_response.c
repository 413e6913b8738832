#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>

#include "platform/api_names.h"

#define GATEWAY_RETRY_AFTER_US (250 * USEC_PER_MSEC)

/// Sends an error response to a caller whose request was refused here or
/// failed. Both are logged as request.refused.
///
/// @param retry_us  time for the Retry-After header; 0: no such header
/// @param id        of the request; "": none
/// @param why       reason, for the body and the log
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
		g->n_refused->value++;
	else
		g->n_failed->value++;
	logger_event(LOGGER_INFO, "request.refused",
	    "request=%s status=%d retry_after_ms=%" PRIu64 " reason=\"%s\"", id,
	    status, retry_us / USEC_PER_MSEC, why);
	httpd_reply(
	    g->callers, caller, status, NULL, "text/plain", why, strlen(why));
}

/// A random time in microseconds for the Retry-After header, so that callers
/// refused together don't retry together.
uint64_t
gateway_retry_after(const struct gateway_request *q)
{
	struct rnd *r = loop_random(q->gateway->loop);

	return GATEWAY_RETRY_AFTER_US / 2 +
	    rnd_below(r, GATEWAY_RETRY_AFTER_US);
}

static void
log_end(const struct gateway_request *q, const char *event, int status,
    const char *why)
{
	const uint64_t now = loop_now_us(q->gateway->loop);

	logger_event(LOGGER_INFO, event,
	    "request=%s route=%s service=%s customer=%s config=%" PRIu64
	    " status=%d verdict=\"%s\" attempts=%u events=%u server=%s "
	    "reason=\"%s\" ms=%" PRIu64,
	    q->call.id, q->route->name,
	    q->service != NULL ? q->service->name : "-",
	    q->customer != NULL ? q->customer->name : "-",
	    fleetcfg_version(q->config), status, verdict_name(q->verdict),
	    q->n_sent, gateway_events_delivered(q),
	    q->server[0] != '\0' ? q->server : "-", why,
	    (now - q->arrived_us) / USEC_PER_MSEC);
}

/// Fails a request and releases it. A stream that has started is aborted; any
/// other caller gets an error response.
///
/// @param retry_us  as that of gateway_refuse()
void
gateway_fail(
    struct gateway_request *q, int status, uint64_t retry_us, const char *why)
{
	struct gateway *g = q->gateway;
	const handle_t caller = q->caller;

	if (q->service != NULL && status == 503)
		gateway_service_load(g, q->service->name)->refused++;
	log_end(q, "request.failed", status, why);
	gateway_cancel_attempt(q, BALANCER_CANCELLED);
	q->caller = HANDLE_NONE;
	if (q->head_sent) {
		g->n_failed->value++;
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
		    q->gateway->callers, q->caller, h[i].name, h[i].value);
}

/// Records the metric of the time from a request's arrival to its first event,
/// or to the complete response if it isn't a stream.
static void
observe_first_event(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const uint64_t latency_us = loop_now_us(g->loop) - q->arrived_us;
	metrics_observe(g->first_event_latency, latency_us);
}

/// Sends a backend server's complete response to the caller, with the headers
/// in `q->response_headers`, and releases the request.
void
gateway_forward_response(
    struct gateway_request *q, int status, const uint8_t *body, size_t len)
{
	struct gateway *g = q->gateway;
	const handle_t caller = q->caller;

	observe_first_event(q);
	metrics_observe(g->total_latency, loop_now_us(g->loop) - q->arrived_us);
	log_end(q, "request.done", status, "");
	add_headers(q, q->response_headers);
	q->caller = HANDLE_NONE;
	httpd_reply(g->callers, caller, status, NULL, NULL, body, len);
	gateway_request_free(q);
}

static void
forward_event(void *arg, const char *text, size_t len)
{
	struct gateway_request *q = arg;
	struct gateway *g = q->gateway;

	if (!q->head_sent) {
		q->head_sent = true;
		observe_first_event(q);
		add_headers(q, q->response_headers);
		httpd_stream_start(
		    g->callers, q->caller, q->status, NULL, NULL);
	}
	httpd_stream_data(g->callers, q->caller, text, len);
}

/// Sends the complete events among new bytes of a stream to the caller.
///
/// @return false if the stream is malformed
bool
gateway_stream_feed(struct gateway_request *q, const uint8_t *bytes, size_t len)
{
	return evstream_feed(q->events, bytes, len, forward_event, q) ==
	    EVSTREAM_OK;
}

/// Ends a complete stream to the caller, and releases the request.
void
gateway_stream_end(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const handle_t caller = q->caller;

	if (!q->head_sent) {
		add_headers(q, q->response_headers);
		httpd_stream_start(g->callers, caller, q->status, NULL, NULL);
	}
	metrics_observe(g->total_latency, loop_now_us(g->loop) - q->arrived_us);
	log_end(q, "request.done", q->status, "");
	q->caller = HANDLE_NONE;
	httpd_stream_end(g->callers, caller);
	gateway_request_free(q);
}
