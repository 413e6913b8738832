#include "fleet/hubmsg.h"

#include "codec/codec.h"

/// More items than any valid array has; a longer one fails to decode.
#define MAX_ITEMS 4096
/// Added to quota levels on the wire: levels may be negative, encoded numbers
/// may not.
#define LEVEL_BIAS (INT64_C(1) << 48)

/// Writes the length of an array, or reads it and resizes the array.
static void
code_length(struct codec *m, GArray *array)
{
	uint32_t n = array->len;

	codec_u32(m, &n);
	if (codec_is_writer(m))
		return;
	if (n > MAX_ITEMS) {
		codec_fail(m);
		n = 0;
	}
	g_array_set_size(array, n);
}

static void
code_usage(struct codec *m, struct hubmsg_usage *u)
{
	codec_u64(m, &u->window);
	codec_str(m, u->customer, sizeof(u->customer));
	codec_u64(m, &u->n);
}

static void
code_quota(struct codec *m, struct hubmsg_quota *q)
{
	uint64_t level = (uint64_t)(q->level + LEVEL_BIAS);

	codec_str(m, q->customer, sizeof(q->customer));
	codec_u64(m, &q->spent);
	codec_u64(m, &q->acked_spent);
	codec_u64(m, &level);
	q->level = (int64_t)level - LEVEL_BIAS;
}

static void
code_quotas(struct codec *m, GArray *quotas)
{
	code_length(m, quotas);
	for (guint i = 0; i < quotas->len; i++)
		code_quota(m, &g_array_index(quotas, struct hubmsg_quota, i));
}

static void
code_load(struct codec *m, struct hubmsg_load *l)
{
	codec_str(m, l->service, sizeof(l->service));
	codec_u32(m, &l->running);
	codec_u32(m, &l->refused);
	codec_u32(m, &l->arrived);
	codec_u64(m, &l->work_us);
	codec_u64(m, &l->tokens);
	codec_u64(m, &l->tokens_per_s);
}

static void
code_report(struct codec *m, struct hubmsg_report *r)
{
	codec_u64(m, &r->sent_us);
	codec_u64(m, &r->version);
	codec_u64(m, &r->time_us);
	codec_bool(m, &r->stopping);
	codec_u64(m, &r->list_revision);
	code_length(m, r->usage);
	for (guint i = 0; i < r->usage->len; i++)
		code_usage(m, &g_array_index(r->usage, struct hubmsg_usage, i));
	code_quotas(m, r->quotas);
	code_length(m, r->loads);
	for (guint i = 0; i < r->loads->len; i++)
		code_load(m, &g_array_index(r->loads, struct hubmsg_load, i));
	// Gateways of older versions end here, and control of older versions
	// refuses more: it never tells of evacuations.
	if (codec_is_writer(m) ? r->evac_revision == 0 : codec_at_end(m))
		return;
	codec_u64(m, &r->evac_revision);
}

static void
code_rollout(struct codec *m, struct hubmsg_rollout *v)
{
	codec_str(m, v->service, sizeof(v->service));
	codec_str(m, v->target, sizeof(v->target));
	codec_str(m, v->baseline, sizeof(v->baseline));
	codec_u32(m, &v->permille);
	codec_enum(m, &v->state, HUBMSG_N_ROLLOUT_STATES);
	codec_u64(m, &v->sequence);
}

static void
code_host(struct codec *m, struct hosttable_entry *e)
{
	codec_u32(m, &e->slot);
	codec_str(m, e->host, sizeof(e->host));
}

static void
code_state(struct codec *m, struct hubmsg_state *s)
{
	codec_u64(m, &s->echo_us);
	codec_bool(m, &s->is_leader);
	codec_u32(m, &s->leader);
	codec_u64(m, &s->version);
	codec_u64(m, &s->time_us);
	codec_u32(m, &s->n_gateways);
	codec_bytes(m, &s->manifest, &s->manifest_len);
	codec_u64(m, &s->list_revision);
	codec_u64(m, &s->changes_since);
	codec_bytes(m, &s->changes, &s->changes_len);
	code_length(m, s->members);
	for (guint i = 0; i < s->members->len; i++)
		codec_u32(m, &g_array_index(s->members, uint32_t, i));
	code_quotas(m, s->quotas);
	code_length(m, s->rollouts);
	for (guint i = 0; i < s->rollouts->len; i++)
		code_rollout(
		    m, &g_array_index(s->rollouts, struct hubmsg_rollout, i));
	// What follows is left out while it says nothing: older gateways refuse
	// a state with more.
	if (codec_is_writer(m) ? s->evacuations.revision == 0 &&
		    s->hosts->len == 0 && s->peers->len == 0
			       : codec_at_end(m))
		return;
	evacset_code(m, &s->evacuations);
	if (codec_is_writer(m) ? s->hosts->len == 0 && s->peers->len == 0
			       : codec_at_end(m))
		return;
	code_length(m, s->hosts);
	for (guint i = 0; i < s->hosts->len; i++)
		code_host(
		    m, &g_array_index(s->hosts, struct hosttable_entry, i));
	if (codec_is_writer(m) ? s->peers->len == 0 : codec_at_end(m))
		return;
	codec_u32(m, &s->n_near_peers);
	code_length(m, s->peers);
	for (guint i = 0; i < s->peers->len; i++)
		codec_u32(m, &g_array_index(s->peers, uint32_t, i));
}

/// Makes an empty report, to be released with hubmsg_report_clear().
void
hubmsg_report_init(struct hubmsg_report *r)
{
	*r = (struct hubmsg_report){
		.usage = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_usage)),
		.quotas = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_quota)),
		.loads = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_load)),
	};
}

/// Releases a report's arrays.
void
hubmsg_report_clear(struct hubmsg_report *r)
{
	g_array_unref(r->usage);
	g_array_unref(r->quotas);
	g_array_unref(r->loads);
}

/// Encodes a report.
///
/// @param bytes  gets the message, to be released with free()
void
hubmsg_report_encode(
    const struct hubmsg_report *r, uint8_t **bytes, size_t *len)
{
	struct hubmsg_report copy = *r;
	struct codec *m = codec_writer();

	code_report(m, &copy);
	codec_take(m, bytes, len);
}

/// Decodes a report into one made by hubmsg_report_init().
///
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
hubmsg_report_decode(
    const uint8_t *bytes, size_t len, struct hubmsg_report *out)
{
	struct codec *m = codec_reader(bytes, len);
	bool decoded;

	code_report(m, out);
	decoded = codec_at_end(m);
	codec_free(m);
	return decoded
	    ? STATUS_OK
	    : status_fail(STATUS_CORRUPT, "gateway report can't be decoded");
}

/// Whether a message goes on after the fields that older versions know. Such a
/// version takes a longer message for malformed.
///
/// @param more  when writing, says so; when reading, is set
static bool
has_more(struct codec *m, bool *more)
{
	if (!codec_is_writer(m))
		*more = !codec_failed(m) && !codec_at_end(m);
	return *more;
}

static void
code_ask(struct codec *m, struct hubmsg_ask *a)
{
	codec_u64(m, &a->tag);
	codec_str(m, a->customer, sizeof(a->customer));
	codec_u64(m, &a->units);
	codec_u64(m, &a->refused);
	if (!has_more(m, &a->can_wait))
		return;
	codec_u32(m, &a->priority);
	codec_u64(m, &a->wait_us);
	codec_u64(m, &a->left_us);
	codec_bool(m, &a->late);
	codec_enum(m, &a->kind, HUBMSG_N_ASK_KINDS);
	codec_u64(m, &a->silence_us);
}

/// Encodes an ask for a grant.
///
/// @param bytes  gets the message, to be released with free()
void
hubmsg_ask_encode(const struct hubmsg_ask *a, uint8_t **bytes, size_t *len)
{
	struct hubmsg_ask copy = *a;
	struct codec *m = codec_writer();

	code_ask(m, &copy);
	codec_take(m, bytes, len);
}

/// Decodes an ask for a grant.
///
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
hubmsg_ask_decode(const uint8_t *bytes, size_t len, struct hubmsg_ask *out)
{
	struct codec *m = codec_reader(bytes, len);
	bool decoded;

	*out = (struct hubmsg_ask){ .tag = 0 };
	code_ask(m, out);
	decoded = codec_at_end(m);
	codec_free(m);
	return decoded
	    ? STATUS_OK
	    : status_fail(STATUS_CORRUPT, "quota ask can't be decoded");
}

static void
code_answer(struct codec *m, struct hubmsg_answer *a)
{
	uint64_t level = (uint64_t)(a->level + LEVEL_BIAS);

	codec_u64(m, &a->tag);
	codec_str(m, a->customer, sizeof(a->customer));
	codec_bool(m, &a->granted);
	codec_u64(m, &a->wait_us);
	codec_u64(m, &level);
	codec_u64(m, &a->demand_per_s);
	a->level = (int64_t)level - LEVEL_BIAS;
	if (!has_more(m, &a->has_queue))
		return;
	codec_bool(m, &a->queued);
	codec_u64(m, &a->room_us);
}

/// Encodes the answer to an ask.
///
/// @param bytes  gets the message, to be released with free()
void
hubmsg_answer_encode(
    const struct hubmsg_answer *a, uint8_t **bytes, size_t *len)
{
	struct hubmsg_answer copy = *a;
	struct codec *m = codec_writer();

	code_answer(m, &copy);
	codec_take(m, bytes, len);
}

/// Decodes the answer to an ask.
///
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
hubmsg_answer_decode(
    const uint8_t *bytes, size_t len, struct hubmsg_answer *out)
{
	struct codec *m = codec_reader(bytes, len);
	bool decoded;

	*out = (struct hubmsg_answer){ .tag = 0 };
	code_answer(m, out);
	decoded = codec_at_end(m);
	codec_free(m);
	return decoded
	    ? STATUS_OK
	    : status_fail(STATUS_CORRUPT, "quota answer can't be decoded");
}

static void
code_server(struct codec *m, struct hubmsg_server *s)
{
	codec_str(m, s->instance.id, sizeof(s->instance.id));
	codec_bool(m, &s->removed);
	if (s->removed)
		return;
	codec_str(m, s->instance.service, sizeof(s->instance.service));
	codec_str(m, s->instance.zone, sizeof(s->instance.zone));
	codec_str(m, s->instance.version, sizeof(s->instance.version));
	codec_str(m, s->instance.host, sizeof(s->instance.host));
	codec_u16(m, &s->instance.port);
	codec_u32(m, &s->instance.slots);
	codec_bool(m, &s->instance.draining);
	codec_bool(m, &s->instance.spot);
}

/// Encodes or decodes the server list or its changes.
///
/// @param servers  struct hubmsg_server
static void
code_servers(struct codec *m, GArray *servers)
{
	code_length(m, servers);
	for (guint i = 0; i < servers->len; i++)
		code_server(
		    m, &g_array_index(servers, struct hubmsg_server, i));
}

/// Encodes servers of the list or its changes.
///
/// @param bytes  gets the message, to be released with free()
void
hubmsg_servers_encode(const GArray *servers, uint8_t **bytes, size_t *len)
{
	struct codec *m = codec_writer();

	code_servers(m, (GArray *)servers);
	codec_take(m, bytes, len);
}

/// Decodes servers of the list or its changes.
///
/// @param servers  of struct hubmsg_server; its contents are replaced
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
hubmsg_servers_decode(const uint8_t *bytes, size_t len, GArray *servers)
{
	struct codec *m = codec_reader(bytes, len);
	bool decoded;

	code_servers(m, servers);
	decoded = codec_at_end(m);
	codec_free(m);
	return decoded
	    ? STATUS_OK
	    : status_fail(STATUS_CORRUPT, "server list can't be decoded");
}

/// Makes an empty state, to be released with hubmsg_state_clear().
void
hubmsg_state_init(struct hubmsg_state *s)
{
	*s = (struct hubmsg_state){
		.members = g_array_new(FALSE, TRUE, sizeof(uint32_t)),
		.quotas = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_quota)),
		.rollouts =
		    g_array_new(FALSE, TRUE, sizeof(struct hubmsg_rollout)),
		.hosts =
		    g_array_new(FALSE, TRUE, sizeof(struct hosttable_entry)),
		.peers = g_array_new(FALSE, TRUE, sizeof(uint32_t)),
	};
}

/// Releases a state's arrays; its manifest and changes are not its own.
void
hubmsg_state_clear(struct hubmsg_state *s)
{
	g_array_unref(s->members);
	g_array_unref(s->quotas);
	g_array_unref(s->rollouts);
	g_array_unref(s->hosts);
	g_array_unref(s->peers);
}

/// Encodes a state.
///
/// @param bytes  gets the message, to be released with free()
void
hubmsg_state_encode(const struct hubmsg_state *s, uint8_t **bytes, size_t *len)
{
	struct hubmsg_state copy = *s;
	struct codec *m = codec_writer();

	code_state(m, &copy);
	codec_take(m, bytes, len);
}

/// Decodes a state into one made by hubmsg_state_init().
///
/// @param bytes  must outlive `out`, whose manifest and changes point into them
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
hubmsg_state_decode(const uint8_t *bytes, size_t len, struct hubmsg_state *out)
{
	struct codec *m = codec_reader(bytes, len);
	bool decoded;

	code_state(m, out);
	decoded = codec_at_end(m);
	codec_free(m);
	return decoded
	    ? STATUS_OK
	    : status_fail(STATUS_CORRUPT, "control state can't be decoded");
}
