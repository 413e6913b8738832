#include <gtest/gtest.h>

extern "C" {
#include "fleet/crashlog.h"
}

#include <cstring>
#include <random>
#include <vector>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t S = 1000 * MS;
constexpr const char *SERVICE = "llm";

struct crashlog_part
part_of(uint64_t id, const char *service = SERVICE)
{
	struct crashlog_part p = {};

	(void)g_strlcpy(p.service, service, sizeof(p.service));
	p.id = id;
	return p;
}

class CrashLog : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		c = crashlog_new();
	}

	void TearDown() override
	{
		crashlog_free(c);
	}

	/// A server crashes with the parts of one prompt in flight.
	void Crash(uint64_t at_us, const char *server,
	    const std::vector<uint64_t> &parts, const char *service = SERVICE)
	{
		GArray *a =
		    g_array_new(FALSE, TRUE, sizeof(struct crashlog_in_flight));

		for (size_t i = 0; i < parts.size(); i++) {
			struct crashlog_in_flight p = {};

			p.id = parts[i];
			p.position = static_cast<uint32_t>(i);
			g_array_append_val(a, p);
		}
		crashlog_add(c, at_us, server, service, a);
		g_array_unref(a);
	}

	void Answer(uint64_t at_us, uint64_t part)
	{
		const struct crashlog_part p = part_of(part);

		crashlog_on_answered(c, &p, at_us);
		crashlog_on_service_answered(c, SERVICE, at_us);
	}

	std::vector<struct crashlog_suspect> Suspects(uint32_t min_separate)
	{
		GArray *a = crashlog_suspects(c, min_separate);
		std::vector<struct crashlog_suspect> out;

		for (guint i = 0; i < a->len; i++)
			out.push_back(
			    g_array_index(a, struct crashlog_suspect, i));
		g_array_unref(a);
		return out;
	}

	struct crashlog *c = nullptr;
};

TEST_F(CrashLog, APartThatIsNeverAnsweredIsSuspectedAndAnAnsweredOneIsNot)
{
	Crash(1 * S, "a", { 1, 13 });
	Crash(2 * S, "b", { 1, 13 });
	Crash(3 * S, "c", { 1, 13, 5 });
	Answer(4 * S, 1);
	const auto all = Suspects(3);

	ASSERT_EQ(all.size(), 1U);
	EXPECT_EQ(all[0].part.id, 13U);
	EXPECT_STREQ(all[0].part.service, SERVICE);
	EXPECT_EQ(all[0].n_crashes, 3U);
	EXPECT_TRUE(all[0].service_answers);
}

TEST_F(CrashLog, AnAnswerClearsEarlierCrashesOnly)
{
	Crash(1 * S, "a", { 13 });
	Crash(2 * S, "b", { 13 });
	Answer(2500 * MS, 13);
	Crash(3 * S, "c", { 13 });
	EXPECT_TRUE(Suspects(2).empty());
	ASSERT_EQ(Suspects(1).size(), 1U);
	EXPECT_EQ(Suspects(1)[0].n_crashes, 1U);
}

// Guards against a part that is sound but rare being blocked in place of the
// one that is to blame when both are in flight at the same crashes.
TEST_F(CrashLog, TheSuspectInMostCrashesComesFirstThenTheOneLongestUnanswered)
{
	Answer(100 * MS, 1);
	for (uint64_t i = 1; i <= 3; i++)
		Crash(i * S, "a", { 1, 13, 5 });
	Crash(4 * S, "b", { 1, 13 });
	const auto all = Suspects(3);

	ASSERT_EQ(all.size(), 3U);
	EXPECT_EQ(all[0].part.id, 13U);
	EXPECT_EQ(all[1].part.id, 1U);
	EXPECT_EQ(all[1].answered_us, 100 * MS);
	EXPECT_EQ(all[2].part.id, 5U);
}

TEST_F(CrashLog, AmongEqualSuspectsTheOneLaterInThePromptComesFirst)
{
	for (uint64_t i = 1; i <= 3; i++)
		Crash(i * S, "a", { 99, 7 });
	EXPECT_EQ(Suspects(3)[0].part.id, 7U);
}

// Guards against the parts that many servers had in flight by chance being
// blamed for the loss of a data centre.
TEST_F(CrashLog, APartIsSuspectedOnlyIfAllServersThatCrashTogetherHadIt)
{
	for (uint64_t i = 1; i <= 5; i++) {
		for (uint64_t server = 0; server < 18; server++)
			Crash(i * S + server * MS,
			    std::to_string(server).c_str(),
			    { server % 3, 100 + server });
	}
	EXPECT_TRUE(Suspects(1).empty());
	for (uint64_t i = 6; i <= 8; i++) {
		Crash(i * S, "a", { 1, 13 });
		Crash(i * S + 30 * MS, "b", { 2, 13 });
	}
	ASSERT_EQ(Suspects(3).size(), 1U);
	EXPECT_EQ(Suspects(3)[0].part.id, 13U);
	EXPECT_EQ(Suspects(3)[0].n_crashes, 6U);
}

TEST_F(CrashLog, CrashesAtTheSameMomentCountAsOne)
{
	for (const char *server : { "a", "b", "c", "d" })
		Crash(1 * S, server, { 13 });
	Crash(1200 * MS, "e", { 13 });
	ASSERT_EQ(Suspects(1).size(), 1U);
	EXPECT_EQ(Suspects(1)[0].n_crashes, 5U);
	EXPECT_EQ(Suspects(1)[0].n_separate, 1U);
	Crash(1500 * MS, "f", { 13 });
	EXPECT_EQ(Suspects(1)[0].n_separate, 2U);
}

TEST_F(CrashLog, ReportsOfOneCrashAreMergedInAnyOrder)
{
	Crash(1100 * MS, "a", { 1 });
	Crash(1 * S, "a", { 13 });
	Crash(1 * S, "a", { 13 });
	EXPECT_EQ(crashlog_count(c), 1U);
	for (const auto &p : Suspects(1))
		EXPECT_EQ(p.n_crashes, 1U);
	Crash(1600 * MS, "a", { 13 });
	EXPECT_EQ(crashlog_count(c), 2U);
}

TEST_F(CrashLog, CrashesThatAPartIsToBlameForAreNoEvidenceAgainstOthers)
{
	const struct crashlog_part blamed = part_of(13);

	Crash(1 * S, "a", { 5, 13 });
	Crash(2 * S, "b", { 5, 13 });
	Crash(3 * S, "c", { 5 });
	crashlog_explain(c, &blamed);
	ASSERT_EQ(Suspects(1).size(), 1U);
	EXPECT_EQ(Suspects(1)[0].part.id, 5U);
	EXPECT_EQ(Suspects(1)[0].n_crashes, 1U);
}

TEST_F(CrashLog, WhileAServiceAnswersNothingItSaysSo)
{
	crashlog_on_service_answered(c, SERVICE, 500 * MS);
	for (uint64_t i = 1; i <= 3; i++)
		Crash(i * S, "a", { 1, 13 });
	for (const auto &p : Suspects(3))
		EXPECT_FALSE(p.service_answers);
	crashlog_on_service_answered(c, "other", 4 * S);
	EXPECT_FALSE(Suspects(3)[0].service_answers);
	crashlog_on_service_answered(c, SERVICE, 1500 * MS);
	EXPECT_TRUE(Suspects(3)[0].service_answers);
}

TEST_F(CrashLog, ServicesHaveTheirOwnParts)
{
	Crash(1 * S, "a", { 13 });
	Crash(2 * S, "b", { 13 }, "other");
	EXPECT_EQ(Suspects(1).size(), 2U);
	EXPECT_TRUE(Suspects(2).empty());
}

TEST_F(CrashLog, OldCrashesAreDroppedAndTheirNumberIsBounded)
{
	Crash(1 * S, "a", { 13 });
	Crash(700 * S, "b", { 13 });
	EXPECT_EQ(crashlog_count(c), 1U);
	for (uint64_t i = 0; i < 1000; i++)
		Crash((701 + i / 10) * S + i % 10 * 50 * MS,
		    std::to_string(i).c_str(), { i });
	EXPECT_LE(crashlog_count(c), 257U);
}

// Guards against sound parts being blamed, over random traffic: one part in
// the prompts crashes each server that begins to answer; the others are
// answered unless the server crashes first.
TEST_F(CrashLog, ThePartToBlameIsTheFirstSuspectOverManySeeds)
{
	for (uint64_t seed = 1; seed <= 200; seed++) {
		std::mt19937_64 rng(seed);
		uint64_t now = 1 * S;
		std::vector<struct crashlog_suspect> found;

		crashlog_reset(c);
		// Prompts of 2 common, 200 rare parts; one in 20 is to blame.
		while (found.empty() && now < 60 * S) {
			const uint64_t common = 1 + rng() % 2;
			const uint64_t rare = 100 + rng() % 200;

			now += 20 * MS;
			if (rng() % 20 != 0) {
				Answer(now, common);
				Answer(now, rare);
				continue;
			}
			Crash(now, std::to_string(rng() % 18).c_str(),
			    { common, 13, rare, 100 + rng() % 200 });
			found = Suspects(3);
		}
		ASSERT_FALSE(found.empty()) << "seed " << seed;
		EXPECT_EQ(found[0].part.id, 13U) << "seed " << seed;
	}
}

} // namespace
