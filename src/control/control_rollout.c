#include "control/control_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "rollout/rollout_codec.h"

/// rollout_key() of a name, which is kept for looking it up by the key.
static uint64_t
intern_name(struct control *c, const char *name)
{
	uint64_t *key = g_new(uint64_t, 1);
	const uint64_t value = rollout_key(name);

	*key = value;
	(void)g_hash_table_insert(c->version_names, key, g_strdup(name));
	return value;
}

/// Discards the state of all rollouts; the next tick rebuilds it from the
/// configuration. Called when this process becomes the leader.
void
control_rollout_reset(struct control *c)
{
	rollout_control_free(c->rollout);
	c->rollout = NULL;
	c->rollout_sequence = 0;
}

static enum rollout_state
state_of(const struct catalog_version *v)
{
	switch (v->phase) {
	case CATALOG_PHASE_WAITING:
		return ROLLOUT_PENDING;
	case CATALOG_PHASE_ROLLING_OUT:
		return ROLLOUT_PROGRESSING;
	case CATALOG_PHASE_DONE:
		return ROLLOUT_MONITORING;
	case CATALOG_PHASE_ROLLED_BACK:
		return ROLLOUT_ROLLED_BACK;
	case CATALOG_PHASE_WITHDRAWN:
		return ROLLOUT_WITHDRAWN;
	}
	return ROLLOUT_WITHDRAWN;
}

/// Number of servers that have a version loaded, in permille of those that
/// have the one it replaces loaded, at most ROLLOUT_FULL_PERMILLE. They may be
/// other servers: new servers beside the old ones count in full. Draining
/// servers don't count.
static uint32_t
ready_permille(const struct control *c, const struct catalog_version *v)
{
	size_t n;
	const struct catalog_server *s = catalog_servers(c->config, &n);
	uint32_t old = 0;
	uint32_t new = 0;

	for (size_t i = 0; i < n; i++) {
		if (strcmp(s[i].spec.pool, v->spec.pool) != 0 || s[i].draining)
			continue;
		old += control_weights_loaded(c, &s[i], v->spec.replaces);
		new += control_weights_loaded(c, &s[i], v->spec.name);
	}
	if (old == 0 || new >= old)
		return new > 0 ? ROLLOUT_FULL_PERMILLE : 0;
	return new *ROLLOUT_FULL_PERMILLE / old;
}

/// Whether the version has a rollout that is waiting, in progress or still
/// monitored.
static bool
has_active_rollout(const struct catalog_version *v)
{
	if (v->spec.replaces[0] == '\0')
		return false;
	return v->phase == CATALOG_PHASE_WAITING ||
	    v->phase == CATALOG_PHASE_ROLLING_OUT ||
	    (v->phase == CATALOG_PHASE_DONE && v->in_force);
}

/// Adds the rollout of a version to rollout_control with what the configuration
/// says of it. A rollout that is already known keeps its state.
static void
add_rollout(struct control *c, const struct catalog_version *v)
{
	const uint64_t wall = loop_wall_us();
	struct rollout_record record = {
		.pool = intern_name(c, v->spec.pool),
		.version = intern_name(c, v->spec.name),
		.replaces = intern_name(c, v->spec.replaces),
		.deadline_us = v->spec.complete_by_s * USEC_PER_SEC,
		.added_us = wall,
		.step_us = wall,
		.share_permille = v->share_permille,
		.state = state_of(v),
	};
	struct rollout_record known;

	if (record.state == ROLLOUT_MONITORING)
		record.done_us = wall;
	// Except a final one whose version waits again: a note started it anew.
	if (rollout_control_get(c->rollout, record.version, &known) &&
	    !(rollout_is_final(known.state) && record.state == ROLLOUT_PENDING))
		return;
	rollout_control_add(c->rollout, &record);
}

static void
ensure_rollout(struct control *c)
{
	const struct rollout_control_settings settings = {
		.canary_permille = c->settings.canary_share_permille,
	};

	if (c->rollout == NULL)
		c->rollout = rollout_control_new(&settings);
}

/// Updates the rollouts from the configuration: baselines of the pools, new
/// rollouts, and those that were rolled back or withdrawn.
static void
sync_rollouts(struct control *c)
{
	size_t n;
	const struct catalog_version *v = catalog_versions(c->config, &n);

	for (size_t i = 0; i < n; i++) {
		if (v[i].in_force && v[i].phase == CATALOG_PHASE_DONE)
			rollout_control_set_pool(c->rollout,
			    intern_name(c, v[i].spec.pool),
			    intern_name(c, v[i].spec.name));
	}
	for (size_t i = 0; i < n; i++) {
		const uint64_t key = intern_name(c, v[i].spec.name);

		if (has_active_rollout(&v[i]))
			add_rollout(c, &v[i]);
		else if (v[i].phase == CATALOG_PHASE_ROLLED_BACK ||
		    v[i].phase == CATALOG_PHASE_WITHDRAWN)
			rollout_control_withdraw(c->rollout, key);
	}
	c->rollout_sequence = catalog_sequence(c->config);
}

/// Result of proposing a decision.
static void
on_decision_proposed(
    void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct control *c = arg;

	// A decision that wasn't committed, or conflicted with a command that
	// came first, is made again from the configuration; but in the next
	// tick, since this may be called while decisions are being made.
	if (status != STATUS_OK ||
	    g_strstr_len((const char *)bytes, (gssize)len,
		"\"status\":\"accepted\"") == NULL)
		c->rollout_commit_failed = true;
}

static enum catalog_phase
phase_of(enum rollout_effect_kind kind)
{
	switch (kind) {
	case ROLLOUT_SET_SHARE:
		return CATALOG_PHASE_ROLLING_OUT;
	case ROLLOUT_COMPLETE:
	case ROLLOUT_FINISHED:
		return CATALOG_PHASE_DONE;
	case ROLLOUT_ROLL_BACK:
		return CATALOG_PHASE_ROLLED_BACK;
	}
	return CATALOG_PHASE_ROLLED_BACK;
}

/// Proposes a decision, on condition that the version's phase and share are
/// still those that it was based on. `version.decided` is logged with the
/// proposal, before the commit.
static void
on_effect(void *arg, const struct rollout_effect *effect)
{
	struct control *c = arg;
	const char *name =
	    g_hash_table_lookup(c->version_names, &effect->record.version);
	const struct catalog_version *v;
	struct catalog_command command = { .kind = CATALOG_CMD_VERSION_SHARE };

	if (name == NULL || effect->kind == ROLLOUT_FINISHED)
		return;
	v = catalog_version(c->config, name);
	if (v == NULL || v->phase == CATALOG_PHASE_WITHDRAWN ||
	    v->phase == CATALOG_PHASE_ROLLED_BACK)
		return;
	logger_event(LOGGER_INFO, "version.decided",
	    "version=%s decision=%s share_permille=%u reason=\"%s\"", name,
	    catalog_phase_name(phase_of(effect->kind)),
	    effect->record.share_permille,
	    rollout_reason_name(effect->record.reason));
	if (effect->kind == ROLLOUT_COMPLETE &&
	    effect->record.deadline_us != ROLLOUT_NO_DEADLINE &&
	    loop_wall_us() > effect->record.deadline_us)
		(void)g_hash_table_add(c->late_rollouts, g_strdup(name));
	(void)g_strlcpy(command.version_share.version, name, SPEC_NAME_BYTES);
	command.version_share.phase = phase_of(effect->kind);
	command.version_share.share_permille = effect->record.share_permille;
	command.version_share.expect_phase = v->phase;
	command.version_share.expect_share_permille = v->share_permille;
	(void)g_strlcpy(command.version_share.reason,
	    rollout_reason_name(effect->record.reason), CATALOG_REASON_BYTES);
	control_propose_config(c, &command, on_decision_proposed, c);
}

/// Reports to each rollout which part of the servers has its version loaded.
static void
update_capacity(struct control *c)
{
	size_t n;
	const struct catalog_version *v = catalog_versions(c->config, &n);

	for (size_t i = 0; i < n; i++) {
		if (has_active_rollout(&v[i]))
			rollout_control_set_capacity(c->rollout,
			    rollout_key(v[i].spec.name),
			    ready_permille(c, &v[i]));
	}
}

/// Decides about the rollouts in progress and proposes the decisions (leader
/// only).
void
control_rollout_tick(struct control *c, uint64_t now_us)
{
	(void)now_us;
	ensure_rollout(c);
	if (c->rollout_commit_failed) {
		rollout_control_clear(c->rollout);
		c->rollout_sequence = 0;
		c->rollout_commit_failed = false;
	}
	if (c->rollout_sequence != catalog_sequence(c->config))
		sync_rollouts(c);
	update_capacity(c);
	rollout_control_tick(c->rollout, loop_wall_us(), on_effect, c);
}

/// Merges an entry's rollout stats and acknowledges them (leader only).
void
control_rollout_stats(
    struct control *c, handle_t link, const struct wire_bytes *b)
{
	const struct wire_msg ack = { .kind = WIRE_ROLLOUT_STATS,
		.payload = *b };
	struct rollout_message *m;

	if (!control_is_leader(c, CONTROL_CONFIG_GROUP))
		return;
	m = g_new(struct rollout_message, 1);
	ensure_rollout(c);
	if (rollout_report_decode(b->data, b->len, m) == STATUS_OK) {
		(void)rollout_control_report(c->rollout, &m->report);
		for (uint32_t i = 0; i < m->n_stopped; i++)
			rollout_control_entry_stopped(
			    c->rollout, m->stopped[i]);
		(void)transport_send(c->links, link, &ack);
	}
	g_free(m);
}
