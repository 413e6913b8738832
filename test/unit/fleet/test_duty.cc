#include <gtest/gtest.h>

extern "C" {
#include "fleet/duty.h"
}

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

static constexpr uint64_t MS = 1000;
static constexpr uint64_t LEASE = 3000 * MS;
static constexpr uint64_t MARGIN = 300 * MS;

static struct duty
new_duty(uint32_t self)
{
	const struct duty_config config = { self, LEASE, MARGIN };
	struct duty d;

	duty_init(&d, &config);
	return d;
}

TEST(Duty, FirstHolderBeginsAtOnce)
{
	struct duty d = new_duty(1);
	struct duty_claim last = {};

	EXPECT_EQ(duty_tick(&d, 100, &last), DUTY_COMMIT_CLAIM);
	EXPECT_EQ(duty_tick(&d, 100, &last), DUTY_NONE);
	last = { 1, 7 };
	EXPECT_TRUE(duty_on_claimed(&d, 200, 0, &last));
	EXPECT_TRUE(duty_may_call(&d, 200, &last));
}

TEST(Duty, NewHolderWaitsForTheLease)
{
	struct duty d = new_duty(2);
	struct duty_claim last = { 1, 7 };

	EXPECT_EQ(duty_tick(&d, 100, &last), DUTY_COMMIT_CLAIM);
	last = { 2, 9 };
	EXPECT_TRUE(duty_on_claimed(&d, 200, 1, &last));
	EXPECT_FALSE(duty_may_call(&d, 200 + LEASE, &last));
	EXPECT_TRUE(duty_may_call(&d, 200 + LEASE + MARGIN, &last));
}

/// A new number for the same holder could be overtaken by a call that the
/// holder made under the old one.
TEST(Duty, HolderThatIsElectedAgainKeepsItsFence)
{
	struct duty d = new_duty(1);
	const struct duty_claim last = { 1, 7 };

	(void)duty_tick(&d, 100, &last);
	EXPECT_TRUE(duty_on_claimed(&d, 200, 0, &last));
	EXPECT_TRUE(duty_reset(&d));
	EXPECT_FALSE(duty_may_call(&d, 300, &last));
	EXPECT_EQ(duty_tick(&d, 400, &last), DUTY_BEGIN);
	EXPECT_TRUE(duty_may_call(&d, 400, &last));
}

/// The wait for the holder before must not be cut short by a loss of the
/// leadership or a restart in between.
TEST(Duty, HolderThatIsElectedAgainStillWaits)
{
	struct duty d = new_duty(2);
	struct duty restarted = new_duty(2);
	const struct duty_claim last = { 2, 7 };

	(void)duty_tick(&d, 100, &last);
	EXPECT_TRUE(duty_on_claimed(&d, 200, 1, &last));
	(void)duty_reset(&d);
	EXPECT_EQ(duty_tick(&d, 1000, &last), DUTY_BEGIN);
	EXPECT_FALSE(duty_may_call(&d, 200 + LEASE, &last));
	EXPECT_TRUE(duty_may_call(&d, 200 + LEASE + MARGIN, &last));
	EXPECT_EQ(duty_tick(&restarted, 1000, &last), DUTY_BEGIN);
	EXPECT_FALSE(duty_may_call(&restarted, 1000 + LEASE, &last));
}

TEST(Duty, RefusedHolderClaimsAgainAndWaits)
{
	struct duty d = new_duty(1);
	struct duty_claim last = { 1, 7 };

	(void)duty_tick(&d, 100, &last);
	duty_on_fenced(&d);
	EXPECT_FALSE(duty_may_call(&d, 150 + 2 * LEASE, &last));
	EXPECT_EQ(duty_tick(&d, 200, &last), DUTY_COMMIT_CLAIM);
	last.fence = 12;
	EXPECT_TRUE(duty_on_claimed(&d, 250, 1, &last));
	EXPECT_FALSE(duty_may_call(&d, 250 + LEASE, &last));
	EXPECT_TRUE(duty_may_call(&d, 250 + LEASE + MARGIN, &last));
}

TEST(Duty, FailedClaimIsRepeated)
{
	struct duty d = new_duty(2);
	const struct duty_claim last = { 1, 7 };

	(void)duty_tick(&d, 100, &last);
	EXPECT_FALSE(duty_on_claimed(&d, 200, 1, nullptr));
	EXPECT_EQ(duty_tick(&d, 300, &last), DUTY_COMMIT_CLAIM);
}

namespace
{

/// A call on its way to the cloud.
struct Call {
	uint64_t arrives_us;
	uint32_t holder;
	uint64_t fence;
};

/// Three processes under an election that works as the log's does: a leader has
/// a lease until a voter may elect another one.
struct World {
	static constexpr uint64_t ELECTION = 400 * MS;
	static constexpr int N = 3;
	std::mt19937_64 random;
	uint64_t now = 1000 * MS;
	struct Process {
		struct duty duty;
		uint64_t frozen_until = 0;
		uint64_t cut_until = 0;    ///< no contact with a quorum
		uint64_t connected_at = 0; ///< a call that isn't sent yet
		uint64_t expires_at = 0;
		uint64_t claim_at = 0; ///< when the pending claim is decided
		bool claim_ended = false;
		struct duty_claim claim_result = {}; ///< no holder: it failed
		bool checked = false; ///< a call is about to be made
		uint32_t claim_last = 0;
	} p[N];
	int leader = -1;
	uint64_t lease_until = 0; ///< of the leader
	struct duty_claim committed = {};
	uint64_t index = 1;
	std::deque<Call> arrivals;
	std::vector<Call> seen;
	/// Steps of a holder's work at which processes are frozen.
	enum Step {
		NONE,
		CLAIMING,   ///< the claim is being committed
		COMMITTED,  ///< the claim is committed and not known here yet
		WAITING,    ///< for the end of the lease before
		CHECKED,    ///< a call may be made, and isn't made yet
		CONNECTING, ///< the call is made, and no byte of it is sent
		N_STEPS,
	};
	Step frozen_step = NONE;
	size_t n_frozen = 0;

	explicit World(uint64_t seed) : random(seed)
	{
		for (int i = 0; i < N; i++)
			p[i].duty = new_duty(static_cast<uint32_t>(i) + 1);
	}

	uint64_t below(uint64_t n)
	{
		return random() % n;
	}

	bool up(int i) const
	{
		return now >= p[i].frozen_until && now >= p[i].cut_until;
	}

	void elect()
	{
		if (leader >= 0 && up(leader))
			lease_until = now + ELECTION * 7 / 8;
		if (now < lease_until + ELECTION / 8)
			return;
		const int i = static_cast<int>(below(N));
		if (!up(i))
			return;
		leader = i;
		lease_until = now + ELECTION * 7 / 8;
	}

	void inject()
	{
		Process &q = p[leader >= 0 && below(2) ? leader : below(N)];

		switch (below(6000)) {
		case 0:
			q.frozen_until = now + below(8000 * MS);
			break;
		case 1:
			q.cut_until = now + below(5000 * MS);
			break;
		case 2: // a restart
			q.duty = new_duty(q.duty.config.self);
			q.connected_at = q.claim_at = 0;
			q.claim_ended = q.checked = false;
			q.frozen_until = now + below(1500 * MS);
			break;
		case 3: // the leadership is given away
			leader = static_cast<int>(below(N));
			break;
		default:
			break;
		}
	}

	/// Freezes a process that is at a step, now and then, for up to three
	/// leases, while another one may be elected.
	bool freezes(Process &q, Step step)
	{
		if (step != frozen_step || below(4) != 0)
			return false;
		q.frozen_until = now + 1 + below(3 * LEASE);
		n_frozen++;
		return true;
	}

	/// The process learns how its claim ended.
	void end_claim(Process &q) const
	{
		if (!q.claim_ended)
			return;
		q.claim_ended = false;
		(void)duty_on_claimed(&q.duty, now, q.claim_last,
		    q.claim_result.holder != 0 ? &q.claim_result : nullptr);
	}

	void run_process(int i)
	{
		Process &q = p[i];

		if (now < q.frozen_until)
			return;
		end_claim(q);
		if (i != leader || now >= lease_until) {
			(void)duty_reset(&q.duty);
		} else if (duty_tick(&q.duty, now, &committed) ==
		    DUTY_COMMIT_CLAIM) {
			q.claim_at = now + below(50 * MS);
			q.claim_last = committed.holder;
			if (freezes(q, CLAIMING))
				return;
		}
		if (q.claim_at != 0 && now >= q.claim_at) {
			const bool ok = i == leader && now < lease_until;

			q.claim_at = 0;
			if (ok)
				committed = { q.duty.config.self, ++index };
			q.claim_ended = true;
			q.claim_result = ok ? committed : duty_claim{};
			if (ok && freezes(q, COMMITTED))
				return;
		}
		end_claim(q);
		// What is connected is sent if it hasn't expired; the
		// leadership isn't checked again.
		if (q.connected_at != 0 && now >= q.connected_at) {
			q.connected_at = 0;
			if (now < q.expires_at)
				arrivals.push_back({ now + below(20 * MS),
				    q.duty.config.self, q_fence[i] });
		}
		if (i == leader && now < q.duty.valid_from_us &&
		    freezes(q, WAITING))
			return;
		if (i == leader && now < lease_until && q.connected_at == 0 &&
		    !q.checked && duty_may_call(&q.duty, now, &committed)) {
			q.checked = true;
			q_fence[i] = committed.fence;
			if (freezes(q, CHECKED))
				return;
		}
		if (q.checked) {
			q.checked = false;
			q.connected_at = now + below(3000 * MS) * below(2);
			q.expires_at = q.duty.checked_us +
			    duty_call_timeout_us(&q.duty, 1500 * MS);
			(void)freezes(q, CONNECTING);
		}
	}

	uint64_t q_fence[N] = {};

	void deliver()
	{
		std::sort(arrivals.begin(), arrivals.end(),
		    [](const Call &a, const Call &b) {
			    return a.arrives_us < b.arrives_us;
		    });
		while (
		    !arrivals.empty() && arrivals.front().arrives_us <= now) {
			check(arrivals.front());
			seen.push_back(arrivals.front());
			arrivals.pop_front();
		}
	}

	void check(const Call &c) const
	{
		bool other = false;

		for (auto it = seen.rbegin(); it != seen.rend(); ++it) {
			ASSERT_LE(it->fence, c.fence) << "a lower fence";
			if (it->arrives_us + LEASE < c.arrives_us)
				break;
			other = other || it->holder != c.holder;
			ASSERT_FALSE(other && it->holder == c.holder)
			    << "holders A, B, A within the lease";
		}
	}
};

} // namespace

/// The cloud checks no fencing number. Processes are frozen at any step, cut
/// off, restarted and elected again; a call may connect late.
TEST(Duty, HoldersNeverOverlapWhereTheCloudChecksNothing)
{
	size_t calls = 0;
	size_t changes = 0;

	for (uint64_t seed = 1; seed <= 200; seed++) {
		World w(seed);

		for (int step = 0; step < 60000; step++) {
			w.now += 1 * MS + w.below(2 * MS);
			w.elect();
			w.inject();
			for (int i = 0; i < World::N; i++)
				w.run_process(i);
			w.deliver();
			ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
		}
		calls += w.seen.size();
		for (size_t i = 1; i < w.seen.size(); i++)
			changes += w.seen[i].holder != w.seen[i - 1].holder;
	}
	EXPECT_GT(calls, 10000U);
	EXPECT_GT(changes, 200U);
}

/// A holder stands still at one step of its work, again and again, and others
/// are elected meanwhile; nobody checks the fence. The step between the check
/// and the call is the one where a call would leave late if its time counted
/// from when it is made.
TEST(Duty, HoldersNeverOverlapWhereverOneStandsStill)
{
	for (int step = World::CLAIMING; step < World::N_STEPS; step++) {
		size_t n_frozen = 0;
		size_t changes = 0;

		for (uint64_t seed = 1; seed <= 60; seed++) {
			World w(seed);

			w.frozen_step = static_cast<World::Step>(step);
			for (int n = 0; n < 60000; n++) {
				w.now += 1 * MS + w.below(2 * MS);
				w.elect();
				w.inject();
				for (int i = 0; i < World::N; i++)
					w.run_process(i);
				w.deliver();
				ASSERT_FALSE(HasFatalFailure())
				    << "seed " << seed << " step " << step;
			}
			n_frozen += w.n_frozen;
			for (size_t i = 1; i < w.seen.size(); i++)
				changes +=
				    w.seen[i].holder != w.seen[i - 1].holder;
		}
		EXPECT_GT(n_frozen, 20U) << "step " << step;
		EXPECT_GT(changes, 20U) << "step " << step;
	}
}
