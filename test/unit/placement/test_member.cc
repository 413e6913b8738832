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
inputs_of(std::initializer_list<struct member_info> members)
{
	struct member_inputs in = {};

	in.self = 1;
	in.want_voters = 3;
	for (const auto &m : members)
		in.members[in.n++] = m;
	return in;
}

void
expect(
    const struct member_inputs &in, enum member_change_kind kind, uint32_t id)
{
	const struct member_change s = member_next_change(&in);

	EXPECT_EQ(s.kind, kind);
	EXPECT_EQ(s.id, id);
}

TEST(Members, NothingToDo)
{
	expect(inputs_of({ voter(1, 0), voter(2, 1), voter(3, 2) }),
	    MEMBER_NOTHING, 0);
}

TEST(Members, LearnerReplacesADrainingVoterBeforeItIsRemoved)
{
	auto in =
	    inputs_of({ voter(1, 0), voter(2, 1), voter(3, 2), learner(4, 0) });

	in.members[1].draining = true;
	expect(in, MEMBER_PROMOTE, 4);
	in.members[3].kind = MEMBER_VOTER;
	expect(in, MEMBER_REMOVE, 2);
}

TEST(Members, DrainingLeaderTransfersLeadershipFirst)
{
	auto in =
	    inputs_of({ voter(1, 0), voter(2, 1), voter(3, 2), voter(4, 1) });

	in.members[0].draining = true;
	expect(in, MEMBER_TRANSFER, 0);
}

TEST(Members, DrainingVoterIsRemovedWithoutALearnerButTwoStay)
{
	auto in = inputs_of({ voter(1, 0), voter(2, 1), voter(3, 2) });

	in.members[1].draining = true;
	expect(in, MEMBER_REMOVE, 2);
	auto two = inputs_of({ voter(1, 0), voter(3, 2) });
	two.members[1].draining = true;
	expect(two, MEMBER_NOTHING, 0);
}

TEST(Members, LostVoterIsReplacedButNotRemovedWithoutALearner)
{
	auto in = inputs_of({ voter(1, 0), voter(2, 1), voter(3, 2) });

	in.members[2].active = false;
	expect(in, MEMBER_NOTHING, 0);
	auto with =
	    inputs_of({ voter(1, 0), voter(2, 1), voter(3, 2), learner(4, 1) });
	with.members[2].active = false;
	expect(with, MEMBER_PROMOTE, 4);
}

TEST(Members, VotersThatShareADataCentreAreSpread)
{
	auto in =
	    inputs_of({ voter(1, 0), voter(2, 1), voter(3, 1), learner(4, 2) });

	expect(in, MEMBER_PROMOTE, 4);
	in.members[3].kind = MEMBER_VOTER;
	EXPECT_EQ(member_next_change(&in).kind, MEMBER_REMOVE);
	EXPECT_NE(member_next_change(&in).id, 1U);
	EXPECT_NE(member_next_change(&in).id, 4U);
}

TEST(Members, TwoDataCentresGetTwoVotersEach)
{
	auto in = inputs_of({ voter(1, 0), voter(2, 1), voter(3, 2),
	    learner(4, 0), learner(5, 1) });

	in.members[2].draining = true;
	expect(in, MEMBER_PROMOTE, 4);
	in.members[3].kind = MEMBER_VOTER;
	expect(in, MEMBER_PROMOTE, 5);
	in.members[4].kind = MEMBER_VOTER;
	expect(in, MEMBER_REMOVE, 3);
	auto four =
	    inputs_of({ voter(1, 0), voter(2, 1), voter(4, 0), voter(5, 1) });
	expect(four, MEMBER_NOTHING, 0);
	four.members[four.n++] = learner(6, 2);
	expect(four, MEMBER_PROMOTE, 6);
	four.members[4].kind = MEMBER_VOTER;
	EXPECT_EQ(member_next_change(&four).kind, MEMBER_REMOVE);
}

TEST(Members, UnsyncedLearnerIsNotPromotedAndJoinersAreAdded)
{
	auto in =
	    inputs_of({ voter(1, 0), voter(2, 1), voter(3, 2), learner(4, 0) });

	in.members[1].draining = true;
	in.members[3].synced = false;
	expect(in, MEMBER_REMOVE, 2);
	auto j = inputs_of({ voter(1, 0), voter(2, 1), voter(3, 2) });
	j.members[j.n++] = { 5, MEMBER_JOINER, 1, false, true, false };
	expect(j, MEMBER_ADD, 5);
}

} // namespace
