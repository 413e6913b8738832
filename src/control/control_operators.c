#include "control/control_internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define CONTROL_MAX_NOTE_BYTES (8UL * 1024 * 1024)
#define CONTROL_OPERATOR_IDLE_MS 60000
#define CONTROL_JSON "application/json"

/// An operator's HTTP call that waits for its result.
struct control_pending {
	struct control *control;
	handle_t handle;
	uint64_t started_us;
};

static void
reply_json(struct control *c, handle_t handle, int status, const char *json)
{
	httpd_reply(c->operators, handle, status, NULL, CONTROL_JSON, json,
	    strlen(json));
}

static void
reply_message(struct control *c, handle_t handle, int http_status,
    const char *status, const char *message)
{
	json_t *o =
	    json_pack("{s:s, s:s}", "status", status, "message", message);
	char *text = json_dumps(o, JSON_COMPACT);

	reply_json(c, handle, http_status, text);
	free(text);
	json_decref(o);
}

/// Replies to a call whose proposal or query gave no result.
static void
reply_failed(struct control *c, handle_t handle, enum status status)
{
	if (status == STATUS_UNAVAILABLE)
		reply_message(c, handle, 503, "unavailable",
		    "no leader at the moment; nothing was done");
	else
		reply_message(c, handle, 504, "unknown",
		    "outcome unknown; it is safe to send the same again");
}

/// HTTP status for the "status" of a note's result.
static int
http_status_of(const char *status)
{
	if (strcmp(status, "accepted") == 0)
		return 200;
	if (strcmp(status, "conflict") == 0)
		return 409;
	return 400;
}

static void
on_note_done(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct control_pending *p = arg;
	struct control *c = p->control;
	json_t *o = NULL;
	const char *outcome;
	int http_status;

	if (status != STATUS_OK) {
		reply_failed(c, p->handle, status);
		g_free(p);
		return;
	}
	o = json_loadb((const char *)bytes, len, 0, NULL);
	outcome = json_string_value(json_object_get(o, "status"));
	http_status = http_status_of(outcome != NULL ? outcome : "");
	metrics_observe(
	    c->accept_latency, loop_now_us(c->loop) - p->started_us);
	if (http_status == 200)
		c->n_notes->value++;
	if (http_status == 409)
		c->n_conflicts->value++;
	httpd_reply(c->operators, p->handle, http_status, NULL, CONTROL_JSON,
	    bytes, len);
	json_decref(o);
	g_free(p);
}

static struct control_pending *
pending_new(struct control *c, handle_t handle)
{
	struct control_pending *p = g_new0(struct control_pending, 1);

	p->control = c;
	p->handle = handle;
	p->started_us = loop_now_us(c->loop);
	return p;
}

static void
reply_problems(
    struct control *c, handle_t handle, const struct spec_problems *problems)
{
	struct catalog_result r = { .status = CATALOG_INVALID,
		.problems = *problems };
	char *json;

	(void)g_strlcpy(r.message, "the note has mistakes", sizeof(r.message));
	json = control_result_json(&r);
	reply_json(c, handle, 400, json);
	g_free(json);
}

static void
submit_note(struct control *c, handle_t handle, const struct httpd_request *req)
{
	struct spec_problems problems = { 0 };
	struct catalog_command command = { .kind = CATALOG_CMD_NOTE };
	struct spec_note *note;
	char *text;

	if (spec_parse_note((const char *)req->body, req->len, &note,
		&problems) != STATUS_OK) {
		reply_problems(c, handle, &problems);
		spec_problems_free(&problems);
		return;
	}
	text = spec_canonical_json(note);
	command.note.text = text;
	command.note.len = strlen(text);
	control_propose_config(
	    c, &command, on_note_done, pending_new(c, handle));
	free(text);
	spec_note_free(note);
}

static void
on_query_done(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct control_pending *p = arg;

	if (status != STATUS_OK || len < 3) {
		reply_failed(p->control, p->handle,
		    status == STATUS_OK ? STATUS_TIMEOUT : STATUS_UNAVAILABLE);
	} else {
		const int http_status = (bytes[0] - '0') * 100 +
		    (bytes[1] - '0') * 10 + (bytes[2] - '0');

		httpd_reply(p->control->operators, p->handle, http_status, NULL,
		    CONTROL_JSON, bytes + 3, len - 3);
	}
	g_free(p);
}

static void
reply_metrics(struct control *c, handle_t handle)
{
	struct metrics_registry *set = loop_counters(c->loop);

	metrics_gauge(set, "ac_config_revision", "")->value =
	    catalog_revision(c->config);
	metrics_gauge(set, "ac_config_sequence", "")->value =
	    catalog_sequence(c->config);
	metrics_gauge(set, "ac_leads", "")->value =
	    control_is_leader(c, CONTROL_CONFIG_GROUP);
	metrics_gauge(set, "ac_peer_bytes_sent_total", "")->value =
	    transport_bytes_sent(c->links);
	metrics_gauge(set, "ac_peer_bytes_received_total", "")->value =
	    transport_bytes_received(c->links);
	metrics_gauge(set, "ac_entries_connected", "")->value =
	    g_hash_table_size(c->entries);
	httpd_reply_metrics(c->operators, handle, set);
}

static void
reply_report(struct control *c, handle_t handle, const char *query)
{
	enum slo_format format = SLO_JSON;
	const char *type = CONTROL_JSON;
	char *text;

	if (strcmp(query, "format=text") == 0) {
		format = SLO_TEXT;
		type = "text/plain; charset=utf-8";
	} else if (strcmp(query, "format=html") == 0) {
		format = SLO_HTML;
		type = "text/html; charset=utf-8";
	}
	text = control_slo_report(c, format);
	httpd_reply(c->operators, handle, 200, NULL, type, text, strlen(text));
	free(text);
}

static void
on_request(void *arg, handle_t handle, const struct httpd_request *req)
{
	struct control *c = arg;
	const bool notes = strcmp(req->path, "/v1/notes") == 0;

	if (strcmp(req->path, "/healthz") == 0) {
		reply_message(c, handle, c->stopping ? 503 : 200,
		    c->stopping ? "stopping" : "ok", "");
		return;
	}
	if (!httpd_check_bearer(
		c->operators, handle, c->settings.operator_token)) {
		reply_message(c, handle, 401, "refused", "operator token");
		return;
	}
	if (strcmp(req->path, "/metrics") == 0) {
		reply_metrics(c, handle);
		return;
	}
	if (notes && req->method == HTTPD_METHOD_POST) {
		submit_note(c, handle, req);
		return;
	}
	if (strcmp(req->path, "/v1/report") == 0) {
		reply_report(c, handle, req->query);
		return;
	}
	if (req->method == HTTPD_METHOD_GET) {
		control_query(
		    c, req->path, on_query_done, pending_new(c, handle));
		return;
	}
	reply_message(c, handle, 405, "refused", "no such call");
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
control_operators_start(struct control *c)
{
	const struct httpd_config config = {
		.base = loop_event_base(c->loop),
		.max_body_bytes = CONTROL_MAX_NOTE_BYTES,
		.idle_ms = CONTROL_OPERATOR_IDLE_MS,
		.tls = c->keys != NULL ? tlsctx_server(c->keys) : NULL,
		.on_request = on_request,
		.on_disconnect = on_operator_gone,
		.arg = c,
	};

	c->operators = httpd_new(&config);
	return httpd_listen(c->operators, c->settings.operators.host,
	    c->settings.operators.port);
}
