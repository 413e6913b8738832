#include "test_hub.h"

/// Guards against messages that grow with the square of the gateways: all that
/// learn of a limit before control has told them were passed on to all others.
TEST(Limits, OnlyNewsIsPassedOn)
{
	TestHub hub;
	TestGateway a(hub, "front-1");
	TestGateway b(hub, "front-2");

	for (TestGateway *g : { &a, &b }) {
		g->report(0);
		g->tellLimit(nullptr, 0);
	}
	a.tellLimit("i-1", 3);
	b.tellLimit("i-1", 3);
	a.tellLimit("i-1", 3);
	(void)a.configs();
	(void)b.configs();
	EXPECT_EQ(a.limits, 0);
	EXPECT_EQ(b.limits, 1);
	b.tellLimit("i-1", 2);
	(void)a.configs();
	EXPECT_EQ(a.limits, 1);
	a.tellLimit("i-1", 0);
	b.tellLimit("i-1", 0);
	(void)a.configs();
	(void)b.configs();
	EXPECT_EQ(a.limits, 1);
	EXPECT_EQ(b.limits, 2);
}
