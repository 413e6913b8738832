#include "hub/hub_internal.h"

#include <jansson.h>
#include <string.h>

#include "fleet/slotaddr.h"

/// File of the data folder with the addresses that slots don't imply. After a
/// restart the group needs them before it has a leader, and the replicated
/// state is known only after that.
#define HUB_HOSTS_FILE "hosts.json"

static char *
hosts_file(const struct hub *h)
{
	return g_build_filename(h->settings.data_folder, HUB_HOSTS_FILE, NULL);
}

static void
load_hosts(struct hub *h)
{
	char *file = hosts_file(h);
	json_t *all = json_load_file(file, 0, NULL);
	const char *host;
	json_t *v;

	json_object_foreach(all, host, v)
	{
		const uint32_t slot = (uint32_t)json_integer_value(v);

		if (slotaddr_is_choice(host, slot))
			(void)hosttable_set(h->hosts, slot, host);
	}
	json_decref(all);
	g_free(file);
}

/// Saves the addresses that slots don't imply, if they have changed.
static void
save_hosts(struct hub *h, const GArray *hosts)
{
	json_t *all = json_object();
	char *file = hosts_file(h);
	GError *error = NULL;
	char *text;

	for (guint i = 0; i < hosts->len; i++) {
		const struct hosttable_entry *e =
		    &g_array_index(hosts, struct hosttable_entry, i);

		(void)json_object_set_new(all, e->host, json_integer(e->slot));
	}
	text = json_dumps(all, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(all);
	if (g_strcmp0(text, h->saved_hosts) != 0 &&
	    !g_file_set_contents_full(file, text, -1,
		G_FILE_SET_CONTENTS_CONSISTENT | G_FILE_SET_CONTENTS_DURABLE,
		0600, &error)) {
		logger_event(LOGGER_ERROR, "hosts.unsaved", "reason=\"%s\"",
		    error->message);
		g_error_free(error);
	}
	free(h->saved_hosts);
	h->saved_hosts = text;
	g_free(file);
}

/// Slot of this process: that of its disk, else one that no other known process
/// has.
///
/// @return 0 if its address gives none
static uint32_t
own_slot(struct hub *h)
{
	const struct bootstrap_settings *s = &h->settings;
	const uint32_t stored =
	    logstore_read_slot(s->data_folder, HUB_GROUP, NULL);
	// Opening the log refuses the disk of a process at another address.
	const bool has_stored = slotaddr_is_choice(s->host, stored);

	if (has_stored)
		(void)hosttable_set(h->hosts, stored, s->host);
	hosttable_assume_seeds(h->hosts, s->seeds, s->n_seeds);
	return has_stored ? stored : hosttable_assume(h->hosts, s->host);
}

/// Knows the slots of this process and of the seeds.
///
/// @return STATUS_OK, or STATUS_INVALID if this process's address gives no slot
enum status
hub_hosts_start(struct hub *h)
{
	const char *host = h->settings.host;

	h->hosts = hosttable_new(host);
	load_hosts(h);
	h->slot = own_slot(h);
	if (h->slot == 0)
		return status_fail(STATUS_INVALID,
		    "can't derive a slot from address %s", host);
	(void)hosttable_set(h->hosts, h->slot, host);
	return STATUS_OK;
}

/// Releases what is known of addresses.
void
hub_hosts_stop(struct hub *h)
{
	hosttable_free(h->hosts);
	free(h->saved_hosts);
}

/// Sets the address of a slot. A peer that was dialled at another one is
/// dialled again.
static void
set_host(struct hub *h, uint32_t slot, const char *host)
{
	struct hub_peer *p =
	    g_hash_table_lookup(h->peers, GUINT_TO_POINTER(slot));
	handle_t old;

	if (!hosttable_set(h->hosts, slot, host) || p == NULL)
		return;
	old = p->dialled;
	p->dialled = transport_dial(h->links, host, h->settings.peer_port);
	transport_remove(h->links, old);
}

/// Whether a link leads to the process that has a slot.
static bool
leads_to(const struct hub *h, handle_t link, uint32_t slot)
{
	const struct wire_hello *hello = transport_peer(h->links, link);

	return hello != NULL && hello->role == WIRE_ROLE_CONTROL &&
	    hello->id == slot;
}

/// Whether a process with a slot runs. Those of replaced ones are known for as
/// long as this process runs, and would take the places of others.
static bool
is_up(const struct hub *h, uint32_t slot)
{
	const struct hub_peer *p =
	    g_hash_table_lookup(h->peers, GUINT_TO_POINTER(slot));

	return slot == h->slot ||
	    (p != NULL &&
		(leads_to(h, p->dialled, slot) ||
		    leads_to(h, p->accepted, slot)));
}

static bool
has_slot(const uint32_t *ids, uint32_t n, uint32_t slot)
{
	for (uint32_t i = 0; i < n; i++) {
		if ((ids[i] & RAFT_SLOT_MASK) == slot)
			return true;
	}
	return false;
}

/// Whether a slot is that of a member. Without a leader the members known here
/// may be old, and the process that has the slot one of the newer ones.
static bool
is_member(const struct hub *h, uint32_t slot)
{
	struct replica_status st;

	replica_status(h->group, &st);
	return st.leader != 0 &&
	    (has_slot(st.members.voters, st.members.n_voters, slot) ||
		has_slot(st.members.learners, st.members.n_learners, slot));
}

/// Whether another process than the one at `host` has a slot: a member, or one
/// that runs. That of a process which is gone may be taken.
static bool
is_taken(const struct hub *h, uint32_t slot, const char *host)
{
	return !hosttable_fits(h->hosts, slot, host) &&
	    (is_up(h, slot) || is_member(h, slot));
}

/// Takes the address of a control process from its hello.
///
/// @return false if the process can't be a member: its slot is another one's
bool
hub_hosts_on_hello(struct hub *h, const struct wire_hello *hello)
{
	char host[INSTANCE_HOST_BYTES];

	if (hello->host[0] != '\0')
		(void)g_strlcpy(host, hello->host, sizeof(host));
	else
		slotaddr_to_host(
		    h->settings.host, hello->id, host, sizeof(host));
	if (slotaddr_is_choice(host, hello->id) &&
	    !is_taken(h, hello->id, host)) {
		set_host(h, hello->id, host);
		return true;
	}
	logger_event(LOGGER_ERROR, "peer.slot_taken", "peer=%s host=%s slot=%u",
	    hello->node, host, hello->id);
	return false;
}

/// Takes addresses that another process knows, of processes that haven't told
/// theirs to this one.
void
hub_hosts_learn(struct hub *h, const GArray *hosts)
{
	for (guint i = 0; i < hosts->len; i++) {
		const struct hosttable_entry *e =
		    &g_array_index(hosts, struct hosttable_entry, i);

		if (hosttable_fits(h->hosts, e->slot, e->host))
			set_host(h, e->slot, e->host);
	}
}

/// Takes the addresses that the replicated state has. It may have an earlier
/// process's for a slot.
void
hub_hosts_on_applied(struct hub *h)
{
	const GArray *hosts = hubstate_hosts(h->state);

	for (guint i = 0; i < hosts->len; i++) {
		const struct hosttable_entry *e =
		    &g_array_index(hosts, struct hosttable_entry, i);

		if (hosttable_fits(h->hosts, e->slot, e->host) ||
		    !is_up(h, e->slot))
			set_host(h, e->slot, e->host);
	}
}

static void
on_recorded(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct hub *h = arg;

	(void)status;
	(void)result;
	(void)len;
	h->recording_host = false;
}

/// Whether the replicated state lacks an address. One that the slot implies is
/// missed only if it has another one for the slot.
static bool
must_record(const struct hub *h, const struct hosttable_entry *e)
{
	const char *recorded = hubstate_host(h->state, e->slot);

	if (recorded != NULL)
		return strcmp(recorded, e->host) != 0;
	return !hosttable_is_implied(h->hosts, e->slot, e->host);
}

/// Records an address that the replicated state lacks.
static void
record_host(struct hub *h)
{
	struct hubstate_command c = { .kind = HUBSTATE_HOST };
	GArray *told = hosttable_told(h->hosts);

	for (guint i = 0; i < told->len && !h->recording_host; i++) {
		c.host = g_array_index(told, struct hosttable_entry, i);
		if (!is_up(h, c.host.slot) || !must_record(h, &c.host))
			continue;
		h->recording_host = true;
		hub_propose(h, &c, on_recorded, h);
	}
	g_array_unref(told);
}

/// Keeps the addresses that slots don't imply: in the data folder, and as the
/// leader in the replicated state.
void
hub_hosts_tick(struct hub *h)
{
	GArray *hosts = hosttable_not_implied(h->hosts);

	if (hosts->len > 0 || h->saved_hosts != NULL)
		save_hosts(h, hosts);
	g_array_unref(hosts);
	if (hub_is_leader(h))
		record_host(h);
}
