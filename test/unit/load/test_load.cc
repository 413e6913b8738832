#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "load/response.h"
#include "load/expect.h"
#include "load/hist.h"
#include "load/sse.h"
#include "load/trace.h"
}

namespace
{

const char kPrompt[] = "user: how many rolls\n";
const uint32_t kMaxTokens = 8;

struct loadgen_request
item()
{
	struct loadgen_request it = {};

	it.prompt_hash = loadgen_prompt_hash(kPrompt, strlen(kPrompt));
	it.n_tokens = loadgen_expected_tokens(it.prompt_hash, kMaxTokens);
	it.completion = true;
	return it;
}

std::string
chunk(const char *id, uint32_t i)
{
	char token[LOADGEN_TOKEN_BYTES + 1];

	loadgen_token(item().prompt_hash, i, token);
	return std::string("{\"id\":\"") + id +
	    "\",\"choices\":[{\"delta\":{\"content\":\"" + token +
	    "\"},\"finish_reason\":null}]}";
}

std::string
last(const char *id, uint32_t n)
{
	return std::string("{\"id\":\"") + id +
	    "\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
	    "\"usage\":{\"completion_tokens\":" +
	    std::to_string(n) + "}}";
}

std::vector<std::string>
whole()
{
	std::vector<std::string> all;
	const uint32_t n = item().n_tokens;

	for (uint32_t i = 0; i < n; i++)
		all.push_back(chunk("r1", i));
	all.push_back(last("r1", n));
	all.push_back("[DONE]");
	return all;
}

struct loadgen_response
read(const std::vector<std::string> &chunks)
{
	static struct loadgen_request it;
	struct loadgen_response a = {};

	it = item();
	a.item = &it;
	a.check = true;
	for (const std::string &c : chunks)
		loadgen_response_chunk(&a, c.c_str(), c.size());
	return a;
}

} // namespace

TEST(LoadAnswer, AcceptsTheWholeAnswerOnly)
{
	std::vector<std::string> all = whole();
	const struct loadgen_response a = read(all);

	EXPECT_TRUE(a.done);
	EXPECT_FALSE(a.wrong) << a.why;
	all.pop_back();
	EXPECT_FALSE(read(all).done);
}

TEST(LoadAnswer, FindsRepeatedCrossedMissingAndShort)
{
	const std::vector<std::string> good = whole();
	std::vector<std::string> repeated = good;
	std::vector<std::string> crossed = good;
	std::vector<std::string> missing = good;
	std::vector<std::string> shorter = good;

	repeated.insert(repeated.begin() + 2, good[1]);
	crossed.insert(crossed.begin() + 2, chunk("r2", 2));
	missing.erase(missing.begin() + 1);
	shorter.erase(shorter.end() - 3);
	EXPECT_TRUE(read(repeated).wrong);
	EXPECT_TRUE(read(crossed).wrong);
	EXPECT_TRUE(read(missing).wrong);
	EXPECT_TRUE(read(shorter).wrong);
}

TEST(LoadAnswer, KeepsTheVerdictOfAnError)
{
	const struct loadgen_response a =
	    read({ "{\"error\":{\"message\":\"no runner\",\"verdict\":\"not "
		   "run\",\"resume_token\":\"t1\"}}" });

	EXPECT_TRUE(a.error);
	EXPECT_STREQ(a.verdict, "not run");
	EXPECT_STREQ(a.resume_token, "t1");
}

TEST(LoadSse, SplitsAtAnyByte)
{
	const std::string text = "data: {\"a\":1}\r\n\r\ndata: [DONE]\n\n";

	for (size_t cut = 0; cut <= text.size(); cut++) {
		std::vector<std::string> got;
		struct loadgen_sse *s = loadgen_sse_new(
		    [](void *arg, const char *data, size_t len) {
			    static_cast<std::vector<std::string> *>(arg)
				->emplace_back(data, len);
		    },
		    &got);

		loadgen_sse_feed(s, (const uint8_t *)text.data(), cut);
		loadgen_sse_feed(
		    s, (const uint8_t *)text.data() + cut, text.size() - cut);
		EXPECT_EQ(
		    got, (std::vector<std::string>{ "{\"a\":1}", "[DONE]" }));
		loadgen_sse_free(s);
	}
}

TEST(LoadHist, QuantilesWithinASixtyFourth)
{
	struct loadgen_hist *h = loadgen_hist_new();

	for (uint64_t v = 1; v <= 100000; v++)
		loadgen_hist_add(h, v);
	for (double q : { 0.01, 0.5, 0.95, 0.99, 1.0 }) {
		const double exact = q * 100000;
		const double got = (double)loadgen_hist_quantile(h, q);

		EXPECT_GE(got, exact - 1);
		EXPECT_LE(got, exact * (1 + 1.0 / 64) + 1);
	}
	loadgen_hist_free(h);
}

TEST(LoadTrace, EqualSeedsGiveEqualTraces)
{
	struct loadgen_trace_settings s = {};

	s.seed = 7;
	s.rate_per_s = 50;
	s.duration_s = 4;
	s.n_histories = 2;
	s.history_bytes = 1000;
	s.token_permille = 1000;
	s.customers = "depot,planners";
	s.model = "";
	ASSERT_EQ(
	    loadgen_mix_parse("chat=3,dossier=1,booking=1", s.mix), STATUS_OK);
	struct loadgen_trace *a = loadgen_trace_new(&s);
	struct loadgen_trace *b = loadgen_trace_new(&s);
	ASSERT_EQ(a->n, b->n);
	ASSERT_GT(a->n, 100U);
	for (size_t i = 0; i < a->n; i++) {
		EXPECT_STREQ(a->items[i].body, b->items[i].body);
		EXPECT_EQ(a->items[i].at_us, b->items[i].at_us);
		EXPECT_EQ(a->items[i].key != nullptr,
		    a->items[i].kind == LOADGEN_BOOKING);
	}
	EXPECT_LT(a->uncacheable_tokens, a->prompt_tokens);
	loadgen_trace_free(a);
	loadgen_trace_free(b);
	EXPECT_NE(loadgen_mix_parse("chat", s.mix), STATUS_OK);
	EXPECT_NE(loadgen_mix_parse("tea=1", s.mix), STATUS_OK);
}
