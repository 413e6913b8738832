#include "test_hub.h"

extern "C" {
#include "hub/hub_quota.h"
}

namespace
{

const char depot[] =
    R"([{"name": "depot", "api_keys": ["k1"], "rate_per_s": 1, "burst": 5}])";

} // namespace

/// Guards against a customer without a quota being taken for one that is gone:
/// gateways that don't have the new configuration yet got grants without end.
TEST(Grants, ACustomerThatIsGoneGetsNone)
{
	TestHub hub;
	TestGateway gateway(hub);

	hub.configure(5, depot);
	gateway.report(5);
	gateway.askGrant("depot", 1);
	(void)gateway.configs();
	EXPECT_EQ(gateway.grants, 1);
	hub.configure(6);
	for (int i = 0; i < 100; i++)
		gateway.askGrant("depot", 1000000);
	(void)gateway.configs();
	EXPECT_EQ(gateway.grants, 1);
}

/// Guards against asks that can't be withdrawn once their customer is gone, and
/// take its units when it comes back.
TEST(Grants, AsksOfACustomerThatIsGoneEnd)
{
	TestHub hub;
	TestGateway gateway(hub);
	const auto *waiting = hub.hub->quotas->n_waiting;

	hub.configure(5, depot);
	gateway.report(5);
	for (int i = 0; i < 100 && waiting->value == 0; i++)
		gateway.askGrant("depot", 3);
	ASSERT_EQ(waiting->value, 1U);
	hub.configure(6);
	gateway.askGrant("depot", 3, HUBMSG_ASK_WITHDRAW);
	hub.configure(7, depot);
	EXPECT_EQ(hub.hub->quotas->n_withdrawn->value, 1U);
	EXPECT_EQ(quota_queue_length(hub_quota_of(
		      hub.hub, fleetcfg_find_customer(hub.hub->config, "depot"))
					 ->queue),
	    0U);
}
