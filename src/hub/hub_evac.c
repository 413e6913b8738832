#include "hub/hub_internal.h"

#include <inttypes.h>
#include <string.h>

/// Evacuated data centres, as this control process has applied them. See
/// docs/design/evacuation.md.
struct hub_evac {
	struct evacset seen;   ///< set that the last log lines were about
	uint64_t changed_us;   ///< when `seen` became the set here, or this
			       ///< process the leader
	bool confirmed;        ///< all live gateways have it
	uint64_t all_known_us; ///< as the leader: live gateways have all
			       ///< reported by then
	struct metrics_value *n_begun;
	struct metrics_value *n_ended;
	struct metrics_hist *obeyed; ///< until all live gateways have a set
};

/// Makes the state of a process that starts.
void
hub_evac_start(struct hub *h)
{
	struct metrics_registry *registry = loop_counters(h->loop);

	h->evac = g_new0(struct hub_evac, 1);
	h->evac->confirmed = true;
	h->evac->n_begun =
	    metrics_counter(registry, "ac_evacuations_begun_total", "");
	h->evac->n_ended =
	    metrics_counter(registry, "ac_evacuations_ended_total", "");
	h->evac->obeyed =
	    metrics_hist(registry, "ac_evacuation_in_force_seconds", "");
}

/// Releases it.
void
hub_evac_stop(struct hub *h)
{
	g_free(h->evac);
}

static void
log_difference(const struct evacset *from, const struct evacset *to,
    const char *event, struct metrics_value *counter)
{
	for (uint32_t i = 0; i < to->n; i++) {
		if (evacset_covers(from, to->entries[i].zone))
			continue;
		counter->value++;
		logger_event(LOGGER_INFO, "evacuation.changed",
		    "zone=%s change=%s revision=%" PRIu64, to->entries[i].zone,
		    event, MAX(from->revision, to->revision));
	}
}

/// Commands of the log were applied, or a snapshot was loaded: if that changed
/// the evacuated data centres, they are logged, and servers are ordered anew
/// without waiting for the next list.
void
hub_evac_on_applied(struct hub *h)
{
	struct hub_evac *e = h->evac;
	const struct evacset *now = hubstate_evacuations(h->state);

	if (now->revision == e->seen.revision)
		return;
	log_difference(&e->seen, now, "begun", e->n_begun);
	log_difference(now, &e->seen, "ended", e->n_ended);
	e->seen = *now;
	e->changed_us = loop_now_us(h->loop);
	e->confirmed = false;
	h->scaled_list_us = 0;
}

/// This process has become the leader: a change that not all gateways had then
/// is timed from now on.
void
hub_evac_reset(struct hub *h)
{
	h->evac->changed_us = loop_now_us(h->loop);
	h->evac->all_known_us = h->evac->changed_us + HUB_GATEWAY_LOST_US;
}

/// Whether a data centre is evacuated.
bool
hub_evac_covers(const struct hub *h, const char *zone)
{
	return evacset_covers(hubstate_evacuations(h->state), zone);
}

/// Whether operators may name a data centre: one of the settings, or one that
/// was evacuated when the settings had it.
bool
hub_evac_knows(const struct hub *h, const char *zone)
{
	for (uint32_t i = 0; i < h->settings.n_zones; i++) {
		if (strcmp(h->settings.zones[i], zone) == 0)
			return true;
	}
	return hub_evac_covers(h, zone);
}

/// Proposes to begin or to end an evacuation.
///
/// @param zone  one that hub_evac_knows()
/// @param done  called once with the outcome, see replica_done_cb
void
hub_evac_propose(struct hub *h, const char *zone, bool evacuate,
    replica_done_cb done, void *arg)
{
	struct hubstate_command c = {
		.kind = evacuate ? HUBSTATE_EVACUATE : HUBSTATE_RESTORE,
		.evacuation.since_us = hub_wall_clock_us(h),
	};

	(void)g_strlcpy(c.evacuation.zone, zone, sizeof(c.evacuation.zone));
	hub_propose(h, &c, done, arg);
}

/// Numbers of live gateways, and of those that have the newest set.
static void
count_confirmed(const struct hub *h, uint32_t *n_live, uint32_t *n_confirmed)
{
	const uint64_t revision = hubstate_evacuations(h->state)->revision;
	GHashTableIter it;
	gpointer value;

	*n_live = 0;
	*n_confirmed = 0;
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hub_gateway *g = value;

		if (!hub_gateway_is_alive(h, g))
			continue;
		(*n_live)++;
		*n_confirmed += g->evac_revision >= revision;
	}
}

/// Logs, as the leader, once all live gateways have the newest set.
void
hub_evac_tick(struct hub *h, uint64_t now_us)
{
	struct hub_evac *e = h->evac;
	uint32_t n_live;
	uint32_t n_confirmed;

	if (e->confirmed || now_us < e->all_known_us)
		return;
	count_confirmed(h, &n_live, &n_confirmed);
	if (n_live == 0 || n_confirmed < n_live)
		return;
	e->confirmed = true;
	metrics_observe(e->obeyed, now_us - e->changed_us);
	logger_event(LOGGER_INFO, "evacuation.obeyed",
	    "revision=%" PRIu64 " gateways=%u after_ms=%" PRIu64,
	    e->seen.revision, n_live, timerq_ms_since(now_us, e->changed_us));
}

/// The evacuated data centres for operators; gateways report to the leader
/// only, so that others confirm none.
///
/// @return to be released with json_decref()
json_t *
hub_evac_json(const struct hub *h)
{
	const struct evacset *s = hubstate_evacuations(h->state);
	json_t *all = json_array();
	uint32_t n_live = 0;
	uint32_t n_confirmed = 0;

	if (hub_is_leader(h))
		count_confirmed(h, &n_live, &n_confirmed);
	for (uint32_t i = 0; i < s->n; i++) {
		const struct evacset_entry *e = &s->entries[i];

		(void)json_array_append_new(all,
		    json_pack("{s:s, s:I, s:I, s:I, s:I}", "zone", e->zone,
			"since_s", (json_int_t)(e->since_us / USEC_PER_SEC),
			"for_ms",
			(json_int_t)timerq_ms_since(
			    hub_wall_clock_us(h), e->since_us),
			"gateways", (json_int_t)n_live, "confirmed",
			(json_int_t)n_confirmed));
	}
	return all;
}
