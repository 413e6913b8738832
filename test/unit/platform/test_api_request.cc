#include <gtest/gtest.h>

extern "C" {
#include "platform/api_request.h"
}

/// Numbers of tokens that contradict each other, or that no prompt has.
TEST(ApiRequest, TokensAreSettled)
{
	const struct {
		uint32_t stated, first, second, expected;
	} cases[] = {
		{ 0, 6300, 2890, 9190 },
		{ 100, 6300, 2890, 9190 },
		{ 9190, 6300, 2890, 9190 },
		{ 9500, 6300, 2890, 9500 },
		{ 0, 0, 0, 0 },
		{ UINT32_MAX, 1, 1, API_MAX_TOKENS },
		{ 1, UINT32_MAX, UINT32_MAX, 2 * API_MAX_TOKENS },
	};

	for (const auto &c : cases) {
		struct api_request r = {};

		r.n_parts = 2;
		r.parts[0].tokens = c.first;
		r.parts[1].tokens = c.second;
		r.prompt_tokens = c.stated;
		r.output_tokens = UINT32_MAX;
		api_request_settle_tokens(&r);
		EXPECT_EQ(r.prompt_tokens, c.expected);
		EXPECT_EQ(r.output_tokens, API_MAX_TOKENS);
	}
}
