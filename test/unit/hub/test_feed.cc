#include "test_hub.h"

/// Guards against a configuration that is sent with each reply until the
/// gateway has it: a large one fills the memory of control and all links.
TEST(Feed, AConfigurationIsSentOnceALink)
{
	TestHub hub;
	TestGateway gateway(hub);

	hub.configure(5);
	for (int i = 0; i < 20; i++)
		gateway.report(0);
	EXPECT_EQ(gateway.configs(), "5 ");
	gateway.report(5);
	hub.configure(6);
	for (int i = 0; i < 20; i++)
		gateway.report(5);
	EXPECT_EQ(gateway.configs(), "6 ");
}

/// Guards against configurations that queue up on a link whose gateway takes
/// them more slowly than they change: the next one waits until the last one is
/// in force, and is then the newest.
TEST(Feed, SubscribersGetTheNewestConfigurationOneAtATime)
{
	TestHub hub;
	TestGateway gateway(hub);

	hub.configure(5);
	for (int i = 0; i < 20; i++)
		gateway.ask(0);
	hub.configure(6);
	hub.configure(7);
	EXPECT_EQ(gateway.configs(), "5 ");
	gateway.ask(5);
	EXPECT_EQ(gateway.configs(), "7 ");
	gateway.ask(7);
	hub.configure(8);
	EXPECT_EQ(gateway.configs(), "8 ");
}

/// Guards against a whole list for each gateway that looks for a newer one
/// while all processes have the same old list.
TEST(Feed, AListIsSentOnlyIfItIsNewer)
{
	TestHub hub;
	TestGateway gateway(hub);
	GArray *servers = g_array_new(FALSE, TRUE, sizeof(struct instance));
	const uint64_t ageUs = 5 * USEC_PER_SEC;

	hub_servers_set(hub.hub, servers, 0, loop_now_us(hub.loop) - ageUs);
	g_array_unref(servers);
	gateway.ask(0, ageUs);
	gateway.ask(0, ageUs - USEC_PER_SEC);
	(void)gateway.configs();
	EXPECT_EQ(gateway.lists, 0);
	gateway.ask(0, ageUs + USEC_PER_SEC);
	(void)gateway.configs();
	EXPECT_EQ(gateway.lists, 1);
	gateway.ask(0, FEEDMSG_NO_LIST);
	(void)gateway.configs();
	EXPECT_EQ(gateway.lists, 2);
}
