#include <gtest/gtest.h>

extern "C" {
#include "base/watchdog.h"
#include "loop/loop.h"
}

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/event_struct.h>

#include <unistd.h>

namespace
{

const char bytes[] = "unsent";

void
mark_released(const void *, size_t, void *arg)
{
	*static_cast<bool *>(arg) = true;
}

} // namespace

/// Guards against a leak: a queued callback holds a reference to its
/// connection, so a connection that was freed with one queued stays until the
/// queue runs.
TEST(Loop, FreeReleasesConnectionsWithQueuedCallbacks)
{
	struct loop *l = loop_new(1);
	struct bufferevent *bev = bufferevent_socket_new(loop_event_base(l), -1,
	    BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bool released = false;

	bufferevent_setcb(
	    bev, [](struct bufferevent *, void *) {}, nullptr, nullptr,
	    nullptr);
	ASSERT_EQ(evbuffer_add_reference(bufferevent_get_output(bev), bytes,
		      sizeof(bytes), mark_released, &released),
	    0);
	bufferevent_trigger(bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
	bufferevent_free(bev);
	EXPECT_FALSE(released);
	loop_free(l);
	EXPECT_TRUE(released);
}

/// Guards against a process that doesn't end: the queue was run until it was
/// empty, which it never is while an event that was left behind stays ready.
TEST(Loop, FreeEndsThoughAnEventStaysReady)
{
	struct loop *l = loop_new(1);
	struct event left;
	int ends[2];

	ASSERT_EQ(pipe(ends), 0);
	ASSERT_EQ(write(ends[1], "x", 1), 1);
	ASSERT_EQ(event_assign(
		      &left, loop_event_base(l), ends[0], EV_READ | EV_PERSIST,
		      [](evutil_socket_t, short, void *) {}, nullptr),
	    0);
	ASSERT_EQ(event_add(&left, nullptr), 0);
	watchdog_start(10, 1);
	loop_free(l);
	watchdog_stop();
	close(ends[0]);
	close(ends[1]);
}

/// Guards against a release that hangs elsewhere.
TEST(Watchdog, EndsAProcessWhoseReleaseHangs)
{
	EXPECT_EXIT(
	    {
		    watchdog_start(1, 7);
		    for (;;)
			    pause();
	    },
	    ::testing::ExitedWithCode(7), "process.release_overdue");
	watchdog_start(1, 7);
	watchdog_stop();
	usleep(1200000);
}
