#include "entry/entry_internal.h"

#include <string.h>

#include "front/httpd_json.h"

#define ENTRY_OPERATOR_BODY_BYTES 4096
#define ENTRY_OPERATOR_IDLE_MS 60000

/// @param health_check  reply 503 if this entry is not in service
static void
reply_state(struct entry *e, handle_t handle, bool health_check)
{
	const char *why;
	const bool ok = entry_in_service(e, &why);
	json_t *o = json_pack("{s:s, s:I, s:I, s:b, s:s, s:I}", "node",
	    e->settings.node, "revision",
	    (json_int_t)catalog_revision(e->config), "sequence",
	    (json_int_t)catalog_sequence(e->config), "in_service", ok, "reason",
	    why, "requests", (json_int_t)slotmap_count(e->requests));

	httpd_reply_json(
	    e->operators, handle, health_check && !ok ? 503 : 200, o);
}

static void
reply_metrics(struct entry *e, handle_t handle)
{
	struct metrics_registry *set = loop_counters(e->loop);
	const char *why;

	metrics_gauge(set, "ac_config_revision", "")->value =
	    catalog_revision(e->config);
	metrics_gauge(set, "ac_config_sequence", "")->value =
	    catalog_sequence(e->config);
	metrics_gauge(set, "ac_in_service", "")->value =
	    entry_in_service(e, &why);
	metrics_gauge(set, "ac_requests_in_progress", "")->value =
	    slotmap_count(e->requests);
	metrics_gauge(set, "ac_peer_bytes_sent_total", "")->value =
	    transport_bytes_sent(e->links);
	metrics_gauge(set, "ac_peer_bytes_received_total", "")->value =
	    transport_bytes_received(e->links);
	httpd_reply_metrics(e->operators, handle, set);
}

static void
on_request(void *arg, handle_t handle, const struct httpd_request *req)
{
	struct entry *e = arg;

	if (strcmp(req->path, "/healthz") == 0)
		reply_state(e, handle, true);
	else if (!httpd_check_bearer(
		     e->operators, handle, e->settings.operator_token))
		httpd_reply_json(e->operators, handle, 401,
		    json_pack("{s:s}", "status", "refused"));
	else if (strcmp(req->path, "/metrics") == 0)
		reply_metrics(e, handle);
	else if (strcmp(req->path, "/v1/state") == 0)
		reply_state(e, handle, false);
	else
		httpd_reply_json(e->operators, handle, 404,
		    json_pack("{s:s}", "status", "not found"));
}

static void
on_operator_gone(void *arg, handle_t handle)
{
	(void)arg;
	(void)handle;
}

/// Opens the operators' HTTP interface.
///
/// @return STATUS_OK, else it isn't open and status_last() says why
enum status
entry_operators_start(struct entry *e)
{
	const struct httpd_config config = {
		.base = loop_event_base(e->loop),
		.max_body_bytes = ENTRY_OPERATOR_BODY_BYTES,
		.idle_ms = ENTRY_OPERATOR_IDLE_MS,
		.tls = e->keys != NULL ? tlsctx_server(e->keys) : NULL,
		.on_request = on_request,
		.on_disconnect = on_operator_gone,
		.arg = e,
	};

	e->operators = httpd_new(&config);
	return httpd_listen(e->operators, e->settings.operators.host,
	    e->settings.operators.port);
}
