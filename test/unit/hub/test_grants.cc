#include "test_hub.h"

extern "C" {
#include "hub/hub_quota.h"
#include "replog/replica_internal.h"
}

#include <malloc.h>
#include <signal.h>
#include <sys/time.h>

namespace
{

const char depot[] =
    R"([{"name": "depot", "api_keys": ["k1"], "rate_per_s": 1, "burst": 5}])";

const char fast[] =
    R"([{"name": "depot", "api_keys": ["k1"], "rate_per_s": 100, "burst": 5}])";

struct replica *group;

/// Ends the leader's lease, in the middle of whatever it does.
void
endLease(int)
{
	group->failed = true;
}

/// Lets the leader handle asks until its lease has ended.
void
askUntilTheLeaseEnds(struct hub *hub, int us)
{
	const struct itimerval when = { { 0, 0 }, { 0, us } };
	struct hubmsg_ask a = {};
	struct wire_bytes bytes = {};
	uint8_t *encoded;

	a.units = 1;
	a.can_wait = true;
	a.wait_us = a.left_us = USEC_PER_SEC;
	g_strlcpy(a.customer, "depot", sizeof(a.customer));
	hubmsg_ask_encode(&a, &encoded, &bytes.len);
	bytes.data = encoded;
	ASSERT_EQ(setitimer(ITIMER_REAL, &when, nullptr), 0);
	while (!group->failed)
		hub_grants_on_ask(hub, HANDLE_NONE, &bytes);
	group->failed = false;
	free(encoded);
}

/// The level of the quota of customer `depot`.
double
level(TestHub &hub)
{
	return hub_quota_of(
	    hub.hub, fleetcfg_find_customer(hub.hub->config, "depot"))
	    ->bucket.level;
}

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

/// Guards against a leader whose lease ends while it handles an ask: it freed
/// the quota that it had at hand, and ended on the freed memory.
TEST(Grants, TheLeaseMayEndWithinAnAsk)
{
	TestHub hub;
	struct sigaction action = {};

	hub.configure(5, depot);
	group = hub.hub->group;
	action.sa_handler = endLease;
	ASSERT_EQ(sigaction(SIGALRM, &action, nullptr), 0);
	// Freed memory doesn't keep what it held; sanitisers see to it
	// themselves.
	(void)mallopt(M_PERTURB, 0xa5);
	for (int i = 0; i < 2000; i++)
		askUntilTheLeaseEnds(hub.hub, 1 + i % 200);
	(void)mallopt(M_PERTURB, 0);
	EXPECT_EQ(signal(SIGALRM, SIG_DFL), endLease);
	EXPECT_TRUE(hub_is_leader(hub.hub));
}

/// Guards against a leader that loses its lease for a moment: it forgot what
/// had been granted, and each customer had a full quota again.
TEST(Grants, AQuotaOutlastsALeaseThatEndsForAMoment)
{
	TestHub hub;
	TestGateway gateway(hub);
	const auto *waiting = hub.hub->quotas->n_waiting;

	hub.configure(5, fast);
	gateway.report(5, 1);
	gateway.askGrant("depot", 30);
	gateway.askGrant("depot", 1);
	ASSERT_EQ(waiting->value, 1U);
	hub.hub->group->failed = true;
	gateway.report(5, 5001);
	hub.run(500);
	EXPECT_EQ(waiting->value, 0U);
	hub.hub->group->failed = false;
	EXPECT_LT(level(hub), -4000);
	gateway.askGrant("depot", 1);
	EXPECT_EQ(waiting->value, 1U);
}

/// Guards against a process that applies the configuration in the moment in
/// which it begins to lead, as after its start: it passed over what gateways
/// had told it, and each customer had a full quota again.
TEST(Grants, ALeaderThatHasntReadTheConfigurationKnowsWhatGatewaysSpent)
{
	TestHub hub;
	TestGateway gateway(hub);
	struct hub *h = hub.hub;

	hub.configure(5, depot);
	gateway.report(5, 10000);
	fleetcfg_unref(h->config);
	h->config = nullptr;
	h->was_leader = false;
	h->group->config.ops.role_changed(h, raft_role(h->group->core),
	    raft_leader(h->group->core), raft_term(h->group->core));
	hub.run(5);
	EXPECT_LT(level(hub), -9000);
}
