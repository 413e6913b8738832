#include "fleet/lm.h"

#include "codec/mp.h"

/// More items than any message has; a reader refuses what claims them.
#define MAX_ITEMS 4096
/// Levels may be below zero; numbers on the wire aren't.
#define LEVEL_BIAS (INT64_C(1) << 48)

/// Writes or reads the length of an array, and makes room when reading.
static void
items(struct mp *m, GArray *list)
{
	uint32_t n = list->len;

	mp_u32(m, &n);
	if (mp_writing(m))
		return;
	if (n > MAX_ITEMS) {
		mp_fail(m);
		n = 0;
	}
	g_array_set_size(list, n);
}

static void
code_usage(struct mp *m, struct lm_usage *u)
{
	mp_u64(m, &u->window);
	mp_str(m, u->customer, sizeof(u->customer));
	mp_u64(m, &u->n);
}

static void
code_quota(struct mp *m, struct lm_quota *q)
{
	uint64_t level = (uint64_t)(q->level + LEVEL_BIAS);

	mp_str(m, q->customer, sizeof(q->customer));
	mp_u64(m, &q->spent);
	mp_u64(m, &q->counted);
	mp_u64(m, &level);
	q->level = (int64_t)level - LEVEL_BIAS;
}

static void
code_quotas(struct mp *m, GArray *quotas)
{
	items(m, quotas);
	for (guint i = 0; i < quotas->len; i++)
		code_quota(m, &g_array_index(quotas, struct lm_quota, i));
}

static void
code_load(struct mp *m, struct lm_load *l)
{
	mp_str(m, l->service, sizeof(l->service));
	mp_u32(m, &l->running);
	mp_u32(m, &l->refused);
	mp_u32(m, &l->arrived);
	mp_u64(m, &l->work_us);
	mp_u64(m, &l->tokens);
	mp_u64(m, &l->tokens_per_s);
}

static void
code_report(struct mp *m, struct lm_report *r)
{
	mp_u64(m, &r->sent_us);
	mp_u64(m, &r->version);
	mp_u64(m, &r->time_us);
	mp_bool(m, &r->stopping);
	mp_u64(m, &r->list);
	items(m, r->usage);
	for (guint i = 0; i < r->usage->len; i++)
		code_usage(m, &g_array_index(r->usage, struct lm_usage, i));
	code_quotas(m, r->quotas);
	items(m, r->loads);
	for (guint i = 0; i < r->loads->len; i++)
		code_load(m, &g_array_index(r->loads, struct lm_load, i));
}

static void
code_move(struct mp *m, struct lm_move *v)
{
	mp_str(m, v->service, sizeof(v->service));
	mp_str(m, v->target, sizeof(v->target));
	mp_str(m, v->base, sizeof(v->base));
	mp_u32(m, &v->permille);
	mp_enum(m, &v->state, LM_MOVE_STATES);
	mp_u64(m, &v->sequence);
}

static void
code_state(struct mp *m, struct lm_state *s)
{
	mp_u64(m, &s->echo_us);
	mp_bool(m, &s->leads);
	mp_u32(m, &s->leader);
	mp_u64(m, &s->version);
	mp_u64(m, &s->time_us);
	mp_u32(m, &s->n_gateways);
	mp_bytes(m, &s->manifest, &s->manifest_len);
	mp_u64(m, &s->list);
	mp_u64(m, &s->list_after);
	mp_bytes(m, &s->changes, &s->changes_len);
	items(m, s->members);
	for (guint i = 0; i < s->members->len; i++)
		mp_u32(m, &g_array_index(s->members, uint32_t, i));
	code_quotas(m, s->quotas);
	items(m, s->moves);
	for (guint i = 0; i < s->moves->len; i++)
		code_move(m, &g_array_index(s->moves, struct lm_move, i));
}

/// Makes an empty report.
void
lm_report_init(struct lm_report *r)
{
	*r = (struct lm_report){
		.usage = g_array_new(FALSE, TRUE, sizeof(struct lm_usage)),
		.quotas = g_array_new(FALSE, TRUE, sizeof(struct lm_quota)),
		.loads = g_array_new(FALSE, TRUE, sizeof(struct lm_load)),
	};
}

/// Releases a report's arrays.
void
lm_report_clear(struct lm_report *r)
{
	g_array_unref(r->usage);
	g_array_unref(r->quotas);
	g_array_unref(r->loads);
}

/// Encodes a report.
///
/// @param bytes  to be released with free()
void
lm_report_encode(const struct lm_report *r, uint8_t **bytes, size_t *len)
{
	struct lm_report copy = *r;
	struct mp *m = mp_writer();

	code_report(m, &copy);
	mp_take(m, bytes, len);
}

/// Decodes a report into one made by lm_report_init().
enum st
lm_report_decode(const uint8_t *bytes, size_t len, struct lm_report *out)
{
	struct mp *m = mp_reader(bytes, len);
	bool good;

	code_report(m, out);
	good = mp_end(m);
	mp_free(m);
	return good ? ST_OK : st_fail(ST_CORRUPT, "report can't be read");
}

static void
code_server(struct mp *m, struct lm_server *s)
{
	mp_str(m, s->sv.id, sizeof(s->sv.id));
	mp_bool(m, &s->gone);
	if (s->gone)
		return;
	mp_str(m, s->sv.service, sizeof(s->sv.service));
	mp_str(m, s->sv.zone, sizeof(s->sv.zone));
	mp_str(m, s->sv.version, sizeof(s->sv.version));
	mp_str(m, s->sv.host, sizeof(s->sv.host));
	mp_u16(m, &s->sv.port);
	mp_u32(m, &s->sv.slots);
	mp_bool(m, &s->sv.leaving);
	mp_bool(m, &s->sv.spot);
}

static void
code_list(struct mp *m, GArray *servers)
{
	items(m, servers);
	for (guint i = 0; i < servers->len; i++)
		code_server(m, &g_array_index(servers, struct lm_server, i));
}

/// Encodes servers of the list.
///
/// @param bytes  to be released with free()
void
lm_list_encode(const GArray *servers, uint8_t **bytes, size_t *len)
{
	struct mp *m = mp_writer();

	code_list(m, (GArray *)servers);
	mp_take(m, bytes, len);
}

/// Decodes servers of the list.
enum st
lm_list_decode(const uint8_t *bytes, size_t len, GArray *servers)
{
	struct mp *m = mp_reader(bytes, len);
	bool good;

	code_list(m, servers);
	good = mp_end(m);
	mp_free(m);
	return good ? ST_OK : st_fail(ST_CORRUPT, "list can't be read");
}

/// Makes an empty state.
void
lm_state_init(struct lm_state *s)
{
	*s = (struct lm_state){
		.members = g_array_new(FALSE, TRUE, sizeof(uint32_t)),
		.quotas = g_array_new(FALSE, TRUE, sizeof(struct lm_quota)),
		.moves = g_array_new(FALSE, TRUE, sizeof(struct lm_move)),
	};
}

/// Releases a state's arrays.
void
lm_state_clear(struct lm_state *s)
{
	g_array_unref(s->members);
	g_array_unref(s->quotas);
	g_array_unref(s->moves);
}

/// Encodes a state.
///
/// @param bytes  to be released with free()
void
lm_state_encode(const struct lm_state *s, uint8_t **bytes, size_t *len)
{
	struct lm_state copy = *s;
	struct mp *m = mp_writer();

	code_state(m, &copy);
	mp_take(m, bytes, len);
}

/// Decodes a state into one made by lm_state_init().
enum st
lm_state_decode(const uint8_t *bytes, size_t len, struct lm_state *out)
{
	struct mp *m = mp_reader(bytes, len);
	bool good;

	code_state(m, out);
	good = mp_end(m);
	mp_free(m);
	return good ? ST_OK : st_fail(ST_CORRUPT, "state can't be read");
}
