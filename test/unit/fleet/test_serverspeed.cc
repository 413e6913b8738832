#include <gtest/gtest.h>

extern "C" {
#include "fleet/serverspeed.h"
}

#include <cstring>

namespace
{

class ServerSpeed : public ::testing::Test
{
      protected:
	~ServerSpeed() override
	{
		serverspeed_free(s);
	}

	void Add(const char *server, std::initializer_list<uint32_t> paces)
	{
		for (const uint32_t pace : paces)
			serverspeed_add(s, server, pace);
	}

	struct serverspeed *s = serverspeed_new();
};

// A server of pace 60 that was slow for a moment in two of its first samples.
TEST_F(ServerSpeed, SlowMomentsDoNotMoveTheFigure)
{
	Add("i-1", { 60, 150, 60, 150 });
	EXPECT_EQ(serverspeed_get(s, "i-1"), 0U);
	Add("i-1", { 60 });
	EXPECT_EQ(serverspeed_get(s, "i-1"), 60U);
	Add("i-1", { 150, 60, 150, 60 });
	EXPECT_EQ(serverspeed_get(s, "i-1"), 60U);
	EXPECT_EQ(serverspeed_get(s, "i-2"), 0U);
}

// Guards against a change of the list for each small difference.
TEST_F(ServerSpeed, ChangesRarely)
{
	Add("i-1", { 98, 103, 101, 96, 104 });
	EXPECT_EQ(serverspeed_get(s, "i-1"), 100U);
	Add("i-1", { 109, 108, 110, 109, 107, 108, 110, 109, 108 });
	EXPECT_EQ(serverspeed_get(s, "i-1"), 100U);
	Add("i-1", { 160, 160, 160, 160, 160 });
	EXPECT_EQ(serverspeed_get(s, "i-1"), 160U);
}

// A new leader goes on from what the last one told, until samples differ.
TEST_F(ServerSpeed, GoesOnFromAnEarlierFigure)
{
	serverspeed_set(s, "i-1", 160);
	EXPECT_EQ(serverspeed_get(s, "i-1"), 160U);
	Add("i-1", { 160, 400, 160, 160, 160 });
	EXPECT_EQ(serverspeed_get(s, "i-1"), 160U);
	Add("i-1", { 100, 100, 100, 100, 100 });
	EXPECT_EQ(serverspeed_get(s, "i-1"), 100U);
}

TEST_F(ServerSpeed, ServersThatAreNotListedAreForgotten)
{
	Add("i-1", { 60, 60, 60, 60, 60 });
	Add("i-2", { 100, 100, 100, 100, 100 });
	serverspeed_retain(
	    s,
	    [](void *, const char *server) {
		    return strcmp(server, "i-2") == 0;
	    },
	    nullptr);
	EXPECT_EQ(serverspeed_get(s, "i-1"), 0U);
	EXPECT_EQ(serverspeed_get(s, "i-2"), 100U);
}

} // namespace
