#include <gtest/gtest.h>

extern "C" {
#include "base/rnd.h"
#include "route/balancer.h"
#include "route/prefix_index.h"
}

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

static constexpr uint64_t second_us = 1000000;

class Balancer : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		balancer_set_data_centre(r, "csepel", 0, false);
		balancer_set_data_centre(r, "kelenfold", 500, false);
	}

	void TearDown() override
	{
		balancer_free(r);
		rnd_free(rnd);
	}

	handle_t add(const std::string &name,
	    const char *data_centre = "csepel", uint64_t incarnation = 1)
	{
		struct balancer_server_conf s = {};

		std::snprintf(s.name, sizeof(s.name), "%s", name.c_str());
		std::snprintf(s.pool, sizeof(s.pool), "desk");
		std::snprintf(
		    s.data_centre, sizeof(s.data_centre), "%s", data_centre);
		s.kind = BALANCER_RUNNER;
		s.incarnation = incarnation;
		return balancer_set_server(r, now, &s);
	}

	struct balancer_request request_for(const std::vector<uint64_t> &blocks)
	{
		struct balancer_request a = {};

		a.pool = "desk";
		a.blocks = blocks.data();
		a.n_blocks = blocks.size();
		a.prompt_tokens = (uint32_t)blocks.size() * 16;
		return a;
	}

	struct balancer_choice choose(const struct balancer_request &a)
	{
		struct balancer_choice c = {};

		EXPECT_EQ(balancer_choose(r, now, rnd, &a, &c), STATUS_OK);
		return c;
	}

	/// Sends one request; it fails if it goes to the server `failing`.
	struct balancer_choice serve(const struct balancer_request &a,
	    handle_t failing, uint64_t ttft_us = 50000)
	{
		const struct balancer_choice c = choose(a);
		const handle_t d = balancer_begin(r, now, &a, &c);

		now += ttft_us;
		if (c.server == failing) {
			balancer_end(r, now, d, BALANCER_FAILED, 0, UINT32_MAX);
			return c;
		}
		balancer_first_token(r, now, d);
		balancer_end(r, now, d, BALANCER_DONE, 10, UINT32_MAX);
		return c;
	}

	struct balancer *r = balancer_new(&balancer_defaults);
	struct rnd *rnd = rnd_new(1);
	uint64_t now = second_us;
};

static std::vector<uint64_t>
prompt(const std::string &text)
{
	std::vector<uint64_t> blocks(text.size() / BALANCER_BLOCK_BYTES);

	blocks.resize(balancer_hash_prompt(
	    text.data(), text.size(), blocks.data(), blocks.size()));
	return blocks;
}

TEST(PromptHash, BlocksAreChained)
{
	const auto a = prompt(std::string(300, 'a'));
	const auto b = prompt(std::string(64, 'b') + std::string(236, 'a'));

	ASSERT_EQ(a.size(), 4U);
	EXPECT_NE(a[1], a[2]);
	EXPECT_NE(a[3], b[3]);
	EXPECT_EQ(a[0], prompt(std::string(64, 'a'))[0]);
}

TEST(PrefixIndex, MatchesPrefixesWithFewHoles)
{
	struct prefix_index *c = prefix_index_new(64);
	const std::vector<uint64_t> blocks = { 11, 12, 13, 14 };
	struct prefix_match m[3];

	for (const uint64_t b : blocks)
		prefix_index_add(c, 0, b, 0);
	prefix_index_add(c, 1, 11, 0);
	prefix_index_add(c, 1, 13, 0);
	EXPECT_EQ(prefix_index_match(c, blocks.data(), 4, m, 3), 4U);
	EXPECT_EQ(m[0].blocks, 4U);
	EXPECT_EQ(m[1].blocks, 1U);
	EXPECT_EQ(m[2].blocks, 0U);
	prefix_index_remove(c, 0, 12);
	(void)prefix_index_match(c, blocks.data(), 4, m, 3);
	EXPECT_EQ(m[0].blocks, 4U);
	prefix_index_remove(c, 0, 14);
	(void)prefix_index_match(c, blocks.data(), 4, m, 3);
	EXPECT_EQ(m[0].blocks, 1U);
	prefix_index_free(c);
}

TEST(PrefixIndex, StaysWithinItsSizeAndRemovesServers)
{
	struct prefix_index *c = prefix_index_new(100);
	uint64_t total = 0;

	for (uint64_t i = 1; i <= 1000; i++)
		prefix_index_add(c, i % 3, i * 0x9e3779b97f4a7c15ULL, 0);
	for (uint32_t s = 0; s < 3; s++)
		total += prefix_index_count(c, s);
	EXPECT_EQ(total, 100U);
	prefix_index_remove_server(c, 1);
	EXPECT_EQ(prefix_index_count(c, 1), 0U);
	EXPECT_GT(prefix_index_count(c, 0), 0U);
	prefix_index_free(c);
}

TEST_F(Balancer, CachedPrefixAttractsRequestsUpToTheLoadBound)
{
	const auto blocks = prompt(std::string(64000, 'q'));
	const struct balancer_request a = request_for(blocks);
	std::map<handle_t, int> used;

	for (int i = 0; i < 4; i++)
		add("r" + std::to_string(i));
	const struct balancer_choice first = serve(a, HANDLE_NONE);
	const struct balancer_choice second = serve(a, HANDLE_NONE);
	EXPECT_EQ(first.cached_tokens, 0U);
	EXPECT_EQ(second.server, first.server);
	EXPECT_GT(second.cached_tokens, a.prompt_tokens * 9 / 10);
	for (int i = 0; i < 40; i++) {
		const struct balancer_choice c = choose(a);

		(void)balancer_begin(r, now, &a, &c);
		used[c.server]++;
		const double mean = (i + 1) / 4.0;
		EXPECT_LE(used[c.server],
		    std::max(mean * balancer_defaults.load_bound,
			mean + balancer_defaults.load_slack));
	}
}

TEST_F(Balancer, OwnDispatchesSinceAReportAddToItsLoad)
{
	const handle_t a = add("a");
	const handle_t b = add("b");
	const std::vector<uint64_t> none;
	struct balancer_request request = request_for(none);
	struct balancer_report report = {};
	struct balancer_choice to_a = {};
	struct balancer_server_stats stats;

	report.sequence = 1;
	report.running = 1;
	to_a.server = a;
	to_a.recompute_tokens = 1000;
	const handle_t d = balancer_begin(r, now, &request, &to_a);
	now += second_us / 10;
	(void)balancer_begin(r, now, &request, &to_a);
	now += second_us / 2;
	report.age_us = 550000;
	balancer_record_report(r, now, a, &report);
	ASSERT_TRUE(balancer_server_stats(r, now, a, &stats));
	EXPECT_EQ(stats.load, 2);
	balancer_end(r, now, d, BALANCER_CANCELLED, 0, UINT32_MAX);
	ASSERT_TRUE(balancer_server_stats(r, now, a, &stats));
	EXPECT_EQ(stats.load, 1);
	request.prompt_tokens = 100;
	EXPECT_EQ(choose(request).server, b);
}

TEST_F(Balancer, LostEventsAgeThePrefixIndex)
{
	const auto blocks = prompt(std::string(6400, 'g'));
	const struct balancer_request a = request_for(blocks);

	add("r0");
	struct balancer_report report = {};
	const struct balancer_choice c = serve(a, HANDLE_NONE);
	report.kv_total_tokens = 16000;
	balancer_record_report(r, now, c.server, &report);
	const uint32_t before = choose(a).cached_tokens;
	/* Half of them count as evictions: 693 of 1000 blocks, that is a
	 * staleness of ln 2. */
	balancer_events_lost(r, now, c.server, 1386);
	const uint32_t after = choose(a).cached_tokens;
	EXPECT_NEAR(after, before / 2, before / 20);
	for (int i = 0; i < 20; i++)
		balancer_events_lost(r, now, c.server, 0);
	EXPECT_LT(choose(a).cached_tokens, after / 2);
}

TEST_F(Balancer, DrainingIsFinalForAnIncarnation)
{
	const std::vector<uint64_t> none;
	const struct balancer_request a = request_for(none);
	const handle_t h = add("r0");
	const struct balancer_report live = {};
	struct balancer_choice c;
	uint64_t since;

	balancer_set_draining(r, 5, h, BALANCER_BY_SERVER);
	balancer_set_draining(r, 9, h, BALANCER_BY_NOTICE);
	balancer_record_report(r, now, h, &live);
	add("r0");
	ASSERT_TRUE(balancer_is_draining(r, h, &since));
	EXPECT_EQ(since, 5U);
	EXPECT_EQ(balancer_choose(r, now, rnd, &a, &c), STATUS_UNAVAILABLE);
	const handle_t next = add("r0", "csepel", 2);
	EXPECT_EQ(choose(a).server, next);
	balancer_reclaim_dc(r, now, "csepel");
	EXPECT_EQ(balancer_choose(r, now, rnd, &a, &c), STATUS_UNAVAILABLE);
}

TEST_F(Balancer, OutlierIsEjectedAndReinstatedByProbes)
{
	const std::vector<uint64_t> none;
	struct balancer_request a = request_for(none);
	std::vector<handle_t> all;
	struct balancer_server_stats stats;
	int hits = 0;

	a.prompt_tokens = 100;
	for (int i = 0; i < 4; i++)
		all.push_back(add("r" + std::to_string(i)));
	for (int i = 0; i < 200; i++)
		(void)serve(a, all[1], 1000);
	ASSERT_TRUE(balancer_server_stats(r, now, all[1], &stats));
	EXPECT_TRUE(stats.ejected);
	for (int i = 0; i < 100; i++)
		hits += serve(a, all[1], 1000).server == all[1];
	EXPECT_EQ(hits, 0);
	now += 10 * second_us;
	for (int i = 0; i < 20; i++)
		(void)serve(a, HANDLE_NONE, 1000);
	ASSERT_TRUE(balancer_server_stats(r, now, all[1], &stats));
	EXPECT_FALSE(stats.ejected);
}

TEST_F(Balancer, VersionsAndExclusionsAreRespected)
{
	const std::vector<uint64_t> none;
	struct balancer_request a = request_for(none);
	struct balancer_server_conf s = *balancer_get(r, add("r0"));
	struct balancer_choice c;

	s.n_versions = 1;
	std::snprintf(s.versions[0], sizeof(s.versions[0]), "v1");
	const handle_t h = balancer_set_server(r, now, &s);
	a.version = "v2";
	EXPECT_EQ(balancer_choose(r, now, rnd, &a, &c), STATUS_NOT_FOUND);
	a.version = "v1";
	EXPECT_EQ(choose(a).server, h);
	a.servers[a.n_servers++] = h;
	EXPECT_EQ(balancer_choose(r, now, rnd, &a, &c), STATUS_UNAVAILABLE);
}

TEST(Subset, ChangesByOneMember)
{
	std::vector<std::string> names;
	std::vector<const char *> all;
	size_t before[20], after[20];
	std::set<size_t> kept;

	for (int i = 0; i < 200; i++)
		names.push_back("runner-" + std::to_string(i));
	for (const auto &n : names)
		all.push_back(n.c_str());
	ASSERT_EQ(balancer_subset("entry-1", all.data(), 200, 20, before), 20U);
	ASSERT_EQ(balancer_subset("entry-1", all.data(), 199, 20, after), 20U);
	kept.insert(before, before + 20);
	int changed = 0;
	for (const size_t i : after)
		changed += kept.count(i) == 0;
	EXPECT_LE(changed, 1);
}

TEST_F(Balancer, AVersionCanBeExcluded)
{
	const std::vector<uint64_t> blocks = { 1, 2 };
	struct balancer_request a = request_for(blocks);
	struct balancer_server_conf s = {};
	struct balancer_choice c;

	std::snprintf(s.pool, sizeof(s.pool), "desk");
	std::snprintf(s.data_centre, sizeof(s.data_centre), "csepel");
	s.n_versions = 1;
	for (const char *v : { "v1", "v2" }) {
		std::snprintf(s.name, sizeof(s.name), "server-%s", v);
		std::snprintf(s.versions[0], sizeof(s.versions[0]), "%s", v);
		(void)balancer_set_server(r, now, &s);
	}
	a.not_version = "v1";
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(choose(a).server, balancer_find(r, "server-v2"));
	a.servers[a.n_servers++] = balancer_find(r, "server-v2");
	EXPECT_EQ(balancer_choose(r, now, rnd, &a, &c), STATUS_UNAVAILABLE);
}

TEST_F(Balancer, EntriesSendASharedPrefixToTheSameServer)
{
	struct balancer *other = balancer_new(&balancer_defaults);
	struct balancer *mine = r;
	std::map<uint64_t, std::string> first;
	int same = 0;

	balancer_set_data_centre(other, "csepel", 0, false);
	for (struct balancer *balancer : { mine, other }) {
		r = balancer;
		for (int i = 0; i < 9; i++)
			add("runner-" + std::to_string(i));
	}
	for (uint64_t subject = 1; subject <= 72; subject++) {
		const std::vector<uint64_t> blocks(60, subject * 1000);
		std::string names[2];
		int i = 0;

		for (struct balancer *balancer : { mine, other }) {
			struct balancer_request a = request_for(blocks);
			struct balancer_choice c;

			r = balancer;
			a.prompt_tokens = 9000;
			a.shared_hash = subject * 0x9e3779b97f4a7c15ULL;
			a.shared_tokens = 6000;
			c = choose(a);
			(void)balancer_begin(balancer, now, &a, &c);
			names[i++] = balancer_get(balancer, c.server)->name;
		}
		same += names[0] == names[1];
	}
	r = mine;
	balancer_free(other);
	EXPECT_GE(same, 60);
}

TEST_F(Balancer, NewTokensAgeThePrefixIndex)
{
	std::vector<uint64_t> blocks(10);
	struct balancer_server_conf s = {};
	struct balancer_request a;
	uint32_t before;

	std::snprintf(s.name, sizeof(s.name), "small");
	std::snprintf(s.pool, sizeof(s.pool), "desk");
	std::snprintf(s.data_centre, sizeof(s.data_centre), "csepel");
	s.kind = BALANCER_RUNNER;
	s.kv_tokens = 20000;
	(void)balancer_set_server(r, now, &s);
	balancer_set_entries(r, 2);
	for (size_t i = 0; i < blocks.size(); i++)
		blocks[i] = 100 + i;
	a = request_for(blocks);
	a.prompt_tokens = 1000;
	(void)serve(a, HANDLE_NONE);
	before = choose(a).cached_tokens;
	EXPECT_GT(before, 900U);
	for (uint64_t i = 0; i < 10; i++) {
		const std::vector<uint64_t> one = { 5000 + i };
		struct balancer_request b = request_for(one);

		b.prompt_tokens = 2000;
		(void)serve(b, HANDLE_NONE);
	}
	EXPECT_LT(choose(a).cached_tokens, before / 2);
}

/// A request whose shared parts have more tokens than its prompt made the cost
/// of the preferred server negative; no server was within the tolerance of it,
/// and the process ended.
TEST_F(Balancer, SharedPartsLongerThanThePrompt)
{
	const std::vector<uint64_t> blocks = { 1, 2, 3 };

	for (int i = 0; i < 4; i++)
		add("s" + std::to_string(i));
	for (const uint32_t prompt_tokens : { 0U, 1U, 100U, UINT32_MAX }) {
		for (const uint32_t shared : { 6300U, UINT32_MAX }) {
			struct balancer_request a = request_for(blocks);

			a.shared_hash = 7;
			a.shared_tokens = shared;
			a.prompt_tokens = prompt_tokens;
			for (int i = 0; i < 3; i++) {
				const struct balancer_choice c = choose(a);

				EXPECT_LE(c.cached_tokens, prompt_tokens);
				(void)balancer_begin(r, now, &a, &c);
			}
		}
	}
}
