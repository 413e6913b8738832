#include <gtest/gtest.h>

extern "C" {
#include "fleet/evacset.h"

#include <glib.h>
}

#include <string>

namespace
{

std::string
names(const struct evacset &s)
{
	char *text = evacset_names(&s);
	std::string out = text;

	g_free(text);
	return out;
}

TEST(EvacSet, AChangeThatChangesNothingKeepsTheRevision)
{
	struct evacset s = {};

	EXPECT_FALSE(evacset_remove(&s, 4, "csepel"));
	EXPECT_TRUE(evacset_add(&s, 5, "csepel", 100));
	EXPECT_FALSE(evacset_add(&s, 6, "csepel", 200));
	EXPECT_EQ(s.revision, 5U);
	EXPECT_EQ(s.entries[0].since_us, 100U);
	EXPECT_TRUE(evacset_add(&s, 7, "kelenfold", 300));
	EXPECT_EQ(names(s), "csepel,kelenfold");
	EXPECT_TRUE(evacset_remove(&s, 8, "csepel"));
	EXPECT_FALSE(evacset_covers(&s, "csepel"));
	EXPECT_TRUE(evacset_covers(&s, "kelenfold"));
	EXPECT_TRUE(evacset_remove(&s, 9, "kelenfold"));
	EXPECT_EQ(names(s), "-");
	EXPECT_EQ(s.revision, 9U);
}

TEST(EvacSet, AFullSetTakesNoMore)
{
	struct evacset s = {};

	for (unsigned i = 0; i < EVACSET_MAX; i++)
		EXPECT_TRUE(evacset_add(
		    &s, i + 1, ("z" + std::to_string(i)).c_str(), 0));
	EXPECT_TRUE(evacset_is_full(&s));
	EXPECT_FALSE(evacset_add(&s, 100, "one-more", 0));
	EXPECT_EQ(s.revision, static_cast<uint64_t>(EVACSET_MAX));
}

/// A state that the leader before sent may arrive after one of the new leader,
/// over another link: the data centre must not be opened again.
TEST(EvacSet, AnOlderSetThatArrivesLateIsTold)
{
	struct evacset old_set = {};
	struct evacset new_set = {};

	(void)evacset_add(&old_set, 5, "csepel", 0);
	new_set = old_set;
	(void)evacset_remove(&new_set, 8, "csepel");
	EXPECT_EQ(evacset_compare(&old_set, &new_set), EVACSET_NEWER);
	EXPECT_EQ(evacset_compare(&new_set, &old_set), EVACSET_OLDER);
	EXPECT_EQ(evacset_compare(&new_set, &new_set), EVACSET_SAME);
}

} // namespace
