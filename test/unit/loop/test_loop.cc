#include <gtest/gtest.h>

extern "C" {
#include "loop/loop.h"
}

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

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
