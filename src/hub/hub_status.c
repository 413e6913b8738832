#include "hub/hub_internal.h"

#include <jansson.h>

#include "members/roster.h"

static json_t *
host_json(const struct hub *h, uint32_t slot)
{
	char host[INSTANCE_HOST_BYTES] = "";

	if (slot != 0)
		hosttable_get(h->hosts, slot, host);
	return json_string(host);
}

/// Keeps a member as the log has it.
static bool
keep_as_logged(
    void *arg, const struct replica_status *st, struct member_info *m)
{
	(void)arg;
	(void)st;
	(void)m;
	return true;
}

static json_t *
members_json(const struct hub *h, const struct replica_status *st)
{
	static const char *const kind_names[] = {
		[MEMBER_VOTER] = "voter",
		[MEMBER_LEARNER] = "learner",
		[MEMBER_JOINER] = "joiner",
	};
	json_t *all = json_array();
	struct member_inputs w;

	roster_build(st, 0, keep_as_logged, NULL, &w);
	for (uint32_t i = 0; i < w.n; i++) {
		const struct member_info *m = &w.members[i];
		json_t *o = json_pack("{s:o, s:s}", "host",
		    host_json(h, m->id & RAFT_SLOT_MASK), "seat",
		    kind_names[m->kind]);

		// Only the leader is in contact with all members.
		if (hub_is_leader(h))
			(void)json_object_set_new(
			    o, "answers", json_boolean(m->active));
		(void)json_array_append_new(all, o);
	}
	return all;
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(((const struct hub_gateway *)a)->name,
	    ((const struct hub_gateway *)b)->name);
}

static json_t *
gateway_json(const struct hub *h, const struct hub_gateway *g, uint64_t now_us)
{
	return json_pack("{s:s, s:s, s:I, s:I, s:I, s:b, s:b}", "name", g->name,
	    "data_centre", g->data_centre, "version", (json_int_t)g->version,
	    "list",
	    g->list_revision == HUBMSG_SUBSCRIBED
		? (json_int_t)0
		: (json_int_t)g->list_revision,
	    "heard_ms", (json_int_t)timerq_ms_since(now_us, g->last_report_us),
	    "lives", hub_gateway_is_alive(h, g), "stopping", g->stopping);
}

/// The gateways by name; empty unless this process is the leader, as they
/// report to the leader only.
static json_t *
gateways_json(const struct hub *h, uint64_t now_us)
{
	json_t *all = json_array();
	GList *sorted;

	if (!hub_is_leader(h))
		return all;
	sorted = g_list_sort(g_hash_table_get_values(h->gateways), by_name);
	for (const GList *l = sorted; l != NULL; l = l->next)
		(void)json_array_append_new(
		    all, gateway_json(h, l->data, now_us));
	g_list_free(sorted);
	return all;
}

static json_t *
rollouts_json(const struct hub *h)
{
	json_t *all = json_array();

	for (size_t i = 0; i < hubstate_n_rollouts(h->state); i++) {
		const struct hubstate_rollout *v =
		    hubstate_rollout_at(h->state, i);

		(void)json_array_append_new(all,
		    json_pack("{s:s, s:s, s:s, s:s, s:I, s:s}", "service",
			v->service, "version", v->target, "replaces",
			v->baseline, "state", hub_rollout_state_name(v),
			"share_permille", (json_int_t)v->record.share_permille,
			"reason", rollout_reason_name(v->record.reason)));
	}
	return all;
}

/// What this process knows of its deployment: the leader, the members, the
/// holder of the duties, the configuration's version, gateways, rollouts and
/// evacuated data centres.
///
/// @return to be released with json_decref()
json_t *
hub_status(const struct hub *h)
{
	const uint64_t now = loop_now_us(h->loop);
	const struct hubstate_duty duty = hubstate_duty(h->state);
	struct replica_status st;

	replica_status(h->group, &st);
	return json_pack(
	    "{s:s, s:s, s:s, s:o, s:b, s:b, s:I, s:I, s:o, s:I, s:I, s:I, s:o, "
	    "s:o, s:o, s:o}",
	    "role", "hub", "name", h->settings.node, "data_centre",
	    h->settings.data_centre, "leader",
	    host_json(h, st.leader & RAFT_SLOT_MASK), "leads", hub_is_leader(h),
	    "disk_full", st.suspended, "term", (json_int_t)st.term, "applied",
	    (json_int_t)st.applied, "holder", host_json(h, duty.holder),
	    "fence", (json_int_t)duty.fence, "version",
	    (json_int_t)hubstate_version(h->state), "list_age_ms",
	    (json_int_t)timerq_ms_since(now, h->list_fresh_us), "members",
	    members_json(h, &st), "gateways", gateways_json(h, now), "moves",
	    rollouts_json(h), "evacuations", hub_evac_json(h));
}
