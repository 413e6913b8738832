#include "replog/gp_core.h"

#include "base/lg.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SNAPSHOT_BYTES (4ULL << 20)

struct gp_wait {
	gp_done done;
	void *arg;
};

/// What waits for the next turn, or for the end of the step under way.
struct gp_input {
	struct rl_event event;
	uint8_t *bytes;
};

static void
input_free(struct gp_input *in)
{
	g_free(in->bytes);
	g_free(in);
}

/// Refuses everything from now on.
void
gp_fail(struct gp *g, enum st st)
{
	if (g->failed)
		return;
	g->failed = true;
	tm_disarm(g->tick);
	tm_disarm(g->join);
	g->config.ops.failed(g->config.arg, st);
}

static void
finish_wait(
    struct gp *g, uint64_t tag, enum st st, const uint8_t *bytes, size_t len)
{
	struct gp_wait *w = g_hash_table_lookup(g->waits, &tag);
	struct gp_wait copy;

	if (w == NULL)
		return;
	copy = *w;
	g_hash_table_remove(g->waits, &tag);
	copy.done(copy.arg, st, bytes, len);
}

/// Ends what waits, each with ST_TIMEOUT: for an owner that is about to close
/// the group and can still answer.
void
gp_end_waits(struct gp *g)
{
	GArray *tags = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, g->waits);
	while (g_hash_table_iter_next(&it, &key, NULL))
		g_array_append_vals(tags, key, 1);
	for (guint i = 0; i < tags->len; i++)
		finish_wait(
		    g, g_array_index(tags, uint64_t, i), ST_TIMEOUT, NULL, 0);
	g_array_unref(tags);
}

static void
clear_result(struct gp *g)
{
	free(g->result);
	g->result = NULL;
	g->result_len = 0;
}

static void
apply(struct gp *g, const struct rl_entry *e)
{
	clear_result(g);
	g->applied = e->index;
	if (e->kind != RL_COMMAND)
		return;
	g->config.ops.apply(g->config.arg, e->index, e->data, e->len,
	    &g->result, &g->result_len);
}

static void
outcome(struct gp *g, const struct rl_effect *fx)
{
	const bool own =
	    fx->outcome.status == ST_OK && fx->outcome.index == g->applied;

	finish_wait(g, fx->outcome.tag, fx->outcome.status,
	    own ? g->result : NULL, own ? g->result_len : 0);
}

static enum st
install(struct gp *g, const struct rl_effect *fx)
{
	enum st st =
	    dl_save_snapshot(g->disk, fx->install.index, fx->install.term,
		&fx->install.members, fx->install.bytes, fx->install.len);

	if (st == ST_OK)
		st = g->config.ops.snapshot_load(
		    g->config.arg, fx->install.bytes, fx->install.len);
	if (st != ST_OK)
		return st;
	clear_result(g);
	g->applied = fx->install.index;
	g->snapshot = fx->install.index;
	g->bytes_at_snapshot = dl_bytes(g->disk);
	g->installed_term = fx->install.term;
	return ST_OK;
}

static enum st
carry_out(struct gp *g, const struct rl_effect *fx)
{
	const struct gp_ops *ops = &g->config.ops;

	switch (fx->kind) {
	case RL_FX_HARD:
		return dl_write_hard(g->disk, &fx->hard);
	case RL_FX_APPEND:
		return dl_append(g->disk, &fx->entry);
	case RL_FX_SYNC:
		g->sync_seq = fx->sync.seq;
		tm_arm_in(g->turn, 0);
		break;
	case RL_FX_SEND:
		ops->send(g->config.arg, fx->send.to & RL_SLOT_MASK,
		    fx->send.bytes, fx->send.len);
		break;
	case RL_FX_COMMIT:
		apply(g, &fx->entry);
		break;
	case RL_FX_OUTCOME:
		outcome(g, fx);
		break;
	case RL_FX_ROLE:
		ops->role_changed(g->config.arg, fx->role.role, fx->role.leader,
		    fx->role.term);
		break;
	case RL_FX_ARM:
		tm_arm(g->tick, fx->arm.at_us);
		break;
	case RL_FX_NEED_SNAPSHOT:
		g_array_append_val(g->need_snapshot, fx->need_snapshot.to);
		tm_arm_in(g->turn, 0);
		break;
	case RL_FX_INSTALL:
		return install(g, fx);
	}
	return ST_OK;
}

static void
carry_out_all(struct gp *g, struct rl_effects *fx)
{
	for (size_t i = 0; i < fx->n && !g->failed; i++) {
		const enum st st = carry_out(g, &fx->items[i]);

		if (st != ST_OK)
			gp_fail(g, st);
	}
	rl_effects_clear(fx);
}

static void
announce_ready(struct gp *g)
{
	const bool ready = gp_is_ready(g);

	if (ready == g->was_ready)
		return;
	g->was_ready = ready;
	if (ready)
		g->config.ops.role_changed(g->config.arg, rl_role(g->core),
		    rl_leader(g->core), rl_term(g->core));
}

/// Tells the core before it sees anything else, so that no entry covered by
/// the snapshot can be handed out after it.
static void
confirm_install(struct gp *g)
{
	const struct rl_event ev = { .kind = RL_EV_SNAPSHOT_IN,
		.snapshot = {
		    .index = g->snapshot, .term = g->installed_term } };

	g->installed_term = 0;
	rl_step(g->core, tm_now_us(g->config.tm), &ev, &g->fx);
	carry_out_all(g, &g->fx);
}

/// Answers for a group that this process has no part in yet.
static void
refuse(struct gp *g, const struct rl_event *ev)
{
	if (ev->kind == RL_EV_PROPOSE)
		finish_wait(g, ev->propose.tag, ST_UNAVAILABLE, NULL, 0);
	else if (ev->kind == RL_EV_READ)
		finish_wait(g, ev->read.tag, ST_UNAVAILABLE, NULL, 0);
	else if (ev->kind == RL_EV_MEMBERS)
		finish_wait(g, ev->members.tag, ST_UNAVAILABLE, NULL, 0);
}

static void
step(struct gp *g, const struct rl_event *ev)
{
	if (g->failed)
		return;
	if (g->core == NULL) {
		refuse(g, ev);
		return;
	}
	assert(!g->busy);
	g->busy = true;
	rl_step(g->core, tm_now_us(g->config.tm), ev, &g->fx);
	carry_out_all(g, &g->fx);
	if (!g->failed && g->installed_term != 0)
		confirm_install(g);
	if (!g->failed)
		announce_ready(g);
	g->busy = false;
}

static void
queue_event(struct gp *g, const struct rl_event *ev, uint8_t *bytes)
{
	struct gp_input *in = g_new0(struct gp_input, 1);

	in->event = *ev;
	in->bytes = bytes;
	g_queue_push_tail(&g->inputs, in);
	tm_arm_in(g->turn, 0);
}

static void
on_tick(void *arg, uint64_t now_us)
{
	const struct rl_event ev = { .kind = RL_EV_TICK };

	(void)now_us;
	step(arg, &ev);
}

static void
run_inputs(struct gp *g)
{
	guint todo = g->inputs.length;

	while (todo-- > 0 && !g->failed) {
		struct gp_input *in = g_queue_pop_head(&g->inputs);
		const struct gp_input *next = g_queue_peek_head(&g->inputs);

		if (in->event.kind == RL_EV_PROPOSE)
			in->event.propose.more = todo > 0 && next != NULL &&
			    next->event.kind == RL_EV_PROPOSE;
		step(g, &in->event);
		input_free(in);
	}
}

static void
sync_writes(struct gp *g)
{
	struct rl_event ev = { .kind = RL_EV_SYNCED };
	enum st st;

	if (g->failed || g->sync_seq == g->synced_seq)
		return;
	ev.synced.seq = g->sync_seq;
	st = dl_sync(g->disk);
	if (st != ST_OK) {
		gp_fail(g, st);
		return;
	}
	g->synced_seq = ev.synced.seq;
	step(g, &ev);
}

static void
offer_snapshot(struct gp *g, uint32_t to)
{
	const uint64_t term = rl_term_at(g->core, g->applied);
	uint8_t *bytes = NULL;
	size_t len = 0;
	enum st st;

	st = g->config.ops.snapshot_make(g->config.arg, &bytes, &len);
	if (st != ST_OK) {
		lg_event(LG_ERROR, "replog.snapshot_failed",
		    "group=%u error=%s", g->config.group, st_name(st));
		return;
	}
	g->busy = true;
	rl_offer_snapshot(g->core, tm_now_us(g->config.tm), to, g->applied,
	    term, bytes, len, &g->fx);
	free(bytes);
	carry_out_all(g, &g->fx);
	g->busy = false;
}

static void
offer_snapshots(struct gp *g)
{
	while (g->need_snapshot->len > 0 && !g->failed) {
		const uint32_t to =
		    g_array_index(g->need_snapshot, uint32_t, 0);

		g_array_remove_index(g->need_snapshot, 0);
		if (g->applied > 0)
			offer_snapshot(g, to);
	}
}

static void
save_snapshot(struct gp *g)
{
	struct rl_event ev = { .kind = RL_EV_SNAPSHOT_MADE };
	uint8_t *bytes = NULL;
	size_t len = 0;
	enum st st;

	if (g->failed || g->applied <= g->snapshot ||
	    dl_bytes(g->disk) < g->bytes_at_snapshot + g->config.snapshot_bytes)
		return;
	ev.snapshot.index = g->applied;
	ev.snapshot.term = rl_term_at(g->core, g->applied);
	st = g->config.ops.snapshot_make(g->config.arg, &bytes, &len);
	if (st == ST_OK)
		st = dl_save_snapshot(g->disk, g->applied, ev.snapshot.term,
		    rl_members_at(g->core, g->applied), bytes, len);
	free(bytes);
	if (st != ST_OK) {
		gp_fail(g, st);
		return;
	}
	g->snapshot = g->applied;
	g->bytes_at_snapshot = dl_bytes(g->disk);
	step(g, &ev);
}

/// One turn: what came in, then one write and one sync for all of it.
static void
on_turn(void *arg, uint64_t now_us)
{
	struct gp *g = arg;

	(void)now_us;
	run_inputs(g);
	sync_writes(g);
	offer_snapshots(g);
	save_snapshot(g);
}

/// Hands over a message from a member.
void
gp_message(struct gp *g, uint32_t from, const uint8_t *bytes, size_t len)
{
	struct rl_event ev = { .kind = RL_EV_MESSAGE };

	if (g->failed)
		return;
	if (len > 0 && bytes[0] == GP_HELLO_MARK) {
		gp_on_hello(g, bytes, len);
		return;
	}
	ev.message.from = from;
	ev.message.len = len;
	if (g->busy) {
		uint8_t *copy = g_memdup2(bytes, len);

		ev.message.bytes = copy;
		queue_event(g, &ev, copy);
		return;
	}
	ev.message.bytes = bytes;
	step(g, &ev);
}

static uint64_t
add_wait(struct gp *g, gp_done done, void *arg)
{
	struct gp_wait *w = g_new(struct gp_wait, 1);
	uint64_t *key = g_new(uint64_t, 1);

	w->done = done;
	w->arg = arg;
	*key = ++g->last_tag;
	g_hash_table_insert(g->waits, key, w);
	return *key;
}

/// Proposes a command, see gp_done for the outcomes.
void
gp_propose(
    struct gp *g, const uint8_t *bytes, size_t len, gp_done done, void *arg)
{
	struct rl_event ev = { .kind = RL_EV_PROPOSE };
	uint8_t *copy = g_memdup2(bytes, len);

	assert(len <= GP_MAX_COMMAND_BYTES);
	ev.propose.tag = add_wait(g, done, arg);
	ev.propose.bytes = copy;
	ev.propose.len = len;
	queue_event(g, &ev, copy);
}

/// Asks for a read barrier.
void
gp_read(struct gp *g, gp_done done, void *arg)
{
	struct rl_event ev = { .kind = RL_EV_READ };

	ev.read.tag = add_wait(g, done, arg);
	queue_event(g, &ev, NULL);
}

/// Changes the members by one step.
void
gp_change_member(
    struct gp *g, uint32_t id, bool voter, bool remove, gp_done done, void *arg)
{
	struct rl_event ev = { .kind = RL_EV_MEMBERS };

	ev.members.tag = add_wait(g, done, arg);
	ev.members.id = id;
	ev.members.voter = voter;
	ev.members.remove = remove;
	queue_event(g, &ev, NULL);
}

/// Hands leadership over.
void
gp_transfer(struct gp *g, uint32_t to)
{
	struct rl_event ev = { .kind = RL_EV_TRANSFER };

	ev.transfer.to = to;
	queue_event(g, &ev, NULL);
}

/// Starts the core from what the disk holds.
enum st
gp_boot(struct gp *g, const struct dl_loaded *loaded)
{
	const struct gp_config *config = &g->config;
	struct rl_boot b = { .group = config->group,
		.self = g->identity.id,
		.hard = loaded->hard,
		.members = loaded->members,
		.snapshot_index = loaded->snapshot_index,
		.snapshot_term = loaded->snapshot_term,
		.entries = loaded->entries,
		.n_entries = loaded->n_entries,
		.election_us = config->election_us,
		.heartbeat_us = config->heartbeat_us,
		.limits = config->limits,
		.restarted = !loaded->fresh };
	enum st st;

	if (loaded->snapshot_index == 0)
		b.members = g->identity.initial;
	g->applied = loaded->snapshot_index;
	g->snapshot = loaded->snapshot_index;
	g->bytes_at_snapshot = 0;
	g->self = g->identity.id;
	if (loaded->snapshot_index > 0) {
		st = config->ops.snapshot_load(
		    config->arg, loaded->snapshot, loaded->snapshot_len);
		if (st != ST_OK)
			return st;
	}
	g->core = rl_new(&b, config->rnd, tm_now_us(config->tm));
	tm_arm_in(g->tick, 0);
	return ST_OK;
}

static struct dl_identity
wanted_identity(const struct gp_config *config)
{
	struct dl_identity want;

	memset(&want, 0, sizeof(want));
	(void)g_strlcpy(
	    want.deployment, config->deployment, sizeof(want.deployment));
	(void)g_strlcpy(want.node, config->node, sizeof(want.node));
	want.id = config->self;
	want.incarnation = rnd_u64(config->rnd);
	want.seat = DL_UNSEATED;
	want.initial.n_voters = config->n_voters;
	memcpy(want.initial.voters, config->voters,
	    config->n_voters * sizeof(config->voters[0]));
	return want;
}

/// Opens the disk log of a group and starts to take part in it.
///
/// @param out  the group, to be closed with gp_close()
/// @return as dl_open() and the snapshot_load callback
enum st
gp_open(const struct gp_config *config, struct gp **out)
{
	const struct dl_identity want = wanted_identity(config);
	struct gp *g = g_new0(struct gp, 1);
	struct dl_loaded loaded;
	enum st st;

	g->config = *config;
	if (g->config.snapshot_bytes == 0)
		g->config.snapshot_bytes = DEFAULT_SNAPSHOT_BYTES;
	g_queue_init(&g->inputs);
	g->waits =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g->need_snapshot = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g->tick = tm_subscribe(config->tm, on_tick, g);
	g->turn = tm_subscribe(config->tm, on_turn, g);
	g->join = tm_subscribe(config->tm, gp_on_join, g);
	st = dl_open(config->folder, config->group, &want, config->os, &g->disk,
	    &loaded);
	if (st == ST_OK) {
		g->identity = loaded.identity;
		g->self = loaded.identity.id;
		// Until the disks are agreed the settings may still change.
		if (g->identity.disks[0] == 0 && !config->late &&
		    g->identity.seat == DL_UNSEATED)
			g->identity.initial = want.initial;
		if (g->identity.seat == DL_UNSEATED)
			st = gp_join_start(g);
		else
			st = gp_boot(g, &loaded);
		dl_loaded_free(&loaded);
	}
	if (st != ST_OK) {
		gp_close(g);
		return st;
	}
	tm_arm_in(g->join, 0);
	*out = g;
	return ST_OK;
}

/// Closes a group; what still waits is forgotten without a callback. NULL is
/// allowed.
void
gp_close(struct gp *g)
{
	struct gp_input *in;

	if (g == NULL)
		return;
	assert(!g->busy);
	tm_unsubscribe(g->tick);
	tm_unsubscribe(g->turn);
	tm_unsubscribe(g->join);
	while ((in = g_queue_pop_head(&g->inputs)) != NULL)
		input_free(in);
	g_hash_table_unref(g->waits);
	g_array_unref(g->need_snapshot);
	clear_result(g);
	rl_effects_free(&g->fx);
	rl_free(g->core);
	dl_close(g->disk);
	g_free(g);
}
