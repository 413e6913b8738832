#include "state/journal_codec.h"
#include "state/journal_internal.h"
#include "codec/codec.h"

#include <stdlib.h>
#include <string.h>

#define COMMAND_COUNT (JOURNAL_CMD_EXPIRE + 1)
#define PHASE_COUNT (JOURNAL_PHASE_MAY_HAVE_RUN + 1)
#define SNAPSHOT_FORMAT 1
#define NAME(m, field) codec_str((m), (field), sizeof(field))

static void
code_node(struct codec *m, struct journal_node *e)
{
	NAME(m, e->name);
	codec_u64(m, &e->incarnation);
}

static void
code_accept(struct codec *m, struct journal_command *c)
{
	NAME(m, c->accept.key);
	NAME(m, c->accept.customer);
	NAME(m, c->accept.route);
	NAME(m, c->accept.content_type);
	codec_bool(m, &c->accept.idempotent);
	codec_u64(m, &c->accept.body_hash);
	codec_bytes(m, &c->accept.body, &c->accept.len);
	codec_u64(m, &c->accept.deadline_us);
	code_node(m, &c->accept.owner);
}

static void
code_outcome(struct codec *m, struct journal_command *c)
{
	codec_u32(m, &c->outcome.attempt);
	code_node(m, &c->outcome.by);
	codec_enum(m, &c->outcome.verdict, VERDICT_RAN + 1);
	codec_int(m, &c->outcome.http_status);
	NAME(m, c->outcome.answer_type);
	codec_bytes(m, &c->outcome.answer, &c->outcome.len);
}

static void
code_command(struct codec *m, struct journal_command *c)
{
	codec_enum(m, &c->kind, COMMAND_COUNT);
	codec_u64(m, &c->now_us);
	NAME(m, c->id);
	switch (c->kind) {
	case JOURNAL_CMD_ACCEPT:
		code_accept(m, c);
		return;
	case JOURNAL_CMD_PERMIT:
		codec_u32(m, &c->permit.attempt);
		code_node(m, &c->permit.holder);
		NAME(m, c->permit.server);
		return;
	case JOURNAL_CMD_OUTCOME:
		code_outcome(m, c);
		return;
	case JOURNAL_CMD_RETURN_PERMIT:
		codec_u32(m, &c->return_permit.attempt);
		code_node(m, &c->return_permit.by);
		return;
	case JOURNAL_CMD_WITHDRAW:
		return;
	case JOURNAL_CMD_REASSIGN:
		code_node(m, &c->reassign.from);
		code_node(m, &c->reassign.to);
		return;
	case JOURNAL_CMD_EXPIRE:
		codec_u64(m, &c->expire.keep_us);
		codec_u64(m, &c->expire.keep_bytes);
		return;
	}
}

void
journal_encode(const struct journal_command *c, uint8_t **bytes, size_t *len)
{
	struct journal_command copy = *c;
	struct codec *m = codec_writer();

	code_command(m, &copy);
	codec_take(m, bytes, len);
}

/// Decodes a command; its body or response points into the bytes.
///
/// @return whether the bytes are a command
bool
journal_decode(struct journal_command *c, const uint8_t *bytes, size_t len)
{
	struct codec *m = codec_reader(bytes, len);
	bool good;

	memset(c, 0, sizeof(*c));
	code_command(m, c);
	good = codec_at_end(m);
	codec_free(m);
	return good;
}

/// Writes or reads a record. A record that was read has its body and response
/// in the bytes of the reader.
void
journal_codec_record(struct codec *m, struct journal_record *r)
{
	NAME(m, r->id);
	NAME(m, r->key);
	NAME(m, r->customer);
	NAME(m, r->route);
	NAME(m, r->content_type);
	codec_bool(m, &r->idempotent);
	codec_u64(m, &r->body_hash);
	codec_bytes(m, &r->body, &r->body_len);
	codec_u64(m, &r->accepted_us);
	codec_u64(m, &r->deadline_us);
	code_node(m, &r->owner);
	codec_enum(m, &r->phase, PHASE_COUNT);
	codec_u32(m, &r->n_permits);
	codec_u32(m, &r->attempt);
	code_node(m, &r->holder);
	NAME(m, r->server);
	codec_u64(m, &r->outcome_us);
	codec_int(m, &r->http_status);
	NAME(m, r->response_type);
	codec_bytes(m, &r->response, &r->response_len);
}

/// Reads a record and inserts a copy of it into the journal.
static void
read_record(struct codec *m, struct journal *j)
{
	struct journal_record r;
	struct journal_item *item;

	memset(&r, 0, sizeof(r));
	journal_codec_record(m, &r);
	if (codec_failed(m))
		return;
	if (g_hash_table_contains(j->by_id, r.id)) {
		codec_fail(m);
		return;
	}
	item = journal_item_new(r.body, r.body_len, r.response, r.response_len);
	r.body = item->record.body;
	r.response = item->record.response;
	item->record = r;
	journal_insert(j, item);
}

static void
write_records(struct codec *m, const GQueue *queue)
{
	uint64_t n = queue->length;

	codec_u64(m, &n);
	for (const GList *l = queue->head; l != NULL; l = l->next) {
		struct journal_record r =
		    ((const struct journal_item *)l->data)->record;

		journal_codec_record(m, &r);
	}
}

/// Reads what write_records() wrote.
static void
read_records(struct codec *m, struct journal *j)
{
	uint64_t n = 0;

	codec_u64(m, &n);
	for (uint64_t i = 0; i < n && !codec_failed(m); i++)
		read_record(m, j);
}

/// Encodes the whole journal.
///
/// @param bytes  receives the bytes; release with free()
void
journal_snapshot(const struct journal *j, uint8_t **bytes, size_t *len)
{
	struct codec *m = codec_writer();
	uint32_t format = SNAPSHOT_FORMAT;
	uint64_t now_us = j->now_us;
	uint64_t newest_dropped_us = j->newest_dropped_us;

	codec_u32(m, &format);
	codec_u64(m, &now_us);
	codec_u64(m, &newest_dropped_us);
	write_records(m, &j->finished);
	write_records(m, &j->open);
	codec_take(m, bytes, len);
}

/// Makes a journal from the bytes of journal_snapshot().
///
/// @param out  receives the journal, to be released with journal_free(); NULL
///             on error
/// @return STATUS_OK or STATUS_CORRUPT
enum status
journal_restore(const uint8_t *bytes, size_t len, struct journal **out)
{
	struct codec *m = codec_reader(bytes, len);
	struct journal *j = journal_new();
	uint32_t format;
	bool good;

	codec_u32(m, &format);
	if (format != SNAPSHOT_FORMAT)
		codec_fail(m);
	codec_u64(m, &j->now_us);
	codec_u64(m, &j->newest_dropped_us);
	read_records(m, j);
	read_records(m, j);
	good = codec_at_end(m);
	codec_free(m);
	if (!good) {
		journal_free(j);
		*out = NULL;
		return status_fail(STATUS_CORRUPT,
		    "snapshot of the request journal is damaged");
	}
	*out = j;
	return STATUS_OK;
}
