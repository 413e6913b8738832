#include <gtest/gtest.h>

extern "C" {
#include "base/timerq.h"
#include "fleet/feedmsg.h"
#include "fleet/hubmsg.h"
#include "fleet/listcopy.h"
#include "fleet/listdiff.h"
#include "fleet/servermsg.h"
}

#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Budget of the messages between gateways and control (docs/CAPACITY.md), over
/// the encoders and the cores of the subscription, without a network.

namespace
{

const uint64_t askUs = 400 * USEC_PER_MSEC;
const uint64_t readingUs = 700 * USEC_PER_MSEC;
const unsigned nHubs = 9;
const unsigned nCustomers = 16;
/// Length, array and kind of a frame around a payload.
const size_t frameBytes = 12;

/// Bytes a second that a kind of message may need, in the sense of
/// docs/CAPACITY.md.
struct Budget {
	size_t report = 900;       ///< one, with 16 customers
	size_t status = 700;       ///< one, with 16 customers
	size_t ask = 48;           ///< one
	size_t unchanged = 48;     ///< one feed without changes
	size_t changedServer = 40; ///< in a feed
	size_t listedServer = 34;  ///< in a whole list
};

struct instance
server(unsigned i, unsigned incarnation, bool draining)
{
	struct instance s = {};

	(void)g_snprintf(s.id, sizeof(s.id), "i-%08x%02x", i * 2654435761U,
	    incarnation & 0xff);
	(void)g_strlcpy(s.service, "cuse31a", sizeof(s.service));
	(void)g_snprintf(s.zone, sizeof(s.zone), "lagos-%c", 'a' + i % 3);
	(void)g_strlcpy(s.version, "v1", sizeof(s.version));
	(void)g_snprintf(
	    s.host, sizeof(s.host), "10.3.%u.%u", i / 256 % 256, i % 256);
	s.port = 8407;
	s.slots = 64;
	s.draining = draining;
	return s;
}

/// The platform's list, in which servers drain and are replaced.
struct Cloud {
	std::vector<struct instance> servers;
	std::vector<unsigned> incarnations;
	std::mt19937 random;

	Cloud(unsigned n, unsigned seed) : incarnations(n, 0), random(seed)
	{
		for (unsigned i = 0; i < n; i++)
			servers.push_back(server(i, 0, false));
	}

	/// One server in `share` drains, or is replaced if it does.
	void change(unsigned share)
	{
		for (unsigned i = 0; i < servers.size() / share; i++) {
			const unsigned k =
			    static_cast<unsigned>(random() % servers.size());

			if (servers[k].draining)
				servers[k] =
				    server(k, ++incarnations[k], false);
			else
				servers[k].draining = true;
		}
	}

	GArray *list() const
	{
		GArray *a = g_array_new(FALSE, TRUE, sizeof(struct instance));

		g_array_append_vals(
		    a, servers.data(), static_cast<guint>(servers.size()));
		return a;
	}
};

struct Hub {
	struct listdiff *list = listdiff_new();
	uint64_t fresh_us = 0;
	uint64_t incarnation;
	uint64_t bytes = 0; ///< to and from gateways

	explicit Hub(uint64_t i) : incarnation(i)
	{
	}
	~Hub()
	{
		listdiff_free(list);
	}

	void read(const Cloud &cloud, uint64_t now)
	{
		GArray *a = cloud.list();

		(void)listdiff_set(list, a, 0, now);
		fresh_us = now;
		g_array_unref(a);
	}
};

struct Gateway {
	struct listcopy *list = listcopy_new();
	unsigned hub = 0;
	uint64_t bytes = 0;
	unsigned whole = 0; ///< whole lists that it got

	~Gateway()
	{
		listcopy_free(list);
	}

	/// Asks a process and applies its answer.
	void ask(Hub &h, uint64_t now)
	{
		struct feedmsg_ask a = {};
		struct feedmsg_update u = {};
		struct feedmsg_update decoded;
		struct listdiff_update d;
		uint8_t *bytes;
		size_t len;

		a.sent_us = now;
		a.version = 70;
		listview_fill_ask(listcopy_view(list), now, &a);
		feedmsg_ask_encode(&a, &bytes, &len);
		free(bytes);
		count(h, len);
		listdiff_update(h.list, a.revision, a.reads_compact, &d);
		u.echo_us = now;
		u.age_us = now - h.fresh_us;
		u.revision = listdiff_revision(h.list);
		u.since = d.since;
		u.changes = d.bytes;
		u.len = d.len;
		u.version = 70;
		feedmsg_update_encode(&u, &bytes, &len);
		count(h, len);
		whole += d.len > 0 && d.since == 0;
		ASSERT_EQ(
		    feedmsg_update_decode(bytes, len, &decoded), STATUS_OK);
		(void)listcopy_apply(
		    list, h.incarnation, h.fresh_us, now, &decoded);
		free(bytes);
	}

	void count(Hub &h, size_t len)
	{
		bytes += len + frameBytes;
		h.bytes += len + frameBytes;
	}
};

struct Fleet {
	Cloud cloud;
	std::vector<std::unique_ptr<Hub>> hubs;
	std::vector<std::unique_ptr<Gateway>> gateways;
	uint64_t now = 100 * USEC_PER_SEC;

	Fleet(unsigned nGateways, unsigned nServers) : cloud(nServers, 7)
	{
		for (unsigned i = 0; i < nHubs; i++) {
			hubs.push_back(std::make_unique<Hub>(i + 1));
			hubs.back()->read(cloud, now);
		}
		for (unsigned i = 0; i < nGateways; i++) {
			gateways.push_back(std::make_unique<Gateway>());
			gateways.back()->hub = i % nHubs;
		}
	}

	/// @param hopEvery  asks after which a gateway changes its process
	/// @param share     one server in so many changes at each reading
	void run(uint64_t forUs, unsigned hopEvery, unsigned share)
	{
		const uint64_t until = now + forUs;
		uint64_t nextReading = now;

		for (unsigned step = 1; now < until; step++, now += askUs) {
			if (now >= nextReading) {
				nextReading = now + readingUs;
				cloud.change(share);
				for (auto &h : hubs)
					h->read(cloud, now);
			}
			for (auto &g : gateways) {
				if (hopEvery > 0 && step % hopEvery == 0)
					g->hub = (g->hub + 1) % nHubs;
				g->ask(*hubs[g->hub], now);
			}
		}
	}

	void startCount()
	{
		for (auto &h : hubs)
			h->bytes = 0;
		for (auto &g : gateways) {
			g->bytes = 0;
			g->whole = 0;
		}
	}
};

size_t
reportBytes()
{
	struct hubmsg_report r;
	uint8_t *bytes;
	size_t len;

	hubmsg_report_init(&r);
	r.sent_us = 100 * USEC_PER_SEC;
	r.time_us = UINT64_C(1777296522000000);
	r.list_revision = HUBMSG_SUBSCRIBED;
	for (unsigned i = 0; i < nCustomers; i++) {
		struct hubmsg_quota q = {};
		struct hubmsg_usage u = {};

		(void)g_snprintf(q.customer, sizeof(q.customer), "tenant%u", i);
		q.spent = 1000000;
		q.acked_spent = 900000;
		q.level = 400000;
		g_array_append_val(r.quotas, q);
		(void)g_strlcpy(u.customer, q.customer, sizeof(u.customer));
		u.window = 355459304;
		u.n = 200;
		g_array_append_val(r.usage, u);
	}
	hubmsg_report_encode(&r, &bytes, &len);
	free(bytes);
	hubmsg_report_clear(&r);
	return len;
}

size_t
statusBytes()
{
	struct hubmsg_state s;
	uint8_t *bytes;
	size_t len;

	hubmsg_state_init(&s);
	s.echo_us = 100 * USEC_PER_SEC;
	s.time_us = UINT64_C(1777296522000000);
	s.version = 70;
	for (unsigned i = 0; i < nHubs; i++) {
		const uint32_t slot = 0x10000000 + i;

		g_array_append_val(s.members, slot);
	}
	for (unsigned i = 0; i < nCustomers; i++) {
		struct hubmsg_quota q = {};

		(void)g_snprintf(q.customer, sizeof(q.customer), "tenant%u", i);
		q.spent = 50000;
		q.acked_spent = 900000;
		q.level = 400000;
		g_array_append_val(s.quotas, q);
	}
	hubmsg_state_encode(&s, &bytes, &len);
	free(bytes);
	hubmsg_state_clear(&s);
	return len;
}

} // namespace

TEST(SpreadBudget, EachKindOfMessageIsWithinIt)
{
	const Budget budget;

	EXPECT_LE(reportBytes(), budget.report);
	EXPECT_LE(statusBytes(), budget.status);
	for (const unsigned n : { 100U, 300U, 1000U, 3000U }) {
		Cloud cloud(n, 7);
		Hub hub(1);
		Gateway g;

		hub.read(cloud, USEC_PER_SEC);
		g.ask(hub, 2 * USEC_PER_SEC);
		EXPECT_LE(g.bytes, n * budget.listedServer + 200) << n;
		g.bytes = 0;
		g.ask(hub, 3 * USEC_PER_SEC);
		EXPECT_LE(
		    g.bytes, budget.ask + budget.unchanged + 2 * frameBytes)
		    << n;
		cloud.change(20);
		hub.read(cloud, 4 * USEC_PER_SEC);
		g.bytes = 0;
		g.ask(hub, 4 * USEC_PER_SEC);
		// A replaced server is two changes.
		EXPECT_LE(g.bytes, n / 20 * 2 * budget.changedServer + 200)
		    << n;
		EXPECT_EQ(g.whole, 1U);
	}
}

/// Releases and reclaims change one server in a hundred at each reading, and
/// gateways change their control process all the time, at 10 to 350 gateways
/// before 100 to 3,000 servers. The bytes of a gateway follow what changes, and
/// not the list; those of control follow its gateways.
TEST(SpreadBudget, BytesFollowTheChangesAndNotTheList)
{
	const Budget budget;
	const uint64_t s = 20;

	for (const unsigned nGateways : { 10U, 100U, 350U }) {
		for (const unsigned nServers : { 100U, 1000U, 3000U }) {
			Fleet fleet(nGateways, nServers);

			fleet.run(USEC_PER_SEC, 0, 100);
			fleet.startCount();
			fleet.run(s * USEC_PER_SEC, 3, 100);
			const size_t perChange = nServers / 100 * 2 *
			    budget.changedServer * 1000 / 700;
			const size_t perAsk =
			    (budget.ask + budget.unchanged + 2 * frameBytes) *
			    5 / 2;
			for (const auto &g : fleet.gateways) {
				EXPECT_EQ(g->whole, 0U);
				ASSERT_LE(g->bytes / s, perChange + perAsk)
				    << nGateways << " " << nServers;
			}
			for (const auto &h : fleet.hubs)
				ASSERT_LE(h->bytes / s,
				    (nGateways / nHubs + 1) *
					(perChange + perAsk))
				    << nGateways << " " << nServers;
		}
	}
}

/// The aims at 300 machines: below 40 kB a second for a gateway, below 1 MB for
/// a control process, also for the leader, to which all gateways report, and
/// also in the minute after a start of all, in which each gets the whole list.
TEST(SpreadBudget, AStartOfAllIsWithinTheAimsOf300Machines)
{
	const uint64_t s = 30;
	Fleet fleet(291, 3000);

	fleet.run(s * USEC_PER_SEC, 25, 300);
	const uint64_t reports =
	    (reportBytes() + statusBytes() + 2 * frameBytes) * 5 / 2;
	for (const auto &g : fleet.gateways) {
		EXPECT_EQ(g->whole, 1U);
		ASSERT_LT(g->bytes / s + reports, 40000U);
	}
	for (const auto &h : fleet.hubs)
		ASSERT_LT(h->bytes / s + 291 * reports, 1000000U);
}
