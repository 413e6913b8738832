#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#define REQ_AGAIN_US (50 * USEC_PER_MSEC)
#define REQ_POLL_US (50 * USEC_PER_MSEC)
#define REQ_LOOKUP_EVERY_US (300 * USEC_PER_MSEC)
#define REQ_LOOKUP_TIMEOUT_US (1 * USEC_PER_SEC)
/// Bytes that a process left in its socket may still arrive so long after
/// its end; until then a service that never saw the request may yet see it.
#define REQ_MAX_LOOKUPS 8

/// A question to the journal; the request may be gone when it is answered.
struct step {
	struct entry *en;
	handle_t request;
	uint64_t asked_us;
};

static struct step *
step_new(const struct req *q)
{
	struct step *s = g_new0(struct step, 1);

	s->en = q->en;
	s->request = q->self;
	s->asked_us = loop_now_us(q->en->loop);
	return s;
}

/// @return the request, or NULL when it is gone
static struct req *
step_end(struct step *s)
{
	struct req *q = slotmap_get(s->en->requests, s->request);

	metrics_observe(s->en->journal, loop_now_us(s->en->loop) - s->asked_us);
	g_free(s);
	return q;
}

static struct journal_node
self_entry(const struct entry *e)
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
again(struct req *q, enum req_state state, uint64_t in_us)
{
	q->state = state;
	timerq_arm_in(q->timer, in_us);
}

static bool
is_late(const struct req *q)
{
	return q->caller != HANDLE_NONE &&
	    loop_now_us(q->en->loop) >= q->deadline_us;
}

/// The caller's time is over while the outcome isn't known: it is told so,
/// and the request goes on without it.
static void
let_caller_go(struct req *q)
{
	entry_reply_error(q->en, q->caller, 504, q->id, VERDICT_MAY_HAVE_RUN, 0,
	    "accepted; no answer within the deadline");
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

	httpd_reply(q->en->callers, q->caller, 202, headers, "application/json",
	    text, strlen(text));
	req_set_caller(q, HANDLE_NONE);
	free(text);
	json_decref(o);
}

/// Gives the caller what the journal holds as final.
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
	g_free(q->answer);
	q->answer_status = r->http_status;
	(void)g_strlcpy(q->answer_type, r->answer_type, sizeof(q->answer_type));
	q->answer = g_memdup2(r->answer, r->answer_len);
	q->answer_len = r->answer_len;
	req_reply_service(q);
}

static void
on_polled(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = step_end(arg);
	struct journal_result_view view;

	if (q == NULL)
		return;
	if (status == STATUS_OK &&
	    journal_result_decode(bytes, len, &view) == STATUS_OK &&
	    view.has_record && view.record.ended_us != 0) {
		reply_final(q, &view.record);
		return;
	}
	if (is_late(q)) {
		req_fail(q, 504, VERDICT_MAY_HAVE_RUN,
		    "accepted; no answer within the deadline");
		return;
	}
	again(q, REQ_COALESCED, REQ_POLL_US);
}

/// Another request of the same key, or another entry, runs it: waits for
/// what the journal records.
void
req_journal_coalesce(struct req *q)
{
	if (q->caller == HANDLE_NONE) {
		req_free(q);
		return;
	}
	q->state = REQ_COALESCED;
	entry_query(q->en, journal_group_of_id(q->followed), q->followed,
	    on_polled, step_new(q));
}

static void
follow(struct req *q, const char *id)
{
	(void)g_strlcpy(q->followed, id, sizeof(q->followed));
	req_journal_coalesce(q);
}

static void
take_acceptance(struct req *q, const struct journal_result_view *view)
{
	const bool own =
	    view->has_record && strcmp(view->record.id, q->id) == 0;

	switch (view->outcome) {
	case JOURNAL_APPLIED:
	case JOURNAL_DUPLICATE:
		if (!own && view->record.ended_us != 0) {
			reply_final(q, &view->record);
			return;
		}
		q->accepted = own;
		if (q->route.mode == SPEC_MODE_ASYNC &&
		    q->caller != HANDLE_NONE)
			reply_accepted(q, view->record.id);
		if (own)
			req_journal_permit(q);
		else
			follow(q, view->record.id);
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
on_accepted(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = step_end(arg);
	struct journal_result_view view;

	if (q == NULL)
		return;
	if (status == STATUS_OK &&
	    journal_result_decode(bytes, len, &view) == STATUS_OK) {
		take_acceptance(q, &view);
		return;
	}
	// Certainly not recorded, by none of the tries: nobody can run it.
	if (status == STATUS_UNAVAILABLE && !q->accept_unknown) {
		req_fail(
		    q, 503, VERDICT_NOT_RUN, "the journal can't be written");
		return;
	}
	q->accept_unknown = true;
	if (is_late(q))
		let_caller_go(q);
	again(q, REQ_ACCEPTING, REQ_AGAIN_US);
}

/// Records the request; what follows happens when the quorum has it.
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
			.owner = self_entry(q->en),
		},
	};

	q->state = REQ_ACCEPTING;
	(void)g_strlcpy(c.id, q->id, sizeof(c.id));
	(void)g_strlcpy(c.accept.key, q->key, sizeof(c.accept.key));
	(void)g_strlcpy(
	    c.accept.customer, q->customer, sizeof(c.accept.customer));
	(void)g_strlcpy(c.accept.route, q->route.path, sizeof(c.accept.route));
	(void)g_strlcpy(
	    c.accept.content_type, q->type, sizeof(c.accept.content_type));
	c.accept.body_hash = journal_body_hash(q->body, q->len);
	entry_propose_journal(q->en, &c, on_accepted, step_new(q));
}

static void
take_permission(struct req *q, const struct journal_result_view *view)
{
	if (view->outcome == JOURNAL_APPLIED ||
	    view->outcome == JOURNAL_DUPLICATE) {
		if (view->has_record && view->record.ended_us != 0) {
			follow(q, q->id);
			return;
		}
		req_send_picked(q);
		return;
	}
	// Another entry has it, or it has an outcome.
	follow(q, q->id);
}

static void
on_permitted(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = step_end(arg);
	struct journal_result_view view;

	if (q == NULL)
		return;
	if (status == STATUS_OK &&
	    journal_result_decode(bytes, len, &view) == STATUS_OK) {
		take_permission(q, &view);
		return;
	}
	if (is_late(q))
		let_caller_go(q);
	again(q, REQ_PERMITTING, REQ_AGAIN_US);
}

static void
ask_permission(struct req *q)
{
	struct journal_command c = {
		.kind = JOURNAL_CMD_PERMIT,
		.now_us = loop_wall_us(),
		.permit = { .attempt = q->attempt },
	};

	q->state = REQ_PERMITTING;
	(void)g_strlcpy(c.id, q->id, sizeof(c.id));
	c.permit.holder = self_entry(q->en);
	(void)g_strlcpy(
	    c.permit.server, q->target.server, sizeof(c.permit.server));
	entry_propose_journal(q->en, &c, on_permitted, step_new(q));
}

static void
on_withdrawn(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = step_end(arg);
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
		let_caller_go(q);
	again(q, REQ_PERMITTING, REQ_AGAIN_US);
}

/// No server was found within the caller's time: takes the request back by
/// a record, so that "not run" is true.
static void
withdraw(struct req *q)
{
	struct journal_command c = {
		.kind = JOURNAL_CMD_WITHDRAW,
		.now_us = loop_wall_us(),
	};

	q->state = REQ_CANCELLING;
	(void)g_strlcpy(c.id, q->id, sizeof(c.id));
	entry_propose_journal(q->en, &c, on_withdrawn, step_new(q));
}

/// Chooses a server and asks for the permission to send there. The same
/// permission is asked again until its outcome is known.
void
req_journal_permit(struct req *q)
{
	if (q->state == REQ_PERMITTING && q->permit_unknown) {
		ask_permission(q);
		return;
	}
	if (req_pick_server(q, &q->target) == STATUS_OK) {
		q->permit_unknown = true;
		q->attempt++;
		ask_permission(q);
		return;
	}
	if (is_late(q)) {
		withdraw(q);
		return;
	}
	again(q, REQ_BACKOFF, REQ_AGAIN_US);
}

static void
take_outcome(struct req *q, const struct journal_result_view *view)
{
	const struct journal_record *r = &view->record;

	q->permit_unknown = false;
	if (!view->has_record) {
		req_fail(q, 500, VERDICT_MAY_HAVE_RUN, "the journal lost it");
		return;
	}
	if (r->ended_us != 0) {
		if (q->caller != HANDLE_NONE)
			reply_final(q, r);
		else
			req_free(q);
		return;
	}
	// Given back, or an attempt of an idempotent call ended unknown.
	if (is_self(q->en, &r->owner))
		again(q, REQ_BACKOFF, REQ_AGAIN_US);
	else
		follow(q, q->id);
}

static void
on_recorded(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct req *q = step_end(arg);
	struct journal_result_view view;

	if (q == NULL)
		return;
	if (status == STATUS_OK &&
	    journal_result_decode(bytes, len, &view) == STATUS_OK) {
		take_outcome(q, &view);
		return;
	}
	if (is_late(q))
		let_caller_go(q);
	again(q, REQ_RECORDING, REQ_AGAIN_US);
}

/// Records how the attempt ended; the caller hears of it when the quorum has
/// the record.
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
	// An idempotent call just gets another attempt.
	if (verdict == VERDICT_MAY_HAVE_RUN && q->route.idempotent) {
		q->permit_unknown = false;
		again(q, REQ_BACKOFF, REQ_AGAIN_US);
		return;
	}
	q->state = REQ_RECORDING;
	if (verdict == VERDICT_NOT_RUN) {
		c.give_back.attempt = q->attempt;
		c.give_back.by = self_entry(q->en);
	} else {
		req_build_response(q);
		c.outcome.attempt = q->attempt;
		c.outcome.by = self_entry(q->en);
		c.outcome.verdict = verdict;
		c.outcome.http_status = q->answer_status;
		(void)g_strlcpy(c.outcome.answer_type, q->answer_type,
		    sizeof(c.outcome.answer_type));
		c.outcome.answer = q->answer;
		c.outcome.len = q->answer_len;
	}
	entry_propose_journal(q->en, &c, on_recorded, step_new(q));
}

/// The service says that the request ran there: its answer counts.
static bool
take_run(struct req *q, const struct httpc_result *result)
{
	json_t *o = httpc_json(result);
	const char *body;

	if (json_integer_value(json_object_get(o, "runs")) < 1) {
		json_decref(o);
		return false;
	}
	body = json_string_value(json_object_get(o, "body"));
	q->answer_status =
	    (int)json_integer_value(json_object_get(o, "status"));
	g_free(q->answer);
	if (body != NULL) {
		q->answer_len = strlen(body);
		q->answer = g_memdup2(body, q->answer_len);
	} else {
		char *text = json_dumps(
		    json_object_get(o, "body"), JSON_COMPACT | JSON_ENCODE_ANY);

		q->answer_len = text != NULL ? strlen(text) : 0;
		q->answer = g_memdup2(text, q->answer_len);
		free(text);
	}
	(void)g_strlcpy(
	    q->answer_type, "application/json", sizeof(q->answer_type));
	json_decref(o);
	return true;
}

static void
on_looked_up(void *arg, const struct httpc_result *result)
{
	struct req *q = arg;

	q->call = HANDLE_NONE;
	if (take_run(q, result)) {
		req_journal_outcome(q, VERDICT_RAN);
		return;
	}
	// An idempotent call can be sent again at once.
	if (q->n_lookups < REQ_MAX_LOOKUPS && !q->route.idempotent) {
		again(q, REQ_QUERYING, REQ_LOOKUP_EVERY_US);
		return;
	}
	req_journal_outcome(q, VERDICT_MAY_HAVE_RUN);
}

/// Asks the service that had the permission whether the request ran.
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
		.on_end = on_looked_up,
		.arg = q,
	};

	if (is_late(q))
		let_caller_go(q);
	q->state = REQ_QUERYING;
	q->n_lookups++;
	(void)g_snprintf(path, sizeof(path), "/runs/%s", q->id);
	q->call = httpc_send(q->en->http, &call);
	if (q->call == HANDLE_NONE)
		again(q, REQ_QUERYING, REQ_LOOKUP_EVERY_US);
}

/// Makes a request again from its record, in this entry, without a caller.
static struct req *
from_record(struct entry *e, const struct journal_record *r)
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
	q->accepted = true;
	(void)g_strlcpy(q->id, r->id, sizeof(q->id));
	(void)g_strlcpy(q->key, r->key, sizeof(q->key));
	(void)g_strlcpy(q->customer, r->customer, sizeof(q->customer));
	(void)g_strlcpy(q->type, r->content_type, sizeof(q->type));
	q->body = g_memdup2(r->body, r->len);
	q->len = r->len;
	q->attempt = r->attempt;
	q->arrived_us = loop_now_us(e->loop);
	q->deadline_us = UINT64_MAX;
	return q;
}

/// Goes on with an attempt whose holder is gone: only the service knows
/// whether it ran.
static void
resume_running(struct req *q, const struct journal_record *r)
{
	struct entry *e = q->en;
	const struct catalog_server *s = catalog_server(e->config, r->server);

	if (q->kind == SPEC_SERVER_RUNNER || q->route.idempotent || s == NULL) {
		req_journal_outcome(q, VERDICT_MAY_HAVE_RUN);
		return;
	}
	(void)g_strlcpy(q->target.host, s->conf.host, sizeof(q->target.host));
	(void)g_strlcpy(q->target.server, r->server, sizeof(q->target.server));
	q->target.port = s->conf.port;
	req_journal_lookup(q);
}

/// The leader of a journal group asks this entry to finish a request.
void
req_journal_resume(struct entry *e, const struct wire_bytes *bytes)
{
	struct journal_result_view view;
	const struct journal_record *r = &view.record;
	struct req *q;

	if (journal_result_decode(bytes->at, bytes->len, &view) != STATUS_OK ||
	    !view.has_record || r->ended_us != 0 || !is_self(e, &r->owner))
		return;
	q = g_hash_table_lookup(e->by_id, r->id);
	if (q != NULL) {
		logger_event(LOGGER_DEBUG, "request.reminded",
		    "request=%s state=%d attempt=%u recorded=%u", q->id,
		    (int)q->state, q->attempt, r->attempt);
		return;
	}
	q = from_record(e, r);
	if (q == NULL)
		return;
	if (q->kind == SPEC_SERVER_RUNNER && req_parse_completion(q) != NULL) {
		req_free(q);
		return;
	}
	logger_event(LOGGER_INFO, "request.taken_over",
	    "request=%s phase=\"%s\"", q->id, journal_phase_name(r->phase));
	(void)g_hash_table_insert(e->by_id, q->id, q);
	if (r->phase == JOURNAL_PHASE_RUNNING) {
		resume_running(q, r);
		return;
	}
	q->state = REQ_BACKOFF;
	req_admit(q);
}
