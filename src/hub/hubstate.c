#include "hub/hubstate.h"

#include <string.h>

#include "codec/codec.h"

/// Windows whose final usage is kept, so that a repeated report is the same.
#define HUBSTATE_KEEP_WINDOWS 24
#define HUBSTATE_MAX_COUNTS 4096
/// Parts of prompts that are known to crash servers; the one whose block ends
/// first makes room for another.
#define HUBSTATE_MAX_BLOCKS 256
/// Addresses that are kept, far more than run; the oldest one makes room.
#define HUBSTATE_MAX_HOSTS 64
/// Formats of a snapshot. It is written in the first one that holds what it
/// has, so that older processes can read it as long as possible.
#define HUBSTATE_FORMAT 1
#define HUBSTATE_FORMAT_BLOCKS 2
/// Has blocked parts, and evacuations after them.
#define HUBSTATE_FORMAT_EVACUATIONS 3
/// Has addresses of control processes after all of these.
#define HUBSTATE_FORMAT_HOSTS 4

struct hubstate {
	uint64_t version;
	uint8_t *manifest;
	size_t manifest_len;
	struct hubstate_duty duty;
	GQueue *usage;            ///< struct hubstate_usage, oldest first
	GArray *needs;            ///< struct need
	GArray *rollouts;         ///< struct hubstate_rollout
	GArray *blocks;           ///< struct hubstate_block
	uint64_t blocks_revision; ///< log index of their last change; 0: none
	struct evacset evacuations;
	GArray *hosts;           ///< struct hosttable_entry, newest last
	uint64_t gateways_index; ///< see hubstate_gateways_index(); not saved
};

/// Servers that a service needs, as last recorded.
struct service_need {
	char service[FLEETCFG_NAME_BYTES];
	uint32_t milliservers;
};

static void
usage_free(gpointer p)
{
	struct hubstate_usage *u = p;

	g_array_unref(u->counts);
	g_free(u);
}

/// Makes an empty state.
struct hubstate *
hubstate_new(void)
{
	struct hubstate *s = g_new0(struct hubstate, 1);

	s->usage = g_queue_new();
	s->needs = g_array_new(FALSE, TRUE, sizeof(struct service_need));
	s->rollouts = g_array_new(FALSE, TRUE, sizeof(struct hubstate_rollout));
	s->blocks = g_array_new(FALSE, TRUE, sizeof(struct hubstate_block));
	s->hosts = g_array_new(FALSE, TRUE, sizeof(struct hosttable_entry));
	return s;
}

/// Releases a state; NULL is allowed.
void
hubstate_free(struct hubstate *s)
{
	if (s == NULL)
		return;
	g_queue_free_full(s->usage, usage_free);
	g_array_unref(s->needs);
	g_array_unref(s->rollouts);
	g_array_unref(s->blocks);
	g_array_unref(s->hosts);
	g_free(s->manifest);
	g_free(s);
}

static void
code_usage(struct codec *m, struct hubstate_usage *u)
{
	uint32_t n = u->counts->len;

	codec_u64(m, &u->window);
	codec_u32(m, &n);
	if (!codec_is_writer(m)) {
		if (n > HUBSTATE_MAX_COUNTS) {
			codec_fail(m);
			n = 0;
		}
		g_array_set_size(u->counts, n);
	}
	for (uint32_t i = 0; i < n; i++) {
		struct hubmsg_usage *c =
		    &g_array_index(u->counts, struct hubmsg_usage, i);

		c->window = u->window;
		codec_str(m, c->customer, sizeof(c->customer));
		codec_u64(m, &c->n);
	}
}

static void
code_rollout(struct codec *m, struct hubstate_rollout *v)
{
	codec_str(m, v->service, sizeof(v->service));
	codec_str(m, v->target, sizeof(v->target));
	codec_str(m, v->baseline, sizeof(v->baseline));
	codec_u64(m, &v->sequence);
	codec_u64(m, &v->record.pool);
	codec_u64(m, &v->record.version);
	codec_u64(m, &v->record.replaces);
	codec_u64(m, &v->record.deadline_us);
	codec_u64(m, &v->record.added_us);
	codec_u64(m, &v->record.step_us);
	codec_u64(m, &v->record.done_us);
	codec_u32(m, &v->record.share_permille);
	codec_enum(m, &v->record.state, ROLLOUT_WITHDRAWN + 1);
	codec_enum(m, &v->record.reason, ROLLOUT_REASON_NOTE + 1);
}

static void
code_block(struct codec *m, struct hubstate_block *b)
{
	codec_str(m, b->part.service, sizeof(b->part.service));
	codec_u64(m, &b->part.id);
	codec_u64(m, &b->until_us);
	codec_u32(m, &b->n_blocks);
}

static void
code_host(struct codec *m, struct hosttable_entry *e)
{
	codec_u32(m, &e->slot);
	codec_str(m, e->host, sizeof(e->host));
}

static void
code_command(struct codec *m, struct hubstate_command *c)
{
	codec_enum(m, &c->kind, HUBSTATE_N_KINDS);
	switch (c->kind) {
	case HUBSTATE_CONFIG:
		codec_u64(m, &c->version);
		codec_bytes(m, &c->manifest, &c->manifest_len);
		break;
	case HUBSTATE_DUTY:
		codec_u32(m, &c->holder);
		break;
	case HUBSTATE_USAGE:
		code_usage(m, &c->usage);
		break;
	case HUBSTATE_NEEDED_SERVERS:
		codec_str(m, c->service, sizeof(c->service));
		codec_u32(m, &c->needed_milliservers);
		break;
	case HUBSTATE_ROLLOUT:
		code_rollout(m, &c->rollout);
		break;
	case HUBSTATE_BLOCK:
		code_block(m, &c->block);
		break;
	case HUBSTATE_EVACUATE:
	case HUBSTATE_RESTORE:
		codec_str(m, c->evacuation.zone, sizeof(c->evacuation.zone));
		codec_u64(m, &c->evacuation.since_us);
		break;
	case HUBSTATE_HOST:
		code_host(m, &c->host);
		break;
	case HUBSTATE_N_KINDS:
		codec_fail(m);
		break;
	}
}

/// Encodes a command.
///
/// @param bytes  receives the encoding; release with free()
void
hubstate_encode(const struct hubstate_command *c, uint8_t **bytes, size_t *len)
{
	struct hubstate_command copy = *c;
	struct codec *m = codec_writer();

	code_command(m, &copy);
	codec_take(m, bytes, len);
}

static void
set_config(struct hubstate *s, const struct hubstate_command *c)
{
	if (s->manifest_len > 0 && c->version <= s->version)
		return;
	g_free(s->manifest);
	s->version = c->version;
	s->manifest = g_memdup2(c->manifest, c->manifest_len);
	s->manifest_len = c->manifest_len;
}

static void
finalize_usage(struct hubstate *s, struct hubstate_usage *u)
{
	struct hubstate_usage *added;

	if (hubstate_usage(s, u->window) != NULL)
		return;
	added = g_new0(struct hubstate_usage, 1);
	added->window = u->window;
	added->counts = g_array_ref(u->counts);
	g_queue_push_tail(s->usage, added);
	if (g_queue_get_length(s->usage) > HUBSTATE_KEEP_WINDOWS)
		usage_free(g_queue_pop_head(s->usage));
}

static struct service_need *
find_need(const struct hubstate *s, const char *service)
{
	for (guint i = 0; i < s->needs->len; i++) {
		struct service_need *n =
		    &g_array_index(s->needs, struct service_need, i);

		if (strcmp(n->service, service) == 0)
			return n;
	}
	return NULL;
}

static void
set_need(struct hubstate *s, const struct hubstate_command *c)
{
	struct service_need *n = find_need(s, c->service);
	struct service_need new = { .milliservers = c->needed_milliservers };

	if (n != NULL) {
		n->milliservers = c->needed_milliservers;
		return;
	}
	(void)g_strlcpy(new.service, c->service, sizeof(new.service));
	g_array_append_val(s->needs, new);
}

static struct hubstate_rollout *
find_rollout(const struct hubstate *s, const char *service)
{
	for (guint i = 0; i < s->rollouts->len; i++) {
		struct hubstate_rollout *v =
		    &g_array_index(s->rollouts, struct hubstate_rollout, i);

		if (strcmp(v->service, service) == 0)
			return v;
	}
	return NULL;
}

/// Stores a rollout or a decision on it. A decision on an older rollout to
/// another target is ignored: a newer rollout has replaced it.
static void
set_rollout(
    struct hubstate *s, uint64_t index, const struct hubstate_rollout *new)
{
	struct hubstate_rollout *v = find_rollout(s, new->service);

	if (v == NULL) {
		g_array_append_val(s->rollouts, *new);
		v = &g_array_index(
		    s->rollouts, struct hubstate_rollout, s->rollouts->len - 1);
	} else if (strcmp(v->target, new->target) != 0 &&
	    new->record.added_us < v->record.added_us) {
		return;
	}
	*v = *new;
	v->sequence = index;
}

static struct hubstate_block *
find_block(const struct hubstate *s, const struct crashlog_part *part)
{
	for (guint i = 0; i < s->blocks->len; i++) {
		struct hubstate_block *b =
		    &g_array_index(s->blocks, struct hubstate_block, i);

		if (b->part.id == part->id &&
		    strcmp(b->part.service, part->service) == 0)
			return b;
	}
	return NULL;
}

static void
drop_block_that_ends_first(struct hubstate *s)
{
	guint first = 0;

	for (guint i = 1; i < s->blocks->len; i++) {
		if (g_array_index(s->blocks, struct hubstate_block, i)
			.until_us <
		    g_array_index(s->blocks, struct hubstate_block, first)
			.until_us)
			first = i;
	}
	g_array_remove_index(s->blocks, first);
}

static void
set_block(struct hubstate *s, uint64_t index, const struct hubstate_block *new)
{
	struct hubstate_block *b = find_block(s, &new->part);

	s->blocks_revision = index;
	if (b != NULL) {
		*b = *new;
		return;
	}
	if (s->blocks->len >= HUBSTATE_MAX_BLOCKS)
		drop_block_that_ends_first(s);
	g_array_append_val(s->blocks, *new);
}

static void
set_host(struct hubstate *s, const struct hosttable_entry *new)
{
	for (guint i = 0; i < s->hosts->len; i++) {
		if (g_array_index(s->hosts, struct hosttable_entry, i).slot ==
		    new->slot) {
			g_array_remove_index(s->hosts, i);
			break;
		}
	}
	if (s->hosts->len >= HUBSTATE_MAX_HOSTS)
		g_array_remove_index(s->hosts, 0);
	g_array_append_val(s->hosts, *new);
}

/// Addresses of control processes that their slots don't imply: struct
/// hosttable_entry. Valid until the next change of `s`.
const GArray *
hubstate_hosts(const struct hubstate *s)
{
	return s->hosts;
}

/// Address that is recorded for a slot, or NULL; valid until the next change of
/// `s`.
const char *
hubstate_host(const struct hubstate *s, uint32_t slot)
{
	for (guint i = 0; i < s->hosts->len; i++) {
		const struct hosttable_entry *e =
		    &g_array_index(s->hosts, struct hosttable_entry, i);

		if (e->slot == slot)
			return e->host;
	}
	return NULL;
}

/// Whether an address is recorded for a slot.
bool
hubstate_has_host(const struct hubstate *s, uint32_t slot, const char *host)
{
	return g_strcmp0(hubstate_host(s, slot), host) == 0;
}

/// What is known of a part of prompts that crashed servers; NULL if it never
/// did. Valid until the next change of `s`.
const struct hubstate_block *
hubstate_block(const struct hubstate *s, const struct crashlog_part *part)
{
	return find_block(s, part);
}

/// Number of parts that are or were blocked.
size_t
hubstate_n_blocks(const struct hubstate *s)
{
	return s->blocks->len;
}

/// A part that is or was blocked, by its index; valid until the next change of
/// `s`.
const struct hubstate_block *
hubstate_block_at(const struct hubstate *s, size_t i)
{
	return &g_array_index(s->blocks, struct hubstate_block, i);
}

/// Grows with each change of the blocked parts; 0: there were none.
uint64_t
hubstate_blocks_revision(const struct hubstate *s)
{
	return s->blocks_revision;
}

/// A service's newest rollout, or NULL; valid until the next change of `s`.
const struct hubstate_rollout *
hubstate_rollout(const struct hubstate *s, const char *service)
{
	return find_rollout(s, service);
}

/// Number of services that have had a rollout.
size_t
hubstate_n_rollouts(const struct hubstate *s)
{
	return s->rollouts->len;
}

/// A rollout by its index; valid until the next change of `s`.
const struct hubstate_rollout *
hubstate_rollout_at(const struct hubstate *s, size_t i)
{
	return &g_array_index(s->rollouts, struct hubstate_rollout, i);
}

/// Thousandths of a server that a service needs; 0: not known yet.
uint32_t
hubstate_needed_milliservers(const struct hubstate *s, const char *service)
{
	const struct service_need *n = find_need(s, service);

	return n == NULL ? 0 : n->milliservers;
}

/// Whether every command of a kind changes what gateways are sent.
static bool
concerns_gateways(enum hubstate_command_kind kind)
{
	switch (kind) {
	case HUBSTATE_CONFIG:
	case HUBSTATE_ROLLOUT:
	case HUBSTATE_BLOCK:
	case HUBSTATE_HOST:
		return true;
	case HUBSTATE_EVACUATE: // Only if it changes the set.
	case HUBSTATE_RESTORE:
	case HUBSTATE_DUTY:
	case HUBSTATE_USAGE:
	case HUBSTATE_NEEDED_SERVERS:
	case HUBSTATE_N_KINDS:
		return false;
	}
	return false;
}

/// Log index of the last command that changed what gateways are sent, since
/// this state was made or loaded; 0: none.
uint64_t
hubstate_gateways_index(const struct hubstate *s)
{
	return s->gateways_index;
}

/// Applies a committed command.
///
/// @param index  of its entry in the log: grows with each command
/// @return STATUS_OK, or STATUS_CORRUPT if it can't be decoded; nothing changes
///         then
enum status
hubstate_apply(
    struct hubstate *s, uint64_t index, const uint8_t *bytes, size_t len)
{
	struct hubstate_command c = { .kind = HUBSTATE_CONFIG };
	struct codec *m = codec_reader(bytes, len);
	bool valid;

	c.usage.counts = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_usage));
	code_command(m, &c);
	valid = codec_at_end(m);
	codec_free(m);
	if (valid) {
		s->gateways_index =
		    concerns_gateways(c.kind) ? index : s->gateways_index;
		switch (c.kind) {
		case HUBSTATE_CONFIG:
			set_config(s, &c);
			break;
		case HUBSTATE_DUTY:
			s->duty.holder = c.holder;
			s->duty.fence = index;
			break;
		case HUBSTATE_USAGE:
			finalize_usage(s, &c.usage);
			break;
		case HUBSTATE_NEEDED_SERVERS:
			set_need(s, &c);
			break;
		case HUBSTATE_ROLLOUT:
			set_rollout(s, index, &c.rollout);
			break;
		case HUBSTATE_BLOCK:
			set_block(s, index, &c.block);
			break;
		case HUBSTATE_EVACUATE:
			if (evacset_add(&s->evacuations, index,
				c.evacuation.zone, c.evacuation.since_us))
				s->gateways_index = index;
			break;
		case HUBSTATE_RESTORE:
			if (evacset_remove(
				&s->evacuations, index, c.evacuation.zone))
				s->gateways_index = index;
			break;
		case HUBSTATE_HOST:
			set_host(s, &c.host);
			break;
		case HUBSTATE_N_KINDS:
			break;
		}
	}
	g_array_unref(c.usage.counts);
	return valid ? STATUS_OK
		     : status_fail(STATUS_CORRUPT,
			   "a command of the log can't be decoded");
}

static void
code_blocks(struct codec *m, struct hubstate *s)
{
	uint32_t n = s->blocks->len;

	codec_u64(m, &s->blocks_revision);
	codec_u32(m, &n);
	if (!codec_is_writer(m)) {
		if (n > HUBSTATE_MAX_BLOCKS)
			codec_fail(m);
		g_array_set_size(s->blocks, codec_failed(m) ? 0 : n);
	}
	for (guint i = 0; i < s->blocks->len; i++)
		code_block(
		    m, &g_array_index(s->blocks, struct hubstate_block, i));
}

static void
code_hosts(struct codec *m, struct hubstate *s)
{
	uint32_t n = s->hosts->len;

	codec_u32(m, &n);
	if (!codec_is_writer(m)) {
		if (n > HUBSTATE_MAX_HOSTS)
			codec_fail(m);
		g_array_set_size(s->hosts, codec_failed(m) ? 0 : n);
	}
	for (guint i = 0; i < s->hosts->len; i++)
		code_host(
		    m, &g_array_index(s->hosts, struct hosttable_entry, i));
}

static uint32_t
format_for(const struct hubstate *s)
{
	if (s->hosts->len > 0)
		return HUBSTATE_FORMAT_HOSTS;
	if (s->evacuations.revision > 0)
		return HUBSTATE_FORMAT_EVACUATIONS;
	return s->blocks->len > 0 ? HUBSTATE_FORMAT_BLOCKS : HUBSTATE_FORMAT;
}

static void
code_state(struct codec *m, struct hubstate *s, const uint8_t **manifest)
{
	uint32_t format = format_for(s);
	uint32_t n = g_queue_get_length(s->usage);

	codec_u32(m, &format);
	if (format < HUBSTATE_FORMAT || format > HUBSTATE_FORMAT_HOSTS)
		codec_fail(m);
	codec_u64(m, &s->version);
	codec_bytes(m, manifest, &s->manifest_len);
	codec_u32(m, &s->duty.holder);
	codec_u64(m, &s->duty.fence);
	codec_u32(m, &n);
	for (uint32_t i = 0; i < n && !codec_failed(m); i++) {
		struct hubstate_usage *u;

		if (codec_is_writer(m)) {
			code_usage(m, g_queue_peek_nth(s->usage, i));
			continue;
		}
		u = g_new0(struct hubstate_usage, 1);
		u->counts =
		    g_array_new(FALSE, TRUE, sizeof(struct hubmsg_usage));
		g_queue_push_tail(s->usage, u);
		code_usage(m, u);
	}
	n = s->needs->len;
	codec_u32(m, &n);
	if (!codec_is_writer(m)) {
		if (n > HUBSTATE_MAX_COUNTS)
			codec_fail(m);
		g_array_set_size(s->needs, codec_failed(m) ? 0 : n);
	}
	for (guint i = 0; i < s->needs->len; i++) {
		struct service_need *need =
		    &g_array_index(s->needs, struct service_need, i);

		codec_str(m, need->service, sizeof(need->service));
		codec_u32(m, &need->milliservers);
	}
	n = s->rollouts->len;
	codec_u32(m, &n);
	if (!codec_is_writer(m)) {
		if (n > HUBSTATE_MAX_COUNTS)
			codec_fail(m);
		g_array_set_size(s->rollouts, codec_failed(m) ? 0 : n);
	}
	for (guint i = 0; i < s->rollouts->len; i++)
		code_rollout(
		    m, &g_array_index(s->rollouts, struct hubstate_rollout, i));
	if (format >= HUBSTATE_FORMAT_BLOCKS)
		code_blocks(m, s);
	if (format >= HUBSTATE_FORMAT_EVACUATIONS)
		evacset_code(m, &s->evacuations);
	if (format >= HUBSTATE_FORMAT_HOSTS)
		code_hosts(m, s);
}

/// Encodes the whole state for a snapshot.
///
/// @param bytes  receives the encoding; release with free()
void
hubstate_save(const struct hubstate *s, uint8_t **bytes, size_t *len)
{
	struct codec *m = codec_writer();
	struct hubstate copy = *s;
	const uint8_t *manifest = s->manifest;

	code_state(m, &copy, &manifest);
	codec_take(m, bytes, len);
}

/// Decodes a whole state from a snapshot.
///
/// @param out  receives the state; release with hubstate_free()
/// @return STATUS_OK or STATUS_CORRUPT
enum status
hubstate_load(const uint8_t *bytes, size_t len, struct hubstate **out)
{
	struct hubstate *s = hubstate_new();
	struct codec *m = codec_reader(bytes, len);
	const uint8_t *manifest = NULL;
	bool valid;

	code_state(m, s, &manifest);
	valid = codec_at_end(m);
	s->manifest = g_memdup2(manifest, s->manifest_len);
	codec_free(m);
	if (!valid) {
		hubstate_free(s);
		return status_fail(STATUS_CORRUPT,
		    "a snapshot of the control state can't be decoded");
	}
	*out = s;
	return STATUS_OK;
}

/// The evacuated data centres; valid until the next change of `s`.
const struct evacset *
hubstate_evacuations(const struct hubstate *s)
{
	return &s->evacuations;
}

/// Version of the configuration; 0 while there is none.
uint64_t
hubstate_version(const struct hubstate *s)
{
	return s->version;
}

/// The configuration as the operator sent it.
///
/// @param len  receives its length in bytes; 0: none yet
/// @return owned by `s`
const uint8_t *
hubstate_manifest(const struct hubstate *s, size_t *len)
{
	*len = s->manifest_len;
	return s->manifest;
}

/// The holder of the duties.
struct hubstate_duty
hubstate_duty(const struct hubstate *s)
{
	return s->duty;
}

/// Final usage of a window; NULL if it isn't final yet or no longer kept.
const struct hubstate_usage *
hubstate_usage(const struct hubstate *s, uint64_t window)
{
	for (const GList *l = s->usage->head; l != NULL; l = l->next) {
		const struct hubstate_usage *u = l->data;

		if (u->window == window)
			return u;
	}
	return NULL;
}
