#include <gtest/gtest.h>

extern "C" {
#include "base/timerq.h"
#include "fleet/listrev.h"
#include "fleet/listview.h"
}

namespace
{

/// Guards against a list that seems to be usually old, since messages about its
/// only reading took different times: it was replaced up to two seconds late
/// when the leader couldn't read any more.
TEST(ListView, WordsOfOneReadingDontMakeItUsuallyOld)
{
	const uint64_t read_us = 10 * USEC_PER_SEC;
	const uint64_t least_us = 1500 * USEC_PER_MSEC;
	struct listview v = {};
	struct feedmsg_update u = {};

	u.revision = listrev_make(1, 0);
	ASSERT_EQ(
	    listview_begin(&v, 7, read_us, read_us, &u), LISTVIEW_REPLACE);
	ASSERT_TRUE(listview_end(&v, 7, read_us, read_us, &u));
	for (uint64_t ms = 200; ms < 1500; ms += 200)
		EXPECT_EQ(listview_begin(&v, 7, read_us + ms * 10,
			      read_us + ms * USEC_PER_MSEC, &u),
		    LISTVIEW_KEEP);
	EXPECT_EQ(listview_old_us(&v, least_us), least_us);
	// A newer reading at that age shows that lists usually get so old.
	EXPECT_EQ(listview_begin(&v, 7, read_us + 1400 * USEC_PER_MSEC,
		      read_us + 1400 * USEC_PER_MSEC, &u),
	    LISTVIEW_KEEP);
	EXPECT_GT(listview_old_us(&v, least_us), 2700 * USEC_PER_MSEC);
}

} // namespace
