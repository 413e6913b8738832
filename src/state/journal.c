#include "base/inv.h"
#include "state/journal.h"
#include "state/journal_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// What a record counts against the size limits besides body and response.
#define JOURNAL_RECORD_BYTES 1024

/// Makes an empty journal.
struct journal *
journal_new(void)
{
	struct journal *j = g_new0(struct journal, 1);

	g_queue_init(&j->open);
	g_queue_init(&j->finished);
	j->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	j->by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return j;
}

static void
free_item(gpointer item)
{
	journal_item_free(item);
}

/// Releases a journal; NULL is allowed.
void
journal_free(struct journal *j)
{
	if (j == NULL)
		return;
	g_hash_table_destroy(j->by_id);
	g_hash_table_destroy(j->by_key);
	g_queue_clear_full(&j->open, free_item);
	g_queue_clear_full(&j->finished, free_item);
	g_free(j);
}

/// Key of a customer's idempotency key in `by_key`.
///
/// @return to be released with g_free()
char *
journal_key_string(const char *customer, const char *key)
{
	return g_strdup_printf("%s\n%s", customer, key);
}

static uint8_t *
copy_bytes(const uint8_t *bytes, size_t len)
{
	return len == 0 ? NULL : g_memdup2(bytes, len);
}

/// Makes an item that owns copies of a body and a response.
struct journal_item *
journal_item_new(const uint8_t *body, size_t body_len, const uint8_t *response,
    size_t response_len)
{
	struct journal_item *item = g_new0(struct journal_item, 1);

	item->record.body = copy_bytes(body, body_len);
	item->record.body_len = body_len;
	item->record.response = copy_bytes(response, response_len);
	item->record.response_len = response_len;
	return item;
}

/// Releases an item.
void
journal_item_free(struct journal_item *item)
{
	g_free((uint8_t *)item->record.body);
	g_free((uint8_t *)item->record.response);
	g_free(item);
}

static bool
has_outcome(const struct journal_record *r)
{
	return r->phase != JOURNAL_PHASE_ACCEPTED &&
	    r->phase != JOURNAL_PHASE_RUNNING;
}

/// What a request with an outcome counts against `keep_bytes`.
static uint64_t
finished_bytes(const struct journal_record *r)
{
	return JOURNAL_RECORD_BYTES + r->response_len;
}

/// What a request without outcome counts against JOURNAL_MAX_OPEN_BYTES.
static uint64_t
open_bytes(const struct journal_record *r)
{
	return JOURNAL_RECORD_BYTES + r->body_len;
}

/// Appends an item, which the journal then owns, to the queue of requests with
/// or without outcome. A lookup by key finds the item inserted last.
void
journal_insert(struct journal *j, struct journal_item *item)
{
	struct journal_record *r = &item->record;
	GQueue *queue = has_outcome(r) ? &j->finished : &j->open;

	g_queue_push_tail(queue, item);
	item->link = queue->tail;
	g_hash_table_insert(j->by_id, r->id, item);
	if (r->key[0] != '\0')
		g_hash_table_replace(
		    j->by_key, journal_key_string(r->customer, r->key), item);
	if (has_outcome(r))
		j->response_bytes += finished_bytes(r);
	else
		j->open_bytes += open_bytes(r);
}

static struct journal_item *
find_by_id(const struct journal *j, const char *id)
{
	return g_hash_table_lookup(j->by_id, id);
}

static struct journal_item *
find_by_key(const struct journal *j, const char *customer, const char *key)
{
	struct journal_item *item;
	char *text;

	if (key[0] == '\0')
		return NULL;
	text = journal_key_string(customer, key);
	item = g_hash_table_lookup(j->by_key, text);
	g_free(text);
	return item;
}

static bool
same_node(const struct journal_node *a, const struct journal_node *b)
{
	return a->incarnation == b->incarnation &&
	    strcmp(a->name, b->name) == 0;
}

static void
refuse(struct journal_result *out, const char *message)
{
	out->status = JOURNAL_REFUSED;
	out->message = message;
}

static void
init_record(struct journal_record *r, const struct journal_command *c)
{
	(void)g_strlcpy(r->id, c->id, sizeof(r->id));
	(void)g_strlcpy(r->key, c->accept.key, sizeof(r->key));
	(void)g_strlcpy(r->customer, c->accept.customer, sizeof(r->customer));
	(void)g_strlcpy(r->route, c->accept.route, sizeof(r->route));
	(void)g_strlcpy(
	    r->content_type, c->accept.content_type, sizeof(r->content_type));
	r->idempotent = c->accept.idempotent;
	r->body_hash = c->accept.body_hash;
	r->accepted_us = c->now_us;
	r->deadline_us = c->accept.deadline_us;
	r->owner = c->accept.owner;
	r->phase = JOURNAL_PHASE_ACCEPTED;
}

/// Sets the result for a request whose id or key is already recorded.
static void
report_known(const struct journal_item *known, const struct journal_command *c,
    struct journal_result *out)
{
	out->record = &known->record;
	out->status = known->record.body_hash == c->accept.body_hash
	    ? JOURNAL_DUPLICATE
	    : JOURNAL_KEY_REUSED;
}

static void
apply_accept(struct journal *j, const struct journal_command *c,
    struct journal_result *out)
{
	struct journal_item *item = find_by_id(j, c->id);

	if (item != NULL) {
		report_known(item, c, out);
		return;
	}
	item = find_by_key(j, c->accept.customer, c->accept.key);
	// A request that did not run may be sent again under its key.
	if (item != NULL &&
	    (item->record.phase != JOURNAL_PHASE_NOT_RUN ||
		item->record.body_hash != c->accept.body_hash)) {
		report_known(item, c, out);
		return;
	}
	if (c->id[0] == '\0') {
		refuse(out, "a request needs an id");
		return;
	}
	// It may be a late copy of a request whose record was dropped.
	if (c->now_us <= j->newest_dropped_us) {
		refuse(out, "older than what the journal remembers");
		return;
	}
	if (j->open_bytes + JOURNAL_RECORD_BYTES + c->accept.len >
	    JOURNAL_MAX_OPEN_BYTES) {
		refuse(out, "too many requests without outcome");
		return;
	}
	item = journal_item_new(c->accept.body, c->accept.len, NULL, 0);
	init_record(&item->record, c);
	journal_insert(j, item);
	out->record = &item->record;
	out->status = JOURNAL_APPLIED;
}

/// Whether a command asks for the permit that was given last.
static bool
same_permit(const struct journal_record *r, const struct journal_command *c)
{
	return r->n_permits > 0 && r->attempt == c->permit.attempt &&
	    same_node(&r->holder, &c->permit.holder) &&
	    strcmp(r->server, c->permit.server) == 0;
}

/// Why a permit can't be given, or NULL.
static const char *
permit_refusal(const struct journal_record *r, const struct journal_command *c)
{
	if (has_outcome(r))
		return "the request has an outcome";
	if (!same_node(&r->owner, &c->permit.holder))
		return "another entry owns the request";
	if (r->n_permits > 0 && !r->idempotent)
		return "its only permission was given";
	// Attempts increase also after a permit was returned, so that a late
	// copy of the command that asked for it is refused.
	if (c->permit.attempt <= r->attempt)
		return "attempts count up from 1";
	return NULL;
}

static void
apply_permit(struct journal_record *r, const struct journal_command *c,
    struct journal_result *out)
{
	const char *refusal;

	if (!has_outcome(r) && same_permit(r, c)) {
		out->status = JOURNAL_DUPLICATE;
		return;
	}
	refusal = permit_refusal(r, c);
	if (refusal != NULL) {
		refuse(out, refusal);
		return;
	}
	r->n_permits++;
	r->attempt = c->permit.attempt;
	r->holder = c->permit.holder;
	(void)g_strlcpy(r->server, c->permit.server, sizeof(r->server));
	r->phase = JOURNAL_PHASE_RUNNING;
	inv_check(r->idempotent || r->n_permits == 1, "journal.one_permission",
	    "request=%s permits=%u", r->id, r->n_permits);
	out->status = JOURNAL_APPLIED;
}

/// Records the outcome of a request and frees its body, which isn't needed any
/// more.
static void
set_outcome(
    struct journal *j, struct journal_item *item, enum journal_phase phase)
{
	struct journal_record *r = &item->record;

	inv_check(!has_outcome(r), "journal.outcome_is_final",
	    "request=%s phase=%s", r->id, journal_phase_name(r->phase));
	j->open_bytes -= open_bytes(r);
	r->phase = phase;
	r->outcome_us = j->now_us;
	g_free((uint8_t *)r->body);
	r->body = NULL;
	r->body_len = 0;
	j->response_bytes += finished_bytes(r);
	g_queue_unlink(&j->open, item->link);
	g_queue_push_tail_link(&j->finished, item->link);
}

/// Why an outcome is refused, or NULL.
static const char *
outcome_refusal(const struct journal_record *r, const struct journal_command *c)
{
	if (has_outcome(r))
		return "the request has an outcome";
	if (r->n_permits == 0)
		return "no permission was given";
	if (c->outcome.attempt > r->attempt)
		return "this attempt was not permitted";
	if (c->outcome.verdict == VERDICT_RAN)
		return NULL;
	if (c->outcome.attempt != r->attempt)
		return "a later attempt was permitted";
	if (!same_node(&r->holder, &c->outcome.by) &&
	    !same_node(&r->owner, &c->outcome.by))
		return "another entry owns the request";
	if (c->outcome.verdict == VERDICT_NOT_RUN &&
	    !same_node(&r->holder, &c->outcome.by))
		return "only its holder can give a permission back";
	// That the last attempt did not run says nothing about earlier ones.
	if (c->outcome.verdict == VERDICT_NOT_RUN && r->n_permits > 1)
		return "an earlier attempt may have run";
	return NULL;
}

static void
apply_outcome(struct journal *j, struct journal_item *item,
    const struct journal_command *c, struct journal_result *out)
{
	struct journal_record *r = &item->record;
	const char *refusal = outcome_refusal(r, c);

	if (refusal != NULL) {
		refuse(out, refusal);
		return;
	}
	r->http_status = c->outcome.http_status;
	(void)g_strlcpy(
	    r->response_type, c->outcome.answer_type, sizeof(r->response_type));
	r->response = copy_bytes(c->outcome.answer, c->outcome.len);
	r->response_len = c->outcome.len;
	switch (c->outcome.verdict) {
	case VERDICT_NOT_RUN:
		set_outcome(j, item, JOURNAL_PHASE_NOT_RUN);
		break;
	case VERDICT_MAY_HAVE_RUN:
		set_outcome(j, item, JOURNAL_PHASE_MAY_HAVE_RUN);
		break;
	case VERDICT_RAN:
		set_outcome(j, item, JOURNAL_PHASE_ANSWERED);
		break;
	}
	out->status = JOURNAL_APPLIED;
}

static void
apply_return_permit(struct journal_record *r, const struct journal_command *c,
    struct journal_result *out)
{
	if (has_outcome(r) || r->n_permits == 0) {
		out->status = JOURNAL_DUPLICATE;
		return;
	}
	if (c->return_permit.attempt != r->attempt ||
	    !same_node(&r->holder, &c->return_permit.by)) {
		refuse(out, "only its holder can give a permission back");
		return;
	}
	r->n_permits--;
	// A repetition of this command must not return another permit.
	memset(&r->holder, 0, sizeof(r->holder));
	if (r->n_permits == 0)
		r->phase = JOURNAL_PHASE_ACCEPTED;
	out->status = JOURNAL_APPLIED;
}

static void
apply_withdraw(
    struct journal *j, struct journal_item *item, struct journal_result *out)
{
	const struct journal_record *r = &item->record;

	if (r->phase == JOURNAL_PHASE_NOT_RUN) {
		out->status = JOURNAL_DUPLICATE;
		return;
	}
	if (r->phase != JOURNAL_PHASE_ACCEPTED) {
		refuse(out, "a permission was given");
		return;
	}
	inv_check(r->n_permits == 0, "journal.not_run_without_permission",
	    "request=%s permits=%u", r->id, r->n_permits);
	set_outcome(j, item, JOURNAL_PHASE_NOT_RUN);
	out->status = JOURNAL_APPLIED;
}

static void
apply_reassign(struct journal_record *r, const struct journal_command *c,
    struct journal_result *out)
{
	if (same_node(&r->owner, &c->reassign.to)) {
		out->status = JOURNAL_DUPLICATE;
		return;
	}
	if (has_outcome(r)) {
		refuse(out, "the request has an outcome");
		return;
	}
	if (!same_node(&r->owner, &c->reassign.from)) {
		refuse(out, "another entry owns the request");
		return;
	}
	r->owner = c->reassign.to;
	out->status = JOURNAL_APPLIED;
}

static void
drop_item(struct journal *j, struct journal_item *item)
{
	struct journal_record *r = &item->record;

	inv_check(
	    has_outcome(r), "journal.unfinished_is_kept", "request=%s", r->id);
	j->response_bytes -= finished_bytes(r);
	j->newest_dropped_us = MAX(j->newest_dropped_us, r->accepted_us);
	(void)g_hash_table_remove(j->by_id, r->id);
	if (find_by_key(j, r->customer, r->key) == item) {
		char *text = journal_key_string(r->customer, r->key);

		(void)g_hash_table_remove(j->by_key, text);
		g_free(text);
	}
	g_queue_delete_link(&j->finished, item->link);
	journal_item_free(item);
}

static void
apply_expire(struct journal *j, const struct journal_command *c,
    struct journal_result *out)
{
	const uint64_t keep_bytes = c->expire.keep_bytes;

	while (j->finished.head != NULL) {
		struct journal_item *item = j->finished.head->data;
		const uint64_t age_us = j->now_us - item->record.outcome_us;
		const bool over_limit =
		    keep_bytes != 0 && j->response_bytes > keep_bytes;

		if (age_us <= c->expire.keep_us && !over_limit)
			break;
		drop_item(j, item);
		out->n_dropped++;
	}
	out->status = JOURNAL_APPLIED;
}

static void
apply_to_request(struct journal *j, struct journal_item *item,
    const struct journal_command *c, struct journal_result *out)
{
	out->record = &item->record;
	switch (c->kind) {
	case JOURNAL_CMD_PERMIT:
		apply_permit(&item->record, c, out);
		return;
	case JOURNAL_CMD_OUTCOME:
		apply_outcome(j, item, c, out);
		return;
	case JOURNAL_CMD_RETURN_PERMIT:
		apply_return_permit(&item->record, c, out);
		return;
	case JOURNAL_CMD_WITHDRAW:
		apply_withdraw(j, item, out);
		return;
	case JOURNAL_CMD_REASSIGN:
		apply_reassign(&item->record, c, out);
		return;
	case JOURNAL_CMD_ACCEPT:
	case JOURNAL_CMD_EXPIRE:
		break;
	}
	abort();
}

/// Applies a committed command. A refused one changes only the journal's time,
/// which never goes back.
///
/// @param out  receives the result; nothing in it is to be released
void
journal_apply(struct journal *j, const uint8_t *bytes, size_t len,
    struct journal_result *out)
{
	struct journal_command c;
	struct journal_item *item;

	memset(out, 0, sizeof(*out));
	if (!journal_decode(&c, bytes, len)) {
		refuse(out, "not a command");
		return;
	}
	j->now_us = MAX(j->now_us, c.now_us);
	if (c.kind == JOURNAL_CMD_ACCEPT) {
		apply_accept(j, &c, out);
		return;
	}
	if (c.kind == JOURNAL_CMD_EXPIRE) {
		apply_expire(j, &c, out);
		return;
	}
	item = find_by_id(j, c.id);
	if (item == NULL) {
		out->status = JOURNAL_NOT_FOUND;
		return;
	}
	apply_to_request(j, item, &c, out);
}

/// Request by id, or NULL; owned by the journal, valid until its next change.
const struct journal_record *
journal_by_id(const struct journal *j, const char *id)
{
	const struct journal_item *item = find_by_id(j, id);

	return item == NULL ? NULL : &item->record;
}

/// Latest request of a customer's idempotency key, or NULL; owned by the
/// journal, valid until its next change.
const struct journal_record *
journal_by_key(const struct journal *j, const char *customer, const char *key)
{
	const struct journal_item *item = find_by_key(j, customer, key);

	return item == NULL ? NULL : &item->record;
}

void
journal_foreach_open(const struct journal *j, const struct journal_node *owner,
    journal_visit_cb visit, void *arg)
{
	for (const GList *l = j->open.head; l != NULL; l = l->next) {
		const struct journal_item *item = l->data;

		if (owner != NULL && !same_node(&item->record.owner, owner))
			continue;
		if (!visit(arg, &item->record))
			return;
	}
}

/// Number of requests in the journal.
size_t
journal_count(const struct journal *j)
{
	return (size_t)j->open.length + j->finished.length;
}

/// Number of requests without outcome.
size_t
journal_open_count(const struct journal *j)
{
	return j->open.length;
}

/// Bytes that requests with an outcome count, their responses included.
uint64_t
journal_response_bytes(const struct journal *j)
{
	return j->response_bytes;
}

/// Name of a phase, as callers see it.
const char *
journal_phase_name(enum journal_phase phase)
{
	static const char *const names[] = {
		[JOURNAL_PHASE_ACCEPTED] = "accepted",
		[JOURNAL_PHASE_RUNNING] = "running",
		[JOURNAL_PHASE_ANSWERED] = "answered",
		[JOURNAL_PHASE_NOT_RUN] = "not run",
		[JOURNAL_PHASE_MAY_HAVE_RUN] = "may have run",
	};

	return names[phase];
}
