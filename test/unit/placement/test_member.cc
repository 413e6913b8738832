#include <gtest/gtest.h>

extern "C" {
#include "placement/member.h"
}

#include <initializer_list>

namespace
{

struct member_info
voter(uint32_t id, uint32_t data_centre)
{
	return { id, MEMBER_VOTER, data_centre, false, true, true };
}

struct member_info
learner(uint32_t id, uint32_t data_centre)
{
	return { id, MEMBER_LEARNER, data_centre, false, true, true };
}

struct member_inputs
world(std::initializer_list<struct member_info> members)
{
	struct member_inputs w = {};

	w.self = 1;
	w.want_voters = 3;
	for (const auto &m : members)
		w.members[w.n++] = m;
	return w;
}

void
expect(const struct member_inputs &w, enum member_change_kind kind, uint32_t id)
{
	const struct member_change s = member_next_change(&w);

	EXPECT_EQ(s.kind, kind);
	EXPECT_EQ(s.id, id);
}

TEST(Members, NothingToDo)
{
	expect(world({ voter(1, 0), voter(2, 1), voter(3, 2) }), MEMBER_NOTHING,
	    0);
}

TEST(Members, StandbyReplacesALeavingVoterBeforeItIsRemoved)
{
	auto w =
	    world({ voter(1, 0), voter(2, 1), voter(3, 2), learner(4, 0) });

	w.members[1].draining = true;
	expect(w, MEMBER_PROMOTE, 4);
	w.members[3].kind = MEMBER_VOTER;
	expect(w, MEMBER_REMOVE, 2);
}

TEST(Members, LeaderThatLeavesHandsOverFirst)
{
	auto w = world({ voter(1, 0), voter(2, 1), voter(3, 2), voter(4, 1) });

	w.members[0].draining = true;
	expect(w, MEMBER_TRANSFER, 0);
}

TEST(Members, WithoutStandbyALeavingVoterGoesButTwoStay)
{
	auto w = world({ voter(1, 0), voter(2, 1), voter(3, 2) });

	w.members[1].draining = true;
	expect(w, MEMBER_REMOVE, 2);
	auto two = world({ voter(1, 0), voter(3, 2) });
	two.members[1].draining = true;
	expect(two, MEMBER_NOTHING, 0);
}

TEST(Members, LostVoterIsReplacedButNeverShrunkAway)
{
	auto w = world({ voter(1, 0), voter(2, 1), voter(3, 2) });

	w.members[2].active = false;
	expect(w, MEMBER_NOTHING, 0);
	auto with =
	    world({ voter(1, 0), voter(2, 1), voter(3, 2), learner(4, 1) });
	with.members[2].active = false;
	expect(with, MEMBER_PROMOTE, 4);
}

TEST(Members, VotersAreSpreadAgain)
{
	auto w =
	    world({ voter(1, 0), voter(2, 1), voter(3, 1), learner(4, 2) });

	expect(w, MEMBER_PROMOTE, 4);
	w.members[3].kind = MEMBER_VOTER;
	EXPECT_EQ(member_next_change(&w).kind, MEMBER_REMOVE);
	EXPECT_NE(member_next_change(&w).id, 1U);
	EXPECT_NE(member_next_change(&w).id, 4U);
}

TEST(Members, InTwoDataCentresTwoAndTwoVote)
{
	auto w = world({ voter(1, 0), voter(2, 1), voter(3, 2), learner(4, 0),
	    learner(5, 1) });

	w.members[2].draining = true;
	expect(w, MEMBER_PROMOTE, 4);
	w.members[3].kind = MEMBER_VOTER;
	expect(w, MEMBER_PROMOTE, 5);
	w.members[4].kind = MEMBER_VOTER;
	expect(w, MEMBER_REMOVE, 3);
	auto four =
	    world({ voter(1, 0), voter(2, 1), voter(4, 0), voter(5, 1) });
	expect(four, MEMBER_NOTHING, 0);
	four.members[four.n++] = learner(6, 2);
	expect(four, MEMBER_PROMOTE, 6);
	four.members[4].kind = MEMBER_VOTER;
	EXPECT_EQ(member_next_change(&four).kind, MEMBER_REMOVE);
}

TEST(Members, UnsyncedLearnerIsNotPromotedAndJoinersAreAdded)
{
	auto w =
	    world({ voter(1, 0), voter(2, 1), voter(3, 2), learner(4, 0) });

	w.members[1].draining = true;
	w.members[3].synced = false;
	expect(w, MEMBER_REMOVE, 2);
	auto j = world({ voter(1, 0), voter(2, 1), voter(3, 2) });
	j.members[j.n++] = { 5, MEMBER_JOINER, 1, false, true, false };
	expect(j, MEMBER_ADD, 5);
}

} // namespace
