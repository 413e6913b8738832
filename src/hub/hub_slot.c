#include "hub/hub_internal.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/slotaddr.h"

/// A control process whose slot another one has is refused, and is told the
/// slots in use. One that hasn't joined the group yet takes another slot then.

/// Makes the empty list of refused links.
void
hub_slot_start(struct hub *h)
{
	h->refused_links = g_array_new(FALSE, FALSE, sizeof(handle_t));
}

/// Releases the list of refused links.
void
hub_slot_stop(struct hub *h)
{
	timerq_timer_free(h->change_slot);
	g_array_unref(h->refused_links);
}

/// Tells the process at the other end of a link that `slot`, which it has, is
/// another one's. The link is closed at the next tick: closing discards what
/// isn't sent yet.
void
hub_slot_refuse(struct hub *h, handle_t link, uint32_t slot)
{
	struct wire_msg msg = { .kind = WIRE_CONTROL_STATUS };
	struct hosttable_entry taken = { .slot = slot };
	struct hubmsg_state s;
	uint8_t *bytes;

	hosttable_get(h->hosts, slot, taken.host);
	hubmsg_state_init(&s);
	hub_fill_members(h, &s);
	g_array_append_val(s.hosts, taken);
	hubmsg_state_encode(&s, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	(void)transport_send(h->links, link, &msg);
	free(bytes);
	hubmsg_state_clear(&s);
	g_array_append_val(h->refused_links, link);
}

/// Whether the process at the other end of a link was refused.
bool
hub_slot_is_refused(const struct hub *h, handle_t link)
{
	for (guint i = 0; i < h->refused_links->len; i++) {
		if (g_array_index(h->refused_links, handle_t, i) == link)
			return true;
	}
	return false;
}

/// Closes the links to processes that were refused.
void
hub_slot_tick(struct hub *h)
{
	GArray *links = h->refused_links;

	h->refused_links = g_array_new(FALSE, FALSE, sizeof(handle_t));
	for (guint i = 0; i < links->len; i++)
		transport_close(h->links, g_array_index(links, handle_t, i));
	g_array_unref(links);
}

/// Address of another process that has this process's slot; NULL if none has.
static const char *
other_owner(const struct hub *h, const struct hubmsg_state *s)
{
	for (guint i = 0; i < s->hosts->len; i++) {
		const struct hosttable_entry *e =
		    &g_array_index(s->hosts, struct hosttable_entry, i);

		if (e->slot == h->slot &&
		    strcmp(e->host, h->settings.host) != 0)
			return e->host;
	}
	return NULL;
}

static bool
is_in_use(const struct hub *h, const struct hubmsg_state *s, uint32_t slot)
{
	for (guint i = 0; i < s->members->len; i++) {
		if (g_array_index(s->members, uint32_t, i) == slot)
			return true;
	}
	for (guint i = 0; i < s->hosts->len; i++) {
		if (g_array_index(s->hosts, struct hosttable_entry, i).slot ==
		    slot)
			return true;
	}
	return !hosttable_is_free(h->hosts, slot);
}

/// Whether this process has taken no part in the group, so that another one in
/// its place, with an empty disk, makes no difference.
static bool
has_not_joined(const struct hub *h)
{
	struct replica_status st;

	replica_status(h->group, &st);
	return st.origin != LOGSTORE_ORIGIN_INITIAL && st.last == 0 &&
	    st.snapshot == 0;
}

/// Slot that this process may take instead of its own; 0 if there is none. A
/// member keeps its own: the log has it.
static uint32_t
choose_slot(const struct hub *h, const struct hubmsg_state *s)
{
	for (uint32_t i = 0; has_not_joined(h) && i < SLOTADDR_CHOICES; i++) {
		const uint32_t slot = slotaddr_choice(h->settings.host, i);

		if (!is_in_use(h, s, slot))
			return slot;
	}
	return 0;
}

/// Chooses another slot if this process is refused, as another one has its own.
void
hub_slot_on_state(
    struct hub *h, const struct wire_hello *hello, const struct hubmsg_state *s)
{
	const char *owner = other_owner(h, s);

	if (owner == NULL)
		return;
	logger_event(LOGGER_ERROR, "slot.taken", "slot=%u owner=%s peer=%s",
	    h->slot, owner, hello->node);
	h->next_slot = choose_slot(h, s);
	// The replica can't be closed in a callback.
	if (h->next_slot != 0)
		timerq_arm_in(h->change_slot, 0);
}

/// Starts anew with the slot chosen, as with an empty disk.
void
hub_slot_change(void *arg, uint64_t now_us)
{
	struct hub *h = arg;
	enum status status;

	(void)now_us;
	if (h->next_slot == 0 || !has_not_joined(h))
		return;
	logger_event(LOGGER_WARN, "slot.changed", "from=%u to=%u", h->slot,
	    h->next_slot);
	hosttable_forget(h->hosts, h->slot);
	h->slot = h->next_slot;
	h->next_slot = 0;
	(void)hosttable_set(h->hosts, h->slot, h->settings.host);
	hub_links_set_self(h);
	replica_cancel_waiters(h->group);
	replica_close(h->group);
	h->group = NULL;
	status = logstore_remove(h->settings.data_folder, HUB_GROUP, NULL);
	if (status == STATUS_OK)
		status = hub_log_start(h);
	if (status != STATUS_OK)
		hub_log_failed(h, status);
}
