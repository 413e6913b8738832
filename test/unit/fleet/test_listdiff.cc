#include <gtest/gtest.h>

extern "C" {
#include "fleet/hubmsg.h"
#include "fleet/listdiff.h"
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
set(struct listdiff *d, const List &list)
{
	GArray *a = to_array(list);
	const bool changed = listdiff_set(d, a, 1000);

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

		listdiff_update(d, reported, &u);
		if (u.len == 0) {
			g_array_unref(changes);
			return 0;
		}
		EXPECT_EQ(
		    hubmsg_servers_decode(u.bytes, u.len, changes), STATUS_OK);
		n = changes->len;
		EXPECT_LE(u.since, revision);
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
	changed = listdiff_set(d, a, 1000);
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
	EXPECT_EQ(listdiff_revision(d), 1000U);
	EXPECT_FALSE(set(d, { { "a", false } }));
	EXPECT_TRUE(set(d, { { "a", true } }));
	EXPECT_EQ(listdiff_revision(d), 1001U);
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
