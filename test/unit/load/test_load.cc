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
make_request()
{
	struct loadgen_request it = {};

	it.prompt_hash = loadgen_prompt_hash(kPrompt, strlen(kPrompt));
	it.n_tokens = loadgen_expected_tokens(it.prompt_hash, kMaxTokens);
	it.completion = true;
	return it;
}

std::string
token_chunk(const char *id, uint32_t i)
{
	char token[LOADGEN_TOKEN_BYTES + 1];

	loadgen_token(make_request().prompt_hash, i, token);
	return std::string("{\"id\":\"") + id +
	    "\",\"choices\":[{\"delta\":{\"content\":\"" + token +
	    "\"},\"finish_reason\":null}]}";
}

std::string
final_chunk(const char *id, uint32_t n)
{
	return std::string("{\"id\":\"") + id +
	    "\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
	    "\"usage\":{\"completion_tokens\":" +
	    std::to_string(n) + "}}";
}

std::vector<std::string>
complete_chunks()
{
	std::vector<std::string> all;
	const uint32_t n = make_request().n_tokens;

	for (uint32_t i = 0; i < n; i++)
		all.push_back(token_chunk("r1", i));
	all.push_back(final_chunk("r1", n));
	all.push_back("[DONE]");
	return all;
}

struct loadgen_response
read_chunks(const std::vector<std::string> &chunks)
{
	static struct loadgen_request it;
	struct loadgen_response a = {};

	it = make_request();
	a.request = &it;
	a.verify_text = true;
	for (const std::string &c : chunks)
		loadgen_response_chunk(&a, c.c_str(), c.size());
	return a;
}

} // namespace

// A stream without its end marker must not count as a complete response.
TEST(LoadResponse, AcceptsOnlyACompleteResponse)
{
	std::vector<std::string> all = complete_chunks();
	const struct loadgen_response a = read_chunks(all);

	EXPECT_TRUE(a.done);
	EXPECT_FALSE(a.mismatch) << a.reason;
	all.pop_back();
	EXPECT_FALSE(read_chunks(all).done);
}

// A proxy that repeats, loses or mixes up chunks of streams must be detected:
// a repeated chunk, one of another request, a missing one, and a response that
// is too short.
TEST(LoadResponse, DetectsRepeatedForeignMissingAndTruncated)
{
	const std::vector<std::string> good = complete_chunks();
	std::vector<std::string> repeated = good;
	std::vector<std::string> foreign = good;
	std::vector<std::string> missing = good;
	std::vector<std::string> shorter = good;

	repeated.insert(repeated.begin() + 2, good[1]);
	foreign.insert(foreign.begin() + 2, token_chunk("r2", 2));
	missing.erase(missing.begin() + 1);
	shorter.erase(shorter.end() - 3);
	EXPECT_TRUE(read_chunks(repeated).mismatch);
	EXPECT_TRUE(read_chunks(foreign).mismatch);
	EXPECT_TRUE(read_chunks(missing).mismatch);
	EXPECT_TRUE(read_chunks(shorter).mismatch);
}

// The verdict and resume token decide whether a request may be sent again.
TEST(LoadResponse, KeepsVerdictAndResumeTokenOfAnError)
{
	const struct loadgen_response a = read_chunks(
	    { "{\"error\":{\"message\":\"no runner\",\"verdict\":\"not "
	      "run\",\"resume_token\":\"t1\"}}" });

	EXPECT_TRUE(a.error);
	EXPECT_STREQ(a.verdict, "not run");
	EXPECT_STREQ(a.resume_token, "t1");
}

// Network reads may split a stream at any byte, also within a line end.
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

// A quantile may exceed the exact value only by the width of a bucket.
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

// Arms of an experiment are comparable only when a seed gives each the same
// requests.
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
		EXPECT_STREQ(a->requests[i].body, b->requests[i].body);
		EXPECT_EQ(a->requests[i].at_us, b->requests[i].at_us);
		EXPECT_EQ(a->requests[i].key != nullptr,
		    a->requests[i].kind == LOADGEN_BOOKING);
	}
	EXPECT_LT(a->uncacheable_tokens, a->prompt_tokens);
	loadgen_trace_free(a);
	loadgen_trace_free(b);
	EXPECT_NE(loadgen_mix_parse("chat", s.mix), STATUS_OK);
	EXPECT_NE(loadgen_mix_parse("tea=1", s.mix), STATUS_OK);
}
