#include <gtest/gtest.h>

extern "C" {
#include "fleet/hubmsg.h"
#include "fleet/listdiff.h"
#include "fleet/listrev.h"
#include "fleet/servermsg.h"
#include "base/timerq.h"
}

#include <cstring>
#include <map>
#include <random>
#include <string>

namespace
{

using List = std::map<std::string, bool>; ///< id to draining

GArray *
to_array(const List &list)
{
	GArray *a = g_array_new(FALSE, TRUE, sizeof(struct instance));

	for (const auto &[id, draining] : list) {
		struct instance s = {};

		(void)g_strlcpy(s.id, id.c_str(), sizeof(s.id));
		s.draining = draining;
		g_array_append_val(a, s);
	}
	return a;
}

bool
set(struct listdiff *d, const List &list, uint64_t nowUs = 1)
{
	GArray *a = to_array(list);
	const bool changed = listdiff_set(d, a, 0, nowUs);

	g_array_unref(a);
	return changed;
}

/// A gateway that applies updates as gateway_servers_update() does.
struct Gateway {
	uint64_t revision = 0;
	List list;

	/// @return number of servers in the update
	size_t apply(struct listdiff *d, uint64_t reported)
	{
		GArray *changes =
		    g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
		struct listdiff_update u;
		size_t n;

		listdiff_update(d, reported, true, &u);
		if (u.len == 0) {
			g_array_unref(changes);
			return 0;
		}
		EXPECT_EQ(servermsg_decode(u.bytes, u.len, changes), STATUS_OK);
		n = changes->len;
		EXPECT_LE(listrev_number(u.since), listrev_number(revision));
		if (u.since == 0)
			list.clear();
		for (guint i = 0; i < changes->len; i++) {
			const auto &c =
			    g_array_index(changes, struct hubmsg_server, i);

			if (c.removed)
				list.erase(c.instance.id);
			else
				list[c.instance.id] = c.instance.draining;
		}
		revision = listdiff_revision(d);
		g_array_unref(changes);
		return n;
	}
};

/// Sets a list of one server.
bool
set_cold(struct listdiff *d, uint64_t until_ms)
{
	GArray *a = to_array({ { "i-1", false } });
	bool changed;

	g_array_index(a, struct instance, 0).cold_until_ms = until_ms;
	changed = listdiff_set(d, a, 0, 1);
	g_array_unref(a);
	return changed;
}

uint64_t
cold_until(const struct listdiff *d)
{
	return g_array_index(listdiff_servers(d), struct instance, 0)
	    .cold_until_ms;
}

// Guards against a change with each reading while a server's cold time counts
// down, and against a later end that isn't told.
TEST(ListDiff, ColdTimeIsOneChange)
{
	struct listdiff *d = listdiff_new();

	EXPECT_TRUE(set_cold(d, 0));
	EXPECT_TRUE(set_cold(d, 5000));
	EXPECT_FALSE(set_cold(d, 5800));
	EXPECT_FALSE(set_cold(d, 4300));
	EXPECT_FALSE(set_cold(d, 0));
	EXPECT_EQ(cold_until(d), 5000U);
	EXPECT_TRUE(set_cold(d, 8000));
	EXPECT_EQ(cold_until(d), 8000U);
	listdiff_free(d);
}

} // namespace

TEST(ListDiff, AnUnchangedListIsNoRevision)
{
	struct listdiff *d = listdiff_new();

	EXPECT_TRUE(set(d, { { "a", false } }));
	const uint64_t first = listdiff_revision(d);
	EXPECT_NE(first, 0U);
	EXPECT_FALSE(set(d, { { "a", false } }));
	EXPECT_EQ(listdiff_revision(d), first);
	EXPECT_TRUE(set(d, { { "a", true } }));
	EXPECT_EQ(
	    listrev_number(listdiff_revision(d)), listrev_number(first) + 1);
	listdiff_reset(d);
	EXPECT_EQ(listdiff_revision(d), 0U);
	listdiff_free(d);
}

/// With thousands of servers a few change between two reads. A gateway that is
/// some revisions behind must not get the whole list.
TEST(ListDiff, AGatewayThatIsBehindGetsTheChangesOnly)
{
	struct listdiff *d = listdiff_new();
	Gateway g;
	List list;

	for (int i = 0; i < 3000; i++)
		list["s" + std::to_string(i)] = false;
	set(d, list);
	EXPECT_EQ(g.apply(d, 0), 3000U);
	for (int i = 0; i < 5; i++) {
		list["s" + std::to_string(i)] = true;
		set(d, list);
	}
	EXPECT_EQ(g.apply(d, g.revision), 5U);
	EXPECT_EQ(g.list, list);
	listdiff_free(d);
}

/// Control knows a gateway's revision only from its last report, so that an
/// update may follow an older revision than the gateway has by then.
TEST(ListDiff, UpdatesFromAnOlderRevisionLeadToTheSameList)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		std::mt19937 random(seed);
		struct listdiff *d = listdiff_new();
		Gateway g;
		uint64_t reported = 0;
		List list;

		for (int step = 0; step < 400; step++) {
			const std::string id =
			    "s" + std::to_string(random() % 30);

			if (random() % 3 == 0)
				list.erase(id);
			else
				list[id] = random() % 2 == 0;
			if (random() % 2 == 0)
				set(d, list);
			if (random() % 4 == 0)
				reported = g.revision;
			if (random() % 3 == 0) {
				(void)g.apply(d, reported);
				GArray *now = to_array(g.list);
				EXPECT_EQ(listdiff_servers(d)->len, now->len);
				g_array_unref(now);
			}
		}
		set(d, list);
		(void)g.apply(d, reported);
		EXPECT_EQ(g.list, list) << "seed " << seed;
		listdiff_free(d);
	}
}

/// An outage, or a choice of another process, lasts for many readings, each
/// with a change. A gateway that comes back must not get the whole list.
TEST(ListDiff, ChangesAreKeptForATimeAndNotForANumberOfRevisions)
{
	const uint64_t s = USEC_PER_SEC;
	struct listdiff *d = listdiff_new();
	Gateway g;
	List list;

	for (int i = 0; i < 3000; i++)
		list["s" + std::to_string(i)] = false;
	set(d, list, s);
	EXPECT_EQ(g.apply(d, 0), 3000U);
	const uint64_t old = g.revision;
	for (uint64_t i = 0; i < 50; i++) {
		list["s" + std::to_string(i)] = true;
		set(d, list, s + (i + 1) * s);
	}
	EXPECT_EQ(g.apply(d, old), 50U);
	EXPECT_EQ(g.list, list);
	list["s99"] = true;
	set(d, list, 70 * s);
	EXPECT_FALSE(listdiff_knows(d, old));
	EXPECT_TRUE(listdiff_knows(d, g.revision));
	listdiff_free(d);
}

/// A gateway changes its control process: the other one has the same lists, but
/// from other readings and under other numbers.
TEST(ListDiff, ARevisionOfAnotherProcessIsKnown)
{
	struct listdiff *a = listdiff_new();
	struct listdiff *b = listdiff_new();
	Gateway g;

	set(a, { { "a", false } });
	set(a, { { "a", false }, { "b", false } });
	set(b, { { "a", false }, { "b", false } });
	EXPECT_EQ(g.apply(a, 0), 2U);
	EXPECT_EQ(g.apply(b, g.revision), 0U);
	set(b, { { "a", false }, { "b", true } });
	struct listdiff_update u;
	listdiff_update(b, listdiff_revision(a), true, &u);
	EXPECT_NE(u.since, 0U);
	set(a, { { "a", false }, { "b", true }, { "c", false } });
	listdiff_update(b, listdiff_revision(a), true, &u);
	EXPECT_EQ(u.since, 0U);
	listdiff_free(a);
	listdiff_free(b);
}

/// A page that shows a leaving server may come seconds before the last one.
TEST(ListDiff, AServerDrainsBeforeTheReadingIsComplete)
{
	struct listdiff *d = listdiff_new();
	struct instance page[3] = {};

	set(d, { { "a", false }, { "b", false }, { "c", true } });
	(void)g_strlcpy(page[0].id, "b", sizeof(page[0].id));
	page[0].draining = true;
	(void)g_strlcpy(page[1].id, "c", sizeof(page[1].id));
	page[1].draining = true;
	(void)g_strlcpy(page[2].id, "new", sizeof(page[2].id));
	page[2].draining = true;
	EXPECT_TRUE(listdiff_drain(d, page, 3, 2));
	EXPECT_FALSE(listdiff_drain(d, page, 3, 3));
	EXPECT_FALSE(set(d, { { "a", false }, { "b", true }, { "c", true } }));
	listdiff_free(d);
}
