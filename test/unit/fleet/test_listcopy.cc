#include <gtest/gtest.h>

extern "C" {
#include "fleet/hubmsg.h"
#include "fleet/listcopy.h"
#include "fleet/listdiff.h"
#include "fleet/listrev.h"
}

#include <cstdlib>
#include <map>
#include <random>
#include <string>

namespace
{

using List = std::map<std::string, bool>; ///< id to draining

GArray *
toArray(const List &list)
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

List
fromCopy(const struct listcopy *c)
{
	GArray *a = listcopy_servers(c);
	List list;

	for (guint i = 0; i < a->len; i++) {
		const auto &s = g_array_index(a, struct instance, i);

		list[s.id] = s.draining;
	}
	g_array_unref(a);
	return list;
}

/// A process that sends its list.
struct Source {
	struct listdiff *diff = listdiff_new();
	uint64_t incarnation;

	explicit Source(uint64_t i) : incarnation(i)
	{
	}
	~Source()
	{
		listdiff_free(diff);
	}

	void set(const List &list)
	{
		GArray *a = toArray(list);

		(void)listdiff_set(diff, a, 0, 1);
		g_array_unref(a);
	}

	/// @param freshUs  when its list was read
	enum listcopy_result send(
	    struct listcopy *c, uint64_t has, uint64_t freshUs)
	{
		struct listdiff_update d;
		struct feedmsg_update u = {};
		struct feedmsg_update decoded;
		uint8_t *bytes;
		size_t len;

		listdiff_update(diff, has, true, &d);
		u.revision = listdiff_revision(diff);
		u.since = d.since;
		u.changes = d.bytes;
		u.len = d.len;
		feedmsg_update_encode(&u, &bytes, &len);
		EXPECT_EQ(
		    feedmsg_update_decode(bytes, len, &decoded), STATUS_OK);
		const auto result = listcopy_apply(
		    c, incarnation, freshUs, freshUs + 1, &decoded);
		free(bytes);
		return result;
	}
};

} // namespace

/// Guards against a server that stays in a copy, or is missing there, when
/// updates are lost, repeated, or come from another process in between. A copy
/// that misses something must say so, and the whole list must repair it.
TEST(ListCopy, EqualsTheSourceAfterEachUpdateThatApplies)
{
	unsigned n_applied = 0;

	for (unsigned seed = 1; seed <= 200; seed++) {
		std::mt19937 random(seed);
		Source sources[2] = { Source(11), Source(12) };
		uint64_t former[2] = { 0, 0 };
		List lists[2];
		struct listcopy *c = listcopy_new();

		for (int step = 0; step < 200; step++) {
			const size_t i = random() % 8 == 0 ? 1 : 0;
			const uint64_t fresh =
			    1000 + static_cast<uint64_t>(step);
			Source &s = sources[i];
			const std::string id =
			    "i-" + std::to_string(random() % 6);

			if (random() % 3 == 0)
				lists[i].erase(id);
			else
				lists[i][id] = random() % 2 == 0;
			const uint64_t before = listdiff_revision(s.diff);
			s.set(lists[i]);
			if (listdiff_revision(s.diff) != before)
				former[i] = before;
			if (random() % 3 == 0)
				continue;
			// An ask that was sent before the last update.
			uint64_t has = listcopy_view(c)->revision;
			if (random() % 4 == 0)
				has = former[i];
			auto result = s.send(c, has, fresh);
			if (result == LISTCOPY_INCOMPLETE) {
				EXPECT_EQ(listcopy_view(c)->revision, 0U);
				result = s.send(c, 0, fresh);
				EXPECT_EQ(result, LISTCOPY_CHANGED);
			}
			if (result != LISTCOPY_UNRELATED) {
				EXPECT_EQ(fromCopy(c), lists[i]);
				n_applied++;
			}
		}
		listcopy_free(c);
	}
	EXPECT_GT(n_applied, 15000U);
}

/// Guards against a list that is older than the one that another process sent,
/// and against updates that overtake each other on two links.
TEST(ListCopy, IgnoresAnOlderList)
{
	Source a(11);
	Source b(12);
	struct listcopy *c = listcopy_new();

	a.set({ { "i-1", false } });
	b.set({ { "i-2", false } });
	EXPECT_EQ(a.send(c, 0, 1000), LISTCOPY_CHANGED);
	EXPECT_EQ(b.send(c, 0, 999), LISTCOPY_UNRELATED);
	EXPECT_EQ(fromCopy(c), (List{ { "i-1", false } }));
	EXPECT_EQ(b.send(c, 0, 1001), LISTCOPY_CHANGED);
	EXPECT_EQ(fromCopy(c), (List{ { "i-2", false } }));
	b.set({ { "i-3", false } });
	EXPECT_EQ(
	    b.send(c, listcopy_view(c)->revision, 1002), LISTCOPY_CHANGED);
	Source late(12);
	late.set({ { "i-2", false } });
	EXPECT_EQ(late.send(c, 0, 1002), LISTCOPY_UNRELATED);
	EXPECT_EQ(fromCopy(c), (List{ { "i-3", false } }));
	listcopy_free(c);
}

/// Guards against changes that are taken for the whole list, when the process
/// that sends them knows another list than the copy's.
TEST(ListCopy, SaysWhenChangesOfAnotherSourceLeaveItIncomplete)
{
	Source a(11);
	Source b(12);
	struct listcopy *c = listcopy_new();

	a.set({ { "i-1", false } });
	EXPECT_EQ(a.send(c, 0, 1000), LISTCOPY_CHANGED);
	EXPECT_EQ(a.send(c, listcopy_view(c)->revision, 1000), LISTCOPY_SAME);
	b.set({ { "i-2", false } });
	const uint64_t other = listdiff_revision(b.diff);
	b.set({ { "i-2", false }, { "i-3", false } });
	EXPECT_EQ(b.send(c, other, 1001), LISTCOPY_INCOMPLETE);
	EXPECT_EQ(listcopy_view(c)->revision, 0U);
	EXPECT_EQ(b.send(c, 0, 1001), LISTCOPY_CHANGED);
	EXPECT_EQ(fromCopy(c), (List{ { "i-2", false }, { "i-3", false } }));
	listcopy_free(c);
}

/// A process of an older version numbers its lists without a digest: its
/// changes are followed only from the revision that it sent.
TEST(ListCopy, FollowsAnOlderVersionWithinOneProcess)
{
	const uint64_t first = UINT64_C(0x1234567800000005);
	Source a(11);
	struct listcopy *c = listcopy_new();
	struct listdiff_update d;

	a.set({ { "i-1", false } });
	listdiff_update(a.diff, 0, true, &d);
	struct feedmsg_update u = {};
	u.revision = first;
	u.changes = d.bytes;
	u.len = d.len;
	EXPECT_EQ(listcopy_apply(c, 11, 1000, 1001, &u), LISTCOPY_CHANGED);
	EXPECT_EQ(listcopy_view(c)->revision, first);
	EXPECT_EQ(listcopy_apply(c, 11, 1000, 1001, &u), LISTCOPY_SAME);
	u.revision = first + 2;
	u.since = first + 1;
	EXPECT_EQ(listcopy_apply(c, 11, 1000, 1001, &u), LISTCOPY_UNRELATED);
	u.since = first;
	EXPECT_EQ(listcopy_apply(c, 11, 1000, 1001, &u), LISTCOPY_CHANGED);
	EXPECT_EQ(listcopy_view(c)->revision, first + 2);
	u.revision = first + 3;
	EXPECT_EQ(listcopy_apply(c, 12, 1002, 1003, &u), LISTCOPY_UNRELATED);
	listcopy_free(c);
}
