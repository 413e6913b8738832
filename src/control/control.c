#include "control/control_internal.h"

#include <inttypes.h>
#include <string.h>

#define CONTROL_TICK_US (100 * USEC_PER_MSEC)
#define CONTROL_STOP_US (300 * USEC_PER_MSEC)
#define CONTROL_MAX_QUEUE_BYTES (64UL * 1024 * 1024)
#define CONTROL_IDLE_MS 60000
#define CONTROL_FAILED_EXIT 1

/// Whether this process leads a group, holds the leader's lease and has
/// applied everything that earlier leaders committed.
bool
control_is_leader(const struct control *c, uint32_t group)
{
	return group < CONTROL_GROUPS &&
	    replica_is_ready(c->groups[group].replica);
}

static void
on_group_send(void *arg, uint32_t to, const uint8_t *bytes, size_t len)
{
	const struct control_group *g = arg;
	struct control *c = g->control;
	const struct wire_msg msg = {
		.kind = WIRE_RAFT,
		.raft = { .group = g->number, .bytes = { bytes, len } },
	};

	for (uint32_t i = 0; i < c->settings.n_control; i++) {
		if (c->settings.control[i].id == (to & RAFT_SLOT_MASK))
			(void)transport_send(c->links, c->peers[i], &msg);
	}
}

/// Schedules a push of the configuration to the entries. Called after each
/// change of the configuration and after each change of the leader.
void
control_config_changed(struct control *c)
{
	timerq_arm_in(c->sync_timer, 0);
}

static void
apply_config(struct control *c, const uint8_t *cmd, size_t len,
    uint8_t **result, size_t *result_len)
{
	const uint64_t before = catalog_sequence(c->config);
	struct catalog_result r;
	char *json;

	catalog_apply(c->config, cmd, len, &r);
	json = control_result_json(&r);
	*result_len = strlen(json);
	*result = (uint8_t *)json;
	catalog_result_clear(&r);
	if (catalog_sequence(c->config) == before)
		return;
	// The revision counts release notes, the sequence all changes.
	logger_event(LOGGER_INFO, "config.changed",
	    "revision=%" PRIu64 " sequence=%" PRIu64,
	    catalog_revision(c->config), catalog_sequence(c->config));
	control_sync_track_change(c);
	control_config_changed(c);
}

static void
on_apply(void *arg, uint64_t index, const uint8_t *cmd, size_t len,
    uint8_t **result, size_t *result_len)
{
	struct control_group *g = arg;
	struct journal_result r;

	(void)index;
	if (g->journal == NULL) {
		apply_config(g->control, cmd, len, result, result_len);
		return;
	}
	journal_apply(g->journal, cmd, len, &r);
	journal_result_encode(&r, result, result_len);
}

static enum status
on_snapshot_make(void *arg, uint8_t **bytes, size_t *len)
{
	const struct control_group *g = arg;

	if (g->journal == NULL)
		catalog_snapshot(g->control->config, bytes, len);
	else
		journal_snapshot(g->journal, bytes, len);
	return STATUS_OK;
}

static enum status
on_snapshot_load(void *arg, const uint8_t *bytes, size_t len)
{
	struct control_group *g = arg;
	struct catalog *config;
	struct journal *journal;
	enum status status;

	if (g->journal != NULL) {
		status = journal_restore(bytes, len, &journal);
		if (status != STATUS_OK)
			return status;
		journal_free(g->journal);
		g->journal = journal;
		return STATUS_OK;
	}
	status = catalog_restore(bytes, len, &config);
	if (status != STATUS_OK)
		return status;
	catalog_free(g->control->config);
	g->control->config = config;
	control_config_changed(g->control);
	return STATUS_OK;
}

static void
on_role_changed(void *arg, enum raft_role role, uint32_t leader, uint64_t term)
{
	const struct control_group *g = arg;
	struct control *c = g->control;
	const bool ready = replica_is_ready(g->replica);

	logger_event(LOGGER_INFO, "group.role",
	    "group=%u role=%d leader=%u term=%" PRIu64 " ready=%d", g->number,
	    (int)role, leader, term, ready);
	if (g->number != CONTROL_CONFIG_GROUP)
		return;
	if (!ready) {
		c->leader_since_us = 0;
	} else if (c->leader_since_us == 0) {
		c->leader_since_us = loop_now_us(c->loop);
		control_rollout_reset(c);
		control_weights_reset(c);
	}
	control_sync_leases(c);
	control_config_changed(c);
}

static void
on_group_failed(void *arg, enum status status)
{
	const struct control_group *g = arg;
	char quoted[256];

	logger_event(LOGGER_ERROR, "group.failed",
	    "group=%u status=%s reason=%s", g->number, status_name(status),
	    logger_quote(quoted, sizeof(quoted), status_last()));
	loop_exit(g->control->loop, CONTROL_FAILED_EXIT);
}

static enum status
open_group(struct control *c, uint32_t number)
{
	struct control_group *g = &c->groups[number];
	const struct settings *s = &c->settings;
	struct replica_config config = {
		.folder = s->data_folder,
		.group = number + 1,
		.self = s->id,
		.deployment = s->deployment,
		.node = s->node,
		.election_us = s->election_ms * USEC_PER_MSEC,
		.heartbeat_us = s->heartbeat_ms * USEC_PER_MSEC,
		.timerq = loop_timers(c->loop),
		.rnd = loop_random(c->loop),
		.ops = {
			.send = on_group_send,
			.apply = on_apply,
			.snapshot_make = on_snapshot_make,
			.snapshot_load = on_snapshot_load,
			.role_changed = on_role_changed,
			.failed = on_group_failed,
		},
		.arg = g,
	};

	g->control = c;
	g->number = number;
	if (number != CONTROL_CONFIG_GROUP)
		g->journal = journal_new();
	for (uint32_t i = 0; i < s->n_control; i++) {
		if (!s->control[i].standby)
			config.voters[config.n_voters++] = s->control[i].id;
	}
	return replica_open(&config, &g->replica);
}

static void
on_link_up(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct control *c = arg;

	logger_event(LOGGER_DEBUG, "link.up", "peer=%s", hello->node);
	if (hello->role == WIRE_ROLE_ENTRY)
		control_sync_hello(c, link, hello);
}

static void
receive_raft(struct control *c, const struct wire_hello *from,
    const struct wire_raft *log)
{
	if (from->role != WIRE_ROLE_CONTROL || log->group >= CONTROL_GROUPS)
		return;
	replica_receive(c->groups[log->group].replica, from->id,
	    log->bytes.data, log->bytes.len);
}

static void
on_link_message(void *arg, handle_t link, const struct wire_hello *hello,
    const struct wire_msg *msg)
{
	struct control *c = arg;

	switch (msg->kind) {
	case WIRE_RAFT:
		receive_raft(c, hello, &msg->raft);
		break;
	case WIRE_PROPOSE:
		control_handle_propose(c, link, &msg->propose);
		break;
	case WIRE_QUERY:
		control_handle_query(c, link, &msg->propose);
		break;
	case WIRE_OUTCOME:
		control_handle_outcome(c, &msg->outcome);
		break;
	case WIRE_SUBSCRIBE:
	case WIRE_ACK:
		control_sync_message(c, link, msg);
		break;
	case WIRE_SLO_COUNTERS:
		control_slo_merge(c, &msg->payload);
		break;
	case WIRE_ROLLOUT_STATS:
		control_rollout_stats(c, link, &msg->payload);
		break;
	case WIRE_HELLO:
	case WIRE_CONFIG:
	case WIRE_SNAPSHOT:
	case WIRE_LEASE:
	case WIRE_EXECUTE:
	case WIRE_GATEWAY_REPORT:
	case WIRE_CONTROL_STATUS:
	case WIRE_QUOTA_ASK:
	case WIRE_QUOTA_ANSWER:
	case WIRE_CRASH:
	case WIRE_PARTS:
	case WIRE_PARTS_ANSWER:
	case WIRE_LIMITS:
	case WIRE_FEED_ASK:
	case WIRE_FEED:
	case WIRE_KIND_COUNT:
		break;
	}
}

static void
on_link_down(void *arg, handle_t link, const struct wire_hello *hello)
{
	struct control *c = arg;

	logger_event(LOGGER_DEBUG, "link.down", "peer=%s", hello->node);
	control_forwarded_drop_link(c, link);
	if (hello->role == WIRE_ROLE_ENTRY)
		control_sync_disconnect(c, link);
}

static enum status
open_links(struct control *c)
{
	const struct settings *s = &c->settings;
	struct transport_config config = {
		.base = loop_event_base(c->loop),
		.timers = loop_timers(c->loop),
		.self = {
			.role = WIRE_ROLE_CONTROL,
			.id = s->id,
			.incarnation = loop_incarnation(c->loop),
		},
		.tls = c->keys != NULL ? tlsctx_peer(c->keys) : NULL,
		.max_queue_bytes = CONTROL_MAX_QUEUE_BYTES,
		.callbacks = {
			.up = on_link_up,
			.message = on_link_message,
			.down = on_link_down,
			.arg = c,
		},
	};
	enum status status;

	(void)g_strlcpy(config.self.deployment, s->deployment, WIRE_NAME_BYTES);
	(void)g_strlcpy(config.self.node, s->node, WIRE_NAME_BYTES);
	(void)g_strlcpy(
	    config.self.data_centre, s->data_centre, WIRE_NAME_BYTES);
	c->links = transport_new(&config);
	status = transport_listen(c->links, s->peer.host, s->peer.port);
	if (status != STATUS_OK)
		return status;
	for (uint32_t i = 0; i < s->n_control; i++) {
		const struct settings_peer *p = &s->control[i];

		if (p->id == s->id)
			continue;
		c->peers[i] =
		    transport_dial(c->links, p->peer.host, p->peer.port);
	}
	return STATUS_OK;
}

static void
on_tick(void *arg, uint64_t now_us)
{
	struct control *c = arg;

	timerq_arm_in(c->tick_timer, CONTROL_TICK_US);
	control_forwarded_expire(c, now_us);
	control_journal_tick(c, now_us);
	control_members_tick(c);
	control_slo_tick(c, now_us);
	if (!control_is_leader(c, CONTROL_CONFIG_GROUP))
		return;
	control_rollout_tick(c, now_us);
	control_platform_tick(c, now_us);
	control_weights_tick(c, now_us);
}

/// Pushes configuration changes to the entries; armed when the configuration
/// has changed.
static void
on_sync_timer(void *arg, uint64_t now_us)
{
	(void)now_us;
	control_sync_push(arg);
}

static void
on_stop_timer(void *arg, uint64_t now_us)
{
	struct control *c = arg;

	(void)now_us;
	logger_event(LOGGER_INFO, "process.stopped", "role=control");
	loop_exit(c->loop, 0);
}

static void
make_counters(struct control *c)
{
	struct metrics_registry *set = loop_counters(c->loop);

	c->n_notes = metrics_counter(set, "ac_notes_accepted_total", "");
	c->n_conflicts = metrics_counter(set, "ac_notes_conflict_total", "");
	c->accept_latency = metrics_hist(set, "ac_note_accept_seconds", "");
	c->propagation_latency = metrics_hist(set, "ac_in_force_seconds", "");
}

/// Starts a control process on a loop.
///
/// @param settings  copied
/// @param out       set on success; release it with control_free()
/// @return STATUS_OK, else nothing is left running and status_last() says why
enum status
control_start(
    struct loop *loop, const struct settings *settings, struct control **out)
{
	struct control *c = g_new0(struct control, 1);
	enum status status;

	c->loop = loop;
	c->settings = *settings;
	c->config = catalog_new();
	c->late_rollouts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&c->changes);
	control_weights_start(c);
	c->http = httpc_new(loop_event_base(loop));
	c->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	c->forwarded =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	c->vm_list = liveness_new();
	c->resume_last_us =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->version_names =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	c->sync_timer = timerq_timer_new(loop_timers(loop), on_sync_timer, c);
	c->tick_timer = timerq_timer_new(loop_timers(loop), on_tick, c);
	c->stop_timer = timerq_timer_new(loop_timers(loop), on_stop_timer, c);
	make_counters(c);
	status = tlsctx_load(&c->settings.tls, &c->keys);
	if (status == STATUS_OK)
		status = open_links(c);
	for (uint32_t i = 0; i < CONTROL_GROUPS && status == STATUS_OK; i++)
		status = open_group(c, i);
	if (status == STATUS_OK) {
		control_slo_start(c);
		status = control_operators_start(c);
	}
	if (status != STATUS_OK) {
		control_free(c);
		return status;
	}
	timerq_arm_in(c->tick_timer, CONTROL_TICK_US);
	*out = c;
	return STATUS_OK;
}

/// Starts a graceful stop: transfers the leadership of the groups that this
/// process leads, then ends the loop after CONTROL_STOP_US.
void
control_stop(struct control *c)
{
	if (c->stopping)
		return;
	c->stopping = true;
	httpd_stop_listening(c->operators);
	for (uint32_t i = 0; i < CONTROL_GROUPS; i++) {
		if (control_is_leader(c, i))
			replica_transfer_leader(c->groups[i].replica, 0);
	}
	timerq_arm_in(c->stop_timer, CONTROL_STOP_US);
}

/// Applies the settings that may change without a restart: TLS files, log
/// level, operator token. TLS files that can't be loaded are logged and the
/// keys in use stay.
void
control_reload(struct control *c, const struct settings *settings)
{
	if (tlsctx_load(&settings->tls, &c->keys) != STATUS_OK)
		logger_event(LOGGER_ERROR, "keys.refused", "reason=\"%s\"",
		    status_last());
	logger_set_level(settings->log_level);
	c->settings.log_level = settings->log_level;
	(void)g_strlcpy(c->settings.operator_token, settings->operator_token,
	    sizeof(c->settings.operator_token));
}

/// Completes all pending proposals and queries with an unknown outcome.
/// Called while the links are still up, so that peers get their replies.
static void
cancel_pending(struct control *c)
{
	for (uint32_t i = 0; i < CONTROL_GROUPS; i++) {
		if (c->groups[i].replica != NULL)
			replica_cancel_waiters(c->groups[i].replica);
	}
	control_forwarded_expire(c, UINT64_MAX);
}

/// Releases a control process and saves its SLO history; NULL is allowed.
void
control_free(struct control *c)
{
	if (c == NULL)
		return;
	cancel_pending(c);
	httpd_free(c->operators);
	transport_free(c->links);
	for (uint32_t i = 0; i < CONTROL_GROUPS; i++) {
		if (c->groups[i].replica != NULL)
			replica_close(c->groups[i].replica);
		journal_free(c->groups[i].journal);
	}
	if (c->slo != NULL)
		control_slo_save(c);
	slo_history_free(c->slo);
	g_hash_table_destroy(c->late_rollouts);
	httpc_free(c->http);
	g_hash_table_destroy(c->runners);
	timerq_timer_free(c->sync_timer);
	timerq_timer_free(c->tick_timer);
	timerq_timer_free(c->stop_timer);
	rollout_control_free(c->rollout);
	g_queue_clear_full(&c->changes, g_free);
	g_hash_table_destroy(c->entries);
	g_hash_table_destroy(c->forwarded);
	g_hash_table_destroy(c->resume_last_us);
	liveness_free(c->vm_list);
	g_hash_table_destroy(c->version_names);
	catalog_free(c->config);
	tlsctx_free(c->keys);
	g_free(c);
}
