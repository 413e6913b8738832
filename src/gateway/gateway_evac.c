#include "gateway/gateway_internal.h"

#include <inttypes.h>

/// Evacuated data centres: their servers get no requests from this gateway. See
/// docs/design/evacuation.md.
struct gateway_evac {
	struct evacset in_force;
	struct metrics_value *n_changes;
	struct metrics_value *n_stale; ///< states with an older set
};

/// Makes the state of a gateway that starts: it has no set yet, and gets one
/// before its first lease.
void
gateway_evac_start(struct gateway *g)
{
	struct metrics_registry *registry = loop_counters(g->loop);

	g->evac = g_new0(struct gateway_evac, 1);
	g->evac->n_changes =
	    metrics_counter(registry, "ac_evacuation_changes_total", "");
	g->evac->n_stale =
	    metrics_counter(registry, "ac_evacuation_stale_states_total", "");
}

/// Releases it.
void
gateway_evac_stop(struct gateway *g)
{
	g_free(g->evac);
}

/// Passes the data centres' changed state to the balancer.
static void
refresh_servers(struct gateway *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		gateway_servers_refresh(g, value);
}

/// Puts the set of the leader's state in force.
///
/// @return false if the state is older than the set in force, so that it must
///         not renew the lease
bool
gateway_evac_update(struct gateway *g, const struct hubmsg_state *s)
{
	struct gateway_evac *e = g->evac;
	const bool unknown_to_leader = s->evacuations.revision == 0;
	char *names;

	// A leader of an older version sends no set.
	if (unknown_to_leader)
		return true;
	switch (evacset_compare(&e->in_force, &s->evacuations)) {
	case EVACSET_SAME:
		return true;
	case EVACSET_OLDER:
		e->n_stale->value++;
		logger_event(LOGGER_WARN, "evacuation.stale",
		    "revision=%" PRIu64 " in_force=%" PRIu64,
		    s->evacuations.revision, e->in_force.revision);
		return false;
	case EVACSET_NEWER:
		break;
	}
	e->in_force = s->evacuations;
	e->n_changes->value++;
	names = evacset_names(&e->in_force);
	logger_event(LOGGER_INFO, "evacuation.in_force",
	    "zones=%s revision=%" PRIu64, names, e->in_force.revision);
	g_free(names);
	refresh_servers(g);
	gateway_schedule_report(g);
	return true;
}

/// Whether a data centre is evacuated.
bool
gateway_evac_covers(const struct gateway *g, const char *zone)
{
	return evacset_covers(&g->evac->in_force, zone);
}

/// Whether the server of a request's last attempt is in an evacuated data
/// centre.
bool
gateway_evac_covers_attempt(const struct gateway_request *q)
{
	const struct gateway_server *s =
	    g_hash_table_lookup(q->gateway->servers, q->server);

	return s != NULL && gateway_evac_covers(q->gateway, s->instance.zone);
}

/// Revision of the set in force; 0: none known.
uint64_t
gateway_evac_revision(const struct gateway *g)
{
	return g->evac->in_force.revision;
}

/// The evacuated data centres for operators.
///
/// @return to be released with json_decref()
json_t *
gateway_evac_json(const struct gateway *g)
{
	const struct evacset *s = &g->evac->in_force;
	json_t *all = json_array();

	for (uint32_t i = 0; i < s->n; i++)
		(void)json_array_append_new(all,
		    json_pack("{s:s, s:I}", "zone", s->entries[i].zone,
			"for_ms",
			(json_int_t)timerq_ms_since(
			    gateway_wall_clock_us(g), s->entries[i].since_us)));
	return all;
}
