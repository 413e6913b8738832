#include "hub/hs.h"

#include <string.h>

#include "codec/codec.h"

/// Windows whose usage is kept, so that a repeat is exact.
#define HS_KEEP_WINDOWS 24
#define HS_MAX_COUNTS 4096
#define HS_FORMAT 1

struct hs {
	uint64_t version;
	uint8_t *text;
	size_t len;
	struct hs_duty duty;
	GQueue *usage; ///< struct hs_usage, oldest first
	GArray *needs; ///< struct need
	GArray *moves; ///< struct hs_move
};

/// Servers that a service needs, as control found out.
struct need {
	char service[FC_NAME_BYTES];
	uint32_t milli;
};

static void
usage_free(gpointer p)
{
	struct hs_usage *u = p;

	g_array_unref(u->counts);
	g_free(u);
}

/// Makes an empty state.
struct hs *
hs_new(void)
{
	struct hs *s = g_new0(struct hs, 1);

	s->usage = g_queue_new();
	s->needs = g_array_new(FALSE, TRUE, sizeof(struct need));
	s->moves = g_array_new(FALSE, TRUE, sizeof(struct hs_move));
	return s;
}

/// Releases a state; NULL is allowed.
void
hs_free(struct hs *s)
{
	if (s == NULL)
		return;
	g_queue_free_full(s->usage, usage_free);
	g_array_unref(s->needs);
	g_array_unref(s->moves);
	g_free(s->text);
	g_free(s);
}

static void
code_usage(struct codec *m, struct hs_usage *u)
{
	uint32_t n = u->counts->len;

	codec_u64(m, &u->window);
	codec_u32(m, &n);
	if (!codec_is_writer(m)) {
		if (n > HS_MAX_COUNTS) {
			codec_fail(m);
			n = 0;
		}
		g_array_set_size(u->counts, n);
	}
	for (uint32_t i = 0; i < n; i++) {
		struct lm_usage *c =
		    &g_array_index(u->counts, struct lm_usage, i);

		c->window = u->window;
		codec_str(m, c->customer, sizeof(c->customer));
		codec_u64(m, &c->n);
	}
}

static void
code_move(struct codec *m, struct hs_move *v)
{
	codec_str(m, v->service, sizeof(v->service));
	codec_str(m, v->target, sizeof(v->target));
	codec_str(m, v->base, sizeof(v->base));
	codec_u64(m, &v->sequence);
	codec_u64(m, &v->move.pool);
	codec_u64(m, &v->move.version);
	codec_u64(m, &v->move.replaces);
	codec_u64(m, &v->move.deadline_us);
	codec_u64(m, &v->move.added_us);
	codec_u64(m, &v->move.step_us);
	codec_u64(m, &v->move.done_us);
	codec_u32(m, &v->move.share_permille);
	codec_enum(m, &v->move.state, ROLLOUT_WITHDRAWN + 1);
	codec_enum(m, &v->move.reason, ROLLOUT_REASON_NOTE + 1);
}

static void
code_command(struct codec *m, struct hs_command *c)
{
	codec_enum(m, &c->kind, HS_KINDS);
	switch (c->kind) {
	case HS_CONFIG:
		codec_u64(m, &c->version);
		codec_bytes(m, &c->text, &c->len);
		break;
	case HS_DUTY:
		codec_u32(m, &c->holder);
		break;
	case HS_USAGE:
		code_usage(m, &c->usage);
		break;
	case HS_NEED:
		codec_str(m, c->service, sizeof(c->service));
		codec_u32(m, &c->need_milli);
		break;
	case HS_MOVE:
		code_move(m, &c->move);
		break;
	case HS_KINDS:
		codec_fail(m);
		break;
	}
}

/// Encodes a command.
///
/// @param bytes  to be released with free()
void
hs_encode(const struct hs_command *c, uint8_t **bytes, size_t *len)
{
	struct hs_command copy = *c;
	struct codec *m = codec_writer();

	code_command(m, &copy);
	codec_take(m, bytes, len);
}

static void
set_config(struct hs *s, const struct hs_command *c)
{
	if (s->len > 0 && c->version <= s->version)
		return;
	g_free(s->text);
	s->version = c->version;
	s->text = g_memdup2(c->text, c->len);
	s->len = c->len;
}

static void
settle_usage(struct hs *s, struct hs_usage *u)
{
	struct hs_usage *kept;

	if (hs_usage(s, u->window) != NULL)
		return;
	kept = g_new0(struct hs_usage, 1);
	kept->window = u->window;
	kept->counts = g_array_ref(u->counts);
	g_queue_push_tail(s->usage, kept);
	if (g_queue_get_length(s->usage) > HS_KEEP_WINDOWS)
		usage_free(g_queue_pop_head(s->usage));
}

static struct need *
find_need(const struct hs *s, const char *service)
{
	for (guint i = 0; i < s->needs->len; i++) {
		struct need *n = &g_array_index(s->needs, struct need, i);

		if (strcmp(n->service, service) == 0)
			return n;
	}
	return NULL;
}

static void
set_need(struct hs *s, const struct hs_command *c)
{
	struct need *n = find_need(s, c->service);
	struct need new = { .milli = c->need_milli };

	if (n != NULL) {
		n->milli = c->need_milli;
		return;
	}
	(void)g_strlcpy(new.service, c->service, sizeof(new.service));
	g_array_append_val(s->needs, new);
}

static struct hs_move *
find_move(const struct hs *s, const char *service)
{
	for (guint i = 0; i < s->moves->len; i++) {
		struct hs_move *v = &g_array_index(s->moves, struct hs_move, i);

		if (strcmp(v->service, service) == 0)
			return v;
	}
	return NULL;
}

/// A decision about a move that another one replaced comes too late.
static void
set_move(struct hs *s, uint64_t index, const struct hs_move *new)
{
	struct hs_move *v = find_move(s, new->service);

	if (v == NULL) {
		g_array_append_val(s->moves, *new);
		v = &g_array_index(s->moves, struct hs_move, s->moves->len - 1);
	} else if (strcmp(v->target, new->target) != 0 &&
	    new->move.added_us < v->move.added_us) {
		return;
	}
	*v = *new;
	v->sequence = index;
}

/// A service's newest move, or NULL.
const struct hs_move *
hs_move(const struct hs *s, const char *service)
{
	return find_move(s, service);
}

/// Number of services that ever moved.
size_t
hs_n_moves(const struct hs *s)
{
	return s->moves->len;
}

/// A move by its index.
const struct hs_move *
hs_move_at(const struct hs *s, size_t i)
{
	return &g_array_index(s->moves, struct hs_move, i);
}

/// Thousandths of a server that a service needs; 0: not known yet.
uint32_t
hs_need(const struct hs *s, const char *service)
{
	const struct need *n = find_need(s, service);

	return n == NULL ? 0 : n->milli;
}

/// Applies a committed command.
///
/// @param index  of its entry in the log: grows with each command
/// @return STATUS_OK, or STATUS_CORRUPT when it can't be read
enum status
hs_apply(struct hs *s, uint64_t index, const uint8_t *bytes, size_t len)
{
	struct hs_command c = { .kind = HS_CONFIG };
	struct codec *m = codec_reader(bytes, len);
	bool good;

	c.usage.counts = g_array_new(FALSE, TRUE, sizeof(struct lm_usage));
	code_command(m, &c);
	good = codec_at_end(m);
	codec_free(m);
	if (good) {
		switch (c.kind) {
		case HS_CONFIG:
			set_config(s, &c);
			break;
		case HS_DUTY:
			s->duty.holder = c.holder;
			s->duty.fence = index;
			break;
		case HS_USAGE:
			settle_usage(s, &c.usage);
			break;
		case HS_NEED:
			set_need(s, &c);
			break;
		case HS_MOVE:
			set_move(s, index, &c.move);
			break;
		case HS_KINDS:
			break;
		}
	}
	g_array_unref(c.usage.counts);
	return good ? STATUS_OK
		    : status_fail(STATUS_CORRUPT, "a command can't be read");
}

static void
code_state(struct codec *m, struct hs *s, const uint8_t **text)
{
	uint32_t format = HS_FORMAT;
	uint32_t n = g_queue_get_length(s->usage);

	codec_u32(m, &format);
	if (format != HS_FORMAT)
		codec_fail(m);
	codec_u64(m, &s->version);
	codec_bytes(m, text, &s->len);
	codec_u32(m, &s->duty.holder);
	codec_u64(m, &s->duty.fence);
	codec_u32(m, &n);
	for (uint32_t i = 0; i < n && !codec_failed(m); i++) {
		struct hs_usage *u;

		if (codec_is_writer(m)) {
			code_usage(m, g_queue_peek_nth(s->usage, i));
			continue;
		}
		u = g_new0(struct hs_usage, 1);
		u->counts = g_array_new(FALSE, TRUE, sizeof(struct lm_usage));
		g_queue_push_tail(s->usage, u);
		code_usage(m, u);
	}
	n = s->needs->len;
	codec_u32(m, &n);
	if (!codec_is_writer(m)) {
		if (n > HS_MAX_COUNTS)
			codec_fail(m);
		g_array_set_size(s->needs, codec_failed(m) ? 0 : n);
	}
	for (guint i = 0; i < s->needs->len; i++) {
		struct need *need = &g_array_index(s->needs, struct need, i);

		codec_str(m, need->service, sizeof(need->service));
		codec_u32(m, &need->milli);
	}
	n = s->moves->len;
	codec_u32(m, &n);
	if (!codec_is_writer(m)) {
		if (n > HS_MAX_COUNTS)
			codec_fail(m);
		g_array_set_size(s->moves, codec_failed(m) ? 0 : n);
	}
	for (guint i = 0; i < s->moves->len; i++)
		code_move(m, &g_array_index(s->moves, struct hs_move, i));
}

/// Encodes the whole state.
///
/// @param bytes  to be released with free()
void
hs_save(const struct hs *s, uint8_t **bytes, size_t *len)
{
	struct codec *m = codec_writer();
	struct hs copy = *s;
	const uint8_t *text = s->text;

	code_state(m, &copy, &text);
	codec_take(m, bytes, len);
}

/// Decodes a whole state.
///
/// @return STATUS_OK or STATUS_CORRUPT
enum status
hs_load(const uint8_t *bytes, size_t len, struct hs **out)
{
	struct hs *s = hs_new();
	struct codec *m = codec_reader(bytes, len);
	const uint8_t *text = NULL;
	bool good;

	code_state(m, s, &text);
	good = codec_at_end(m);
	s->text = g_memdup2(text, s->len);
	codec_free(m);
	if (!good) {
		hs_free(s);
		return status_fail(STATUS_CORRUPT, "a snapshot can't be read");
	}
	*out = s;
	return STATUS_OK;
}

/// Version of the configuration; 0 with no text: none yet.
uint64_t
hs_version(const struct hs *s)
{
	return s->version;
}

/// The configuration as the operator sent it.
///
/// @param len  receives its length; 0: none yet
const uint8_t *
hs_manifest(const struct hs *s, size_t *len)
{
	*len = s->len;
	return s->text;
}

/// Who holds the duties.
struct hs_duty
hs_duty(const struct hs *s)
{
	return s->duty;
}

/// Settled usage of a window, or NULL.
const struct hs_usage *
hs_usage(const struct hs *s, uint64_t window)
{
	for (const GList *l = s->usage->head; l != NULL; l = l->next) {
		const struct hs_usage *u = l->data;

		if (u->window == window)
			return u;
	}
	return NULL;
}
