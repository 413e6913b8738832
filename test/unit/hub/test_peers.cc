#include "test_hub.h"

extern "C" {
#include "fleet/slotaddr.h"
}

#include <malloc.h>

#include <map>

namespace
{

/// A seed whose links are up, and which reads all and sends nothing.
struct SilentSeed {
	struct transport *links;
	handle_t dialled = HANDLE_NONE;
	int lostDialled = 0;
	int lostAccepted = 0;

	/// @param host  address that it says it has; "": that of its slot
	explicit SilentSeed(
	    const TestHub &hub, const char *host = "", bool dials = true)
	{
		struct transport_config config = {};

		config.base = loop_event_base(hub.loop);
		config.timers = loop_timers(hub.loop);
		config.self.role = WIRE_ROLE_CONTROL;
		config.self.id = 2;
		config.self.incarnation = 1;
		g_strlcpy(config.self.deployment, "fleet", WIRE_NAME_BYTES);
		g_strlcpy(config.self.node, "core-2", WIRE_NAME_BYTES);
		g_strlcpy(config.self.host, host, WIRE_NAME_BYTES);
		config.max_queue_bytes = 1 << 20;
		config.callbacks.up = [](void *, handle_t,
					  const struct wire_hello *) {};
		config.callbacks.message = [](void *, handle_t,
					       const struct wire_hello *,
					       const struct wire_msg *) {};
		config.callbacks.down = onDown;
		config.callbacks.arg = this;
		links = transport_new(&config);
		EXPECT_EQ(
		    transport_listen(links, "127.0.0.2", hub.port), STATUS_OK);
		if (dials)
			dialled = transport_dial(links, "127.0.0.1", hub.port);
	}

	~SilentSeed()
	{
		transport_free(links);
	}

	static void onDown(void *arg, handle_t link, const struct wire_hello *)
	{
		auto *s = static_cast<SilentSeed *>(arg);

		(link == s->dialled ? s->lostDialled : s->lostAccepted)++;
	}
};

/// An address that the slot 2 doesn't imply, though it is the address's.
std::string
otherAddressOfSlot2()
{
	for (uint32_t i = 0; i < 192U << 16; i++) {
		const std::string host = "127." +
		    std::to_string(64 + (i >> 16)) + "." +
		    std::to_string(i >> 8 & 255) + "." +
		    std::to_string(i & 255);

		if (slotaddr_from_host(host.c_str()) == 2)
			return host;
	}
	return "";
}

} // namespace

/// Guards against control processes that keep to a link on which nothing
/// passes, though TCP takes it for sound: two that need each other elect no
/// leader any more.
TEST(Peers, LinksThatPassNothingAreClosedAndDialledAgain)
{
	TestHub hub(R"(, "127.0.0.2:7001")");
	SilentSeed seed(hub);

	hub.run(500);
	EXPECT_TRUE(transport_is_up(seed.links, seed.dialled));
	for (int i = 0;
	     i < 5000 && (seed.lostDialled == 0 || seed.lostAccepted == 0); i++)
		hub.run(1);
	EXPECT_EQ(seed.lostDialled, 1);
	EXPECT_EQ(seed.lostAccepted, 1);
	hub.run(500);
	EXPECT_TRUE(transport_is_up(seed.links, seed.dialled));
	// It may have a reason to be silent: it gets more time from now on.
	hub.run(2500);
	EXPECT_EQ(seed.lostDialled, 1);
	EXPECT_EQ(seed.lostAccepted, 1);
}

/// Guards against two processes with one slot: messages of the replicated log
/// would go to either. The one whose address isn't the slot's is refused.
TEST(Peers, ASlotOfAnotherAddressIsRefused)
{
	TestHub hub(R"(, "127.0.0.2:7001")");
	SilentSeed other(hub, "127.77.9.9");
	const auto *peer = static_cast<const struct hub_peer *>(
	    g_hash_table_lookup(hub.hub->peers, GUINT_TO_POINTER(2)));

	ASSERT_NE(peer, nullptr);
	hub.run(500);
	EXPECT_GT(other.lostDialled, 0);
	EXPECT_EQ(peer->incarnation, 0U);
}

/// Guards against a log that grows without an end, when the addresses of all
/// processes that ever ran don't fit the replicated state.
TEST(Peers, AddressesOfProcessesThatAreGoneAreNotRecorded)
{
	TestHub hub;
	const uint32_t gone = slotaddr_from_host("10.64.0.1");

	(void)hosttable_set(hub.hub->hosts, gone, "10.64.0.1");
	hub.run(500);
	EXPECT_FALSE(hubstate_has_host(hub.hub->state, gone, "10.64.0.1"));
	// A process at that address couldn't derive this one's.
	EXPECT_TRUE(
	    hubstate_has_host(hub.hub->state, hub.hub->slot, "127.0.0.1"));
}

/// Guards against a hello that goes with its link: a process that is dialled
/// where its slot implies, and says that its address is another one, is dialled
/// there, and its hello was read after that.
TEST(Peers, TheHelloOutlivesItsLink)
{
	TestHub hub;
	SilentSeed seed(hub, otherAddressOfSlot2().c_str(), false);
	const struct hub_peer *peer = hub_peer(hub.hub, 2);

	ASSERT_NE(peer, nullptr);
	(void)mallopt(M_PERTURB, 0xa5);
	hub.run(500);
	(void)mallopt(M_PERTURB, 0);
	EXPECT_EQ(peer->incarnation, 1U);
	EXPECT_EQ(g_hash_table_size(hub.hub->peers), 1U);
}

/// Guards against a replaced process that keeps its slot for good: the usual
/// slot of a new one's address may be the same.
TEST(Peers, ASlotOfAProcessThatIsGoneIsFree)
{
	TestHub hub;
	const std::string gone = otherAddressOfSlot2();
	struct hubstate_command c = {};

	c.kind = HUBSTATE_HOST;
	c.host.slot = 2;
	g_strlcpy(c.host.host, gone.c_str(), sizeof(c.host.host));
	hub_propose(
	    hub.hub, &c, [](void *, enum status, const uint8_t *, size_t) {},
	    nullptr);
	hub.run(200);
	EXPECT_FALSE(hosttable_fits(hub.hub->hosts, 2, "127.0.0.2"));
	SilentSeed next(hub);
	hub.run(500);
	EXPECT_EQ(next.lostDialled, 0);
	EXPECT_TRUE(hosttable_fits(hub.hub->hosts, 2, "127.0.0.2"));
	// Gateways and other hubs have the earlier address from the log.
	EXPECT_TRUE(hubstate_has_host(hub.hub->state, 2, "127.0.0.2"));
}

/// Guards against a process that gives up its place in the group: only one that
/// has no part in it takes another slot.
TEST(Peers, AMemberKeepsItsSlot)
{
	TestHub hub;
	const uint32_t slot = hub.hub->slot;
	struct hosttable_entry taken = { slot, "127.77.9.9" };
	struct wire_hello hello = {};
	struct hubmsg_state s;

	hubmsg_state_init(&s);
	g_array_append_val(s.hosts, taken);
	hub_slot_on_state(hub.hub, &hello, &s);
	hubmsg_state_clear(&s);
	hub.run(200);
	EXPECT_EQ(hub.hub->slot, slot);
	EXPECT_TRUE(hub_is_leader(hub.hub));
}

/// Guards against gateways at some addresses that nobody sends attempts
/// through, and against older ones that take a packed address for a slot.
TEST(Peers, GatewaysAreToldWholeAddressesIfTheyReadThem)
{
	TestHub hub;
	const uint32_t far = slotaddr_pack("127.64.9.22");
	const uint32_t newer = slotaddr_pack("127.0.0.23");
	const uint32_t older = slotaddr_from_host("127.0.0.24");
	// The older one isn't told the address that its slots don't imply.
	const std::map<uint32_t, guint> peersOf = { { far, 2 }, { newer, 2 },
		{ older, 1 }, { 0, 0 } };

	for (const auto &[address, n] : peersOf) {
		auto *g = g_new0(struct hub_gateway, 1);

		snprintf(g->name, sizeof(g->name), "front-%u", address);
		g->relay_address = address;
		g->last_report_us = loop_now_us(hub.loop) + 60 * USEC_PER_SEC;
		g->usage = g_array_new(FALSE, TRUE, sizeof(hubmsg_usage));
		g->quotas = g_array_new(FALSE, TRUE, sizeof(hubmsg_quota));
		(void)g_hash_table_insert(hub.hub->gateways, g->name, g);
	}
	for (const auto &[address, n] : peersOf) {
		struct hub_gateway g = {};
		struct hubmsg_state s;

		g.relay_address = address;
		hubmsg_state_init(&s);
		hub_peers_fill(hub.hub, &g, &s);
		EXPECT_EQ(s.peers->len, n) << address;
		for (guint i = 0; address == older && i < s.peers->len; i++)
			EXPECT_EQ(g_array_index(s.peers, uint32_t, i), newer);
		hubmsg_state_clear(&s);
	}
}
