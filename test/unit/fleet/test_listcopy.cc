#include <gtest/gtest.h>

extern "C" {
#include "fleet/hubmsg.h"
#include "fleet/listcopy.h"
#include "fleet/listdiff.h"
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
	uint64_t first;

	Source(uint64_t i, uint64_t f) : incarnation(i), first(f)
	{
	}
	~Source()
	{
		listdiff_free(diff);
	}

	void set(const List &list)
	{
		GArray *a = toArray(list);

		(void)listdiff_set(diff, a, first);
		g_array_unref(a);
	}

	enum listcopy_result send(struct listcopy *c, uint64_t has)
	{
		struct listdiff_update d;
		struct feedmsg_update u = {};
		struct feedmsg_update decoded;
		uint8_t *bytes;
		size_t len;

		listdiff_update(diff, has, &d);
		u.revision = listdiff_revision(diff);
		u.since = d.since;
		u.changes = d.bytes;
		u.len = d.len;
		feedmsg_update_encode(&u, &bytes, &len);
		EXPECT_EQ(
		    feedmsg_update_decode(bytes, len, &decoded), STATUS_OK);
		const auto result = listcopy_apply(c, incarnation, &decoded);
		free(bytes);
		return result;
	}
};

} // namespace

/// Guards against a server that stays in a copy, or is missing there, when
/// updates are lost, repeated, or come from another process in between.
TEST(ListCopy, EqualsTheSourceAfterEachUpdateThatApplies)
{
	for (unsigned seed = 1; seed <= 200; seed++) {
		std::mt19937 random(seed);
		Source sources[2] = { { 11, 1000 }, { 12, 1003 } };
		List lists[2];
		struct listcopy *c = listcopy_new();

		for (int step = 0; step < 200; step++) {
			const size_t i = random() % 8 == 0 ? 1 : 0;
			Source &s = sources[i];
			const std::string id =
			    "i-" + std::to_string(random() % 6);

			if (random() % 3 == 0)
				lists[i].erase(id);
			else
				lists[i][id] = random() % 2 == 0;
			s.set(lists[i]);
			if (random() % 3 == 0)
				continue;
			// An ask that was sent before the last update.
			uint64_t has = listcopy_revision(c, s.incarnation);
			if (has > s.first && random() % 4 == 0)
				has--;
			if (s.send(c, has) != LISTCOPY_UNRELATED) {
				EXPECT_EQ(fromCopy(c), lists[i]);
			}
		}
		listcopy_free(c);
	}
}

/// Guards against changes that are applied to another process's list.
TEST(ListCopy, RefusesChangesOfAnotherSource)
{
	Source a(11, 1000);
	Source b(12, 1000);
	struct listcopy *c = listcopy_new();

	a.set({ { "i-1", false } });
	EXPECT_EQ(a.send(c, 0), LISTCOPY_CHANGED);
	EXPECT_EQ(a.send(c, 1000), LISTCOPY_SAME);
	b.set({ { "i-2", false } });
	b.set({ { "i-2", false }, { "i-3", false } });
	EXPECT_EQ(b.send(c, 1000), LISTCOPY_UNRELATED);
	EXPECT_EQ(fromCopy(c), (List{ { "i-1", false } }));
	EXPECT_EQ(b.send(c, listcopy_revision(c, 12)), LISTCOPY_CHANGED);
	EXPECT_EQ(fromCopy(c), (List{ { "i-2", false }, { "i-3", false } }));
	listcopy_free(c);
}
