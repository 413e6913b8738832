#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#define REQ_RETRY_US (50 * USEC_PER_MSEC)
#define REQ_COALESCE_POLL_US (50 * USEC_PER_MSEC)
#define REQ_LOOKUP_EVERY_US (300 * USEC_PER_MSEC)
#define REQ_LOOKUP_TIMEOUT_US (1 * USEC_PER_SEC)
/// Lookups of one request, REQ_LOOKUP_EVERY_US apart. Bytes that a process left
/// in its socket may still arrive after its end, so a service that hasn't seen
/// the request may still receive it during this time.
#define REQ_MAX_LOOKUPS 8

/// A command or query to the journal. The request may have been released when
/// the response comes.
struct journal_call {
	struct entry *entry;
	handle_t request;
	uint64_t started_us;
};

static struct journal_call *
journal_call_new(const struct req *q)
{
	struct journal_call *call = g_new0(struct journal_call, 1);

	call->entry = q->entry;
	call->request = q->handle;
	call->started_us = loop_now_us(q->entry->loop);
	return call;
}

/// Releases a call and records its time.
///
/// @return the request, or NULL when it was released
static struct req *
journal_call_end(struct journal_call *call)
{
	struct req *q = slotmap_get(call->entry->requests, call->request);

	metrics_observe(call->entry->journal_hist,
	    loop_now_us(call->entry->loop) - call->started_us);
	g_free(call);
	return q;
}

/// The node name and incarnation of this process.
static struct journal_node
self_node(const struct entry *e)
{
	struct journal_node self = { .incarnation = loop_incarnation(e->loop) };

	(void)g_strlcpy(self.name, e->settings.node, sizeof(self.name));
	return self;
}

static bool
is_self(const struct entry *e, const struct journal_node *other)
{
	return other->incarnation == loop_incarnation(e->loop) &&
	    strcmp(other->name, e->settings.node) == 0;
}

static void
retry_later(struct req *q, enum req_state state, uint64_t in_us)
{
	q->state = state;
	timerq_arm_in(q->timer, in_us);
}

static bool
is_past_deadline(const struct req *q)
{
	return q->caller != HANDLE_NONE &&
	    loop_now_us(q->entry->loop) >= q->deadline_us;
}

/// Tells the caller, whose deadline has passed, that the outcome is unknown.
/// The request continues without a caller.
static void
detach_caller(struct req *q)
{
	entry_reply_error(q->entry, q->caller, 504, q->id, VERDICT_MAY_HAVE_RUN,
	    0, "accepted; no answer within the deadline");
	req_set_caller(q, HANDLE_NONE);
}

static void
reply_accepted(struct req *q, const char *id)
{
	const struct httpd_header headers[HTTPD_MAX_HEADERS] = {
		{ "X-Request-Id", id },
	};
	json_t *o =
	    json_pack("{s:s, s:s}", "request_id", id, "state", "accepted");
	char *text = json_dumps(o, JSON_COMPACT);

	httpd_reply(q->entry->callers, q->caller, 202, headers,
	    "application/json", text, strlen(text));
	req_set_caller(q, HANDLE_NONE);
	free(text);
	json_decref(o);
}

/// Sends the caller the final outcome that the journal has recorded.
static void
reply_final(struct req *q, const struct journal_record *r)
{
	req_set_id(q, r->id);
	if (r->phase != JOURNAL_PHASE_ANSWERED) {
		req_fail(q, 502,
		    r->phase == JOURNAL_PHASE_NOT_RUN ? VERDICT_NOT_RUN
						      : VERDICT_MAY_HAVE_RUN,
		    "the request ended without an answer");
		return;
	}
	g_free(q->response);
	q->response_status = r->http_status;
	(void)g_strlcpy(
	    q->response_type, r->response_type, sizeof(q->response_type));
	q->response = g_memdup2(r->response, r->response_len);
	q->response_len = r->response_len;
	req_reply_service(q);
}

static void
on_coalesced_polled(
    void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = journal_call_end(arg);
	struct journal_result_view view;

	if (q == NULL)
		return;
	if (status == STATUS_OK &&
	    journal_result_decode(bytes, len, &view) == STATUS_OK &&
	    view.has_record && view.record.outcome_us != 0) {
		reply_final(q, &view.record);
		return;
	}
	if (is_past_deadline(q)) {
		req_fail(q, 504, VERDICT_MAY_HAVE_RUN,
		    "accepted; no answer within the deadline");
		return;
	}
	retry_later(q, REQ_COALESCED, REQ_COALESCE_POLL_US);
}

/// Another request with the same idempotency key, or another entry, runs the
/// request: polls the journal for its outcome.
void
req_journal_coalesce(struct req *q)
{
	if (q->caller == HANDLE_NONE) {
		req_free(q);
		return;
	}
	q->state = REQ_COALESCED;
	entry_query(q->entry, journal_group_of_id(q->coalesced_with),
	    q->coalesced_with, on_coalesced_polled, journal_call_new(q));
}

static void
coalesce_with(struct req *q, const char *id)
{
	(void)g_strlcpy(q->coalesced_with, id, sizeof(q->coalesced_with));
	req_journal_coalesce(q);
}

static void
handle_acceptance(struct req *q, const struct journal_result_view *view)
{
	const bool is_own_record =
	    view->has_record && strcmp(view->record.id, q->id) == 0;

	switch (view->status) {
	case JOURNAL_APPLIED:
	case JOURNAL_DUPLICATE:
		if (!is_own_record && view->record.outcome_us != 0) {
			reply_final(q, &view->record);
			return;
		}
		q->journal_accepted = is_own_record;
		if (q->route.mode == SPEC_MODE_ASYNC &&
		    q->caller != HANDLE_NONE)
			reply_accepted(q, view->record.id);
		if (is_own_record)
			req_journal_permit(q);
		else
			coalesce_with(q, view->record.id);
		return;
	case JOURNAL_KEY_REUSED:
		req_fail(q, 409, VERDICT_NOT_RUN,
		    "the idempotency key was used for another body");
		return;
	case JOURNAL_REFUSED:
		req_fail(q, 503, VERDICT_NOT_RUN, view->message);
		return;
	case JOURNAL_NOT_FOUND:
		req_fail(q, 500, VERDICT_NOT_RUN, view->message);
		return;
	}
}

static void
on_accept_recorded(
    void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = journal_call_end(arg);
	struct journal_result_view view;

	if (q == NULL)
		return;
	if (status == STATUS_OK &&
	    journal_result_decode(bytes, len, &view) == STATUS_OK) {
		handle_acceptance(q, &view);
		return;
	}
	// None of the proposals was recorded, so nobody can run it.
	if (status == STATUS_UNAVAILABLE && !q->accept_unknown) {
		req_fail(
		    q, 503, VERDICT_NOT_RUN, "the journal can't be written");
		return;
	}
	q->accept_unknown = true;
	if (is_past_deadline(q))
		detach_caller(q);
	retry_later(q, REQ_ACCEPTING, REQ_RETRY_US);
}

/// Records the request in the journal. Processing continues once a quorum has
/// the record.
void
req_journal_accept(struct req *q)
{
	struct journal_command c = {
		.kind = JOURNAL_CMD_ACCEPT,
		.now_us = loop_wall_us(),
		.accept = {
			.idempotent = q->route.idempotent,
			.body = q->body,
			.len = q->len,
			.owner = self_node(q->entry),
		},
	};

	q->state = REQ_ACCEPTING;
	(void)g_strlcpy(c.id, q->id, sizeof(c.id));
	(void)g_strlcpy(c.accept.key, q->key, sizeof(c.accept.key));
	(void)g_strlcpy(
	    c.accept.customer, q->customer, sizeof(c.accept.customer));
	(void)g_strlcpy(c.accept.route, q->route.path, sizeof(c.accept.route));
	(void)g_strlcpy(c.accept.content_type, q->content_type,
	    sizeof(c.accept.content_type));
	c.accept.body_hash = journal_body_hash(q->body, q->len);
	entry_propose_journal(
	    q->entry, &c, on_accept_recorded, journal_call_new(q));
}

static void
handle_permit(struct req *q, const struct journal_result_view *view)
{
	if (view->status == JOURNAL_APPLIED ||
	    view->status == JOURNAL_DUPLICATE) {
		if (view->has_record && view->record.outcome_us != 0) {
			coalesce_with(q, q->id);
			return;
		}
		req_send_picked(q);
		return;
	}
	// Another entry has the permit, or the request has its outcome.
	coalesce_with(q, q->id);
}

static void
on_permit_recorded(
    void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = journal_call_end(arg);
	struct journal_result_view view;

	if (q == NULL)
		return;
	if (status == STATUS_OK &&
	    journal_result_decode(bytes, len, &view) == STATUS_OK) {
		handle_permit(q, &view);
		return;
	}
	if (is_past_deadline(q))
		detach_caller(q);
	retry_later(q, REQ_PERMITTING, REQ_RETRY_US);
}

static void
propose_permit(struct req *q)
{
	struct journal_command c = {
		.kind = JOURNAL_CMD_PERMIT,
		.now_us = loop_wall_us(),
		.permit = { .attempt = q->attempt },
	};

	q->state = REQ_PERMITTING;
	(void)g_strlcpy(c.id, q->id, sizeof(c.id));
	c.permit.holder = self_node(q->entry);
	(void)g_strlcpy(
	    c.permit.server, q->target.server, sizeof(c.permit.server));
	entry_propose_journal(
	    q->entry, &c, on_permit_recorded, journal_call_new(q));
}

static void
on_withdraw_recorded(
    void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = journal_call_end(arg);
	struct journal_result_view view;

	if (q == NULL)
		return;
	if (status == STATUS_OK &&
	    journal_result_decode(bytes, len, &view) == STATUS_OK &&
	    view.has_record && view.record.phase == JOURNAL_PHASE_NOT_RUN) {
		req_fail(
		    q, 503, VERDICT_NOT_RUN, "no backend server at present");
		return;
	}
	if (q->caller != HANDLE_NONE)
		detach_caller(q);
	retry_later(q, REQ_PERMITTING, REQ_RETRY_US);
}

/// Withdraws a request for which no server was found within the deadline. Only
/// when the journal has recorded this, "not run" is certain.
static void
withdraw(struct req *q)
{
	struct journal_command c = {
		.kind = JOURNAL_CMD_WITHDRAW,
		.now_us = loop_wall_us(),
	};

	q->state = REQ_CANCELLING;
	(void)g_strlcpy(c.id, q->id, sizeof(c.id));
	entry_propose_journal(
	    q->entry, &c, on_withdraw_recorded, journal_call_new(q));
}

/// Chooses a server and proposes a dispatch permit for it. While its outcome is
/// unknown, the same permit is proposed again.
void
req_journal_permit(struct req *q)
{
	if (q->state == REQ_PERMITTING && q->permit_unknown) {
		propose_permit(q);
		return;
	}
	if (req_pick_server(q, &q->target) == STATUS_OK) {
		q->permit_unknown = true;
		q->attempt++;
		propose_permit(q);
		return;
	}
	if (is_past_deadline(q)) {
		withdraw(q);
		return;
	}
	retry_later(q, REQ_BACKOFF, REQ_RETRY_US);
}

/// Continues when the end of an attempt is journaled: replies if the record has
/// an outcome. Otherwise the request is tried again if this entry owns it, or
/// waits for the outcome of the entry that does.
static void
handle_recorded_outcome(struct req *q, const struct journal_result_view *view)
{
	const struct journal_record *r = &view->record;

	q->permit_unknown = false;
	if (!view->has_record) {
		req_fail(q, 500, VERDICT_MAY_HAVE_RUN, "the journal lost it");
		return;
	}
	if (r->outcome_us != 0) {
		if (q->caller != HANDLE_NONE)
			reply_final(q, r);
		else
			req_free(q);
		return;
	}
	// The permit was returned unused, or an attempt of an idempotent call
	// has an unknown outcome.
	if (is_self(q->entry, &r->owner))
		retry_later(q, REQ_BACKOFF, REQ_RETRY_US);
	else
		coalesce_with(q, q->id);
}

static void
on_outcome_recorded(
    void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = journal_call_end(arg);
	struct journal_result_view view;

	if (q == NULL)
		return;
	if (status == STATUS_OK &&
	    journal_result_decode(bytes, len, &view) == STATUS_OK) {
		handle_recorded_outcome(q, &view);
		return;
	}
	if (is_past_deadline(q))
		detach_caller(q);
	retry_later(q, REQ_RECORDING, REQ_RETRY_US);
}

/// Records how the attempt ended. The caller gets its response once a quorum
/// has the record. If it is unknown whether a call ran that is not idempotent,
/// the service is queried first.
void
req_journal_outcome(struct req *q, enum verdict verdict)
{
	struct journal_command c = {
		.kind = verdict == VERDICT_NOT_RUN ? JOURNAL_CMD_RETURN_PERMIT
						   : JOURNAL_CMD_OUTCOME,
		.now_us = loop_wall_us(),
	};

	q->outcome = verdict;
	(void)g_strlcpy(c.id, q->id, sizeof(c.id));
	if (verdict == VERDICT_MAY_HAVE_RUN && q->kind == SPEC_SERVER_SERVICE &&
	    !q->route.idempotent && q->n_lookups == 0) {
		req_journal_lookup(q);
		return;
	}
	// An idempotent call gets another attempt without a record.
	if (verdict == VERDICT_MAY_HAVE_RUN && q->route.idempotent) {
		q->permit_unknown = false;
		retry_later(q, REQ_BACKOFF, REQ_RETRY_US);
		return;
	}
	q->state = REQ_RECORDING;
	if (verdict == VERDICT_NOT_RUN) {
		c.return_permit.attempt = q->attempt;
		c.return_permit.by = self_node(q->entry);
	} else {
		req_build_response(q);
		c.outcome.attempt = q->attempt;
		c.outcome.by = self_node(q->entry);
		c.outcome.verdict = verdict;
		c.outcome.http_status = q->response_status;
		(void)g_strlcpy(c.outcome.answer_type, q->response_type,
		    sizeof(c.outcome.answer_type));
		c.outcome.answer = q->response;
		c.outcome.len = q->response_len;
	}
	entry_propose_journal(
	    q->entry, &c, on_outcome_recorded, journal_call_new(q));
}

/// Takes the response from the service's record of a request that ran there.
///
/// @return false when it has no such record
static bool
take_recorded_response(struct req *q, const struct httpc_result *result)
{
	json_t *o = httpc_json(result);
	const char *body;

	if (json_integer_value(json_object_get(o, "runs")) < 1) {
		json_decref(o);
		return false;
	}
	body = json_string_value(json_object_get(o, "body"));
	q->response_status =
	    (int)json_integer_value(json_object_get(o, "status"));
	g_free(q->response);
	if (body != NULL) {
		q->response_len = strlen(body);
		q->response = g_memdup2(body, q->response_len);
	} else {
		char *text = json_dumps(
		    json_object_get(o, "body"), JSON_COMPACT | JSON_ENCODE_ANY);

		q->response_len = text != NULL ? strlen(text) : 0;
		q->response = g_memdup2(text, q->response_len);
		free(text);
	}
	(void)g_strlcpy(
	    q->response_type, "application/json", sizeof(q->response_type));
	json_decref(o);
	return true;
}

/// Takes the response that the service recorded for the request. Without one,
/// asks again later, up to REQ_MAX_LOOKUPS times, and then ends the attempt
/// with the verdict "may have run".
static void
on_lookup_done(void *arg, const struct httpc_result *result)
{
	struct req *q = arg;

	q->http_call = HANDLE_NONE;
	if (take_recorded_response(q, result)) {
		req_journal_outcome(q, VERDICT_RAN);
		return;
	}
	// An idempotent call can be sent again without further lookups.
	if (q->n_lookups < REQ_MAX_LOOKUPS && !q->route.idempotent) {
		retry_later(q, REQ_QUERYING, REQ_LOOKUP_EVERY_US);
		return;
	}
	req_journal_outcome(q, VERDICT_MAY_HAVE_RUN);
}

/// Asks the service named in the permit whether the request ran there.
void
req_journal_lookup(struct req *q)
{
	char path[JOURNAL_ID_BYTES + 8];
	const struct httpc_request call = {
		.method = "GET",
		.host = q->target.host,
		.port = q->target.port,
		.path = path,
		.timeout_us = REQ_LOOKUP_TIMEOUT_US,
		.on_end = on_lookup_done,
		.arg = q,
	};

	if (is_past_deadline(q))
		detach_caller(q);
	q->state = REQ_QUERYING;
	q->n_lookups++;
	(void)g_snprintf(path, sizeof(path), "/runs/%s", q->id);
	q->http_call = httpc_send(q->entry->http, &call);
	if (q->http_call == HANDLE_NONE)
		retry_later(q, REQ_QUERYING, REQ_LOOKUP_EVERY_US);
}

/// Recreates a request from its journal record, without a caller.
///
/// @return NULL when its route is not in the configuration any more
static struct req *
req_from_record(struct entry *e, const struct journal_record *r)
{
	const struct spec_route *route = catalog_route(e->config, r->route);
	const struct spec_pool *pool;
	struct req *q;

	if (route == NULL)
		return NULL;
	pool = catalog_pool(e->config, route->pool);
	q = req_new(e, HANDLE_NONE);
	q->route = *route;
	q->route.idempotent = r->idempotent;
	q->kind = pool != NULL ? pool->kind : SPEC_SERVER_SERVICE;
	q->journaled = true;
	q->journal_accepted = true;
	(void)g_strlcpy(q->id, r->id, sizeof(q->id));
	(void)g_strlcpy(q->key, r->key, sizeof(q->key));
	(void)g_strlcpy(q->customer, r->customer, sizeof(q->customer));
	(void)g_strlcpy(
	    q->content_type, r->content_type, sizeof(q->content_type));
	q->body = g_memdup2(r->body, r->body_len);
	q->len = r->body_len;
	q->attempt = r->attempt;
	q->arrived_us = loop_now_us(e->loop);
	q->deadline_us = UINT64_MAX;
	return q;
}

/// Continues a request whose attempt was in flight when its owner was lost.
/// Only the service knows whether the attempt ran.
static void
resume_running(struct req *q, const struct journal_record *r)
{
	struct entry *e = q->entry;
	const struct catalog_server *s = catalog_server(e->config, r->server);

	if (q->kind == SPEC_SERVER_RUNNER || q->route.idempotent || s == NULL) {
		req_journal_outcome(q, VERDICT_MAY_HAVE_RUN);
		return;
	}
	(void)g_strlcpy(q->target.host, s->spec.host, sizeof(q->target.host));
	(void)g_strlcpy(q->target.server, r->server, sizeof(q->target.server));
	q->target.port = s->spec.port;
	req_journal_lookup(q);
}

/// Handles WIRE_EXECUTE: the leader of a journal group assigns an unfinished
/// request to this entry. A request that is in progress here is left alone.
void
req_journal_resume(struct entry *e, const struct wire_bytes *bytes)
{
	struct journal_result_view view;
	const struct journal_record *r = &view.record;
	struct req *q;

	if (journal_result_decode(bytes->data, bytes->len, &view) !=
		STATUS_OK ||
	    !view.has_record || r->outcome_us != 0 || !is_self(e, &r->owner))
		return;
	q = g_hash_table_lookup(e->reqs_by_id, r->id);
	if (q != NULL) {
		logger_event(LOGGER_DEBUG, "request.reminded",
		    "request=%s state=%d attempt=%u recorded=%u", q->id,
		    (int)q->state, q->attempt, r->attempt);
		return;
	}
	q = req_from_record(e, r);
	if (q == NULL)
		return;
	if (q->kind == SPEC_SERVER_RUNNER && req_parse_completion(q) != NULL) {
		req_free(q);
		return;
	}
	logger_event(LOGGER_INFO, "request.taken_over",
	    "request=%s phase=\"%s\"", q->id, journal_phase_name(r->phase));
	(void)g_hash_table_insert(e->reqs_by_id, q->id, q);
	if (r->phase == JOURNAL_PHASE_RUNNING) {
		resume_running(q, r);
		return;
	}
	q->state = REQ_BACKOFF;
	req_admit(q);
}
