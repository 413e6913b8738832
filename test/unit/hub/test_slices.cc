#include "test_hub.h"

namespace
{

/// Several slices.
const int nGateways = 64;

/// Adds gateways that have just reported, but have no link.
void
add_gateways(struct hub *h)
{
	for (int i = 0; i < nGateways; i++) {
		struct hub_gateway *g = g_new0(struct hub_gateway, 1);

		g_snprintf(g->name, sizeof(g->name), "front-%d", i);
		g->last_report_us = loop_now_us(h->loop);
		g->usage = g_array_new(FALSE, TRUE, sizeof(hubmsg_usage));
		g->quotas = g_array_new(FALSE, TRUE, sizeof(hubmsg_quota));
		(void)g_hash_table_insert(h->gateways, g->name, g);
	}
}

int
count_due(struct hub *h)
{
	GHashTableIter it;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, nullptr, &value))
		n += static_cast<struct hub_gateway *>(value)->push_due;
	return n;
}

struct Probe {
	struct hub *hub;
	int due = -1; ///< gateways that weren't sent the state when it ran
};

} // namespace

/// Guards against operators that wait until a changed state was sent to all
/// gateways: it goes out in slices, but their timer ran before all other
/// events.
TEST(Slices, OtherEventsRunBeforeAllGatewaysHaveTheState)
{
	TestHub hub;
	Probe probe = { .hub = hub.hub };
	struct event *other = event_new(
	    loop_event_base(hub.loop), -1, 0,
	    [](evutil_socket_t, short, void *arg) {
		    auto *p = static_cast<Probe *>(arg);

		    p->due = count_due(p->hub);
	    },
	    &probe);

	add_gateways(hub.hub);
	hub_push_begin(hub.hub);
	event_active(other, EV_TIMEOUT, 0);
	for (int i = 0; i < 5000 && (probe.due < 0 || count_due(hub.hub) > 0);
	     i++)
		event_base_loop(loop_event_base(hub.loop), EVLOOP_ONCE);
	EXPECT_EQ(count_due(hub.hub), 0);
	EXPECT_GT(probe.due, 0);
	event_free(other);
}
