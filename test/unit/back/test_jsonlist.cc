#include <gtest/gtest.h>

extern "C" {
#include "back/jsonlist.h"
}

#include <random>
#include <string>

namespace
{

json_t *
load(const std::string &text, size_t *n_invalid)
{
	return jsonlist_load(text.data(), text.size(), n_invalid);
}

std::string
dump(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
	const std::string s = text == nullptr ? "-" : text;

	free(text);
	json_decref(o);
	return s;
}

} // namespace

TEST(JsonList, ReadsWhatJanssonReads)
{
	const char *text = " {\"a\" : [ 1, {\"b\":\"x]}\\\"\"} ,\"\", [[]] ], "
			   "\"n\": null, \"t\":true ,\"e\":[], \"o\":{} }\n";
	size_t n;

	EXPECT_EQ(dump(load(text, &n)), dump(json_loads(text, 0, nullptr)));
	EXPECT_EQ(n, 0U);
	EXPECT_EQ(dump(load("{}", &n)), "{}");
}

/// Guards against one entry that hides all others of a list.
TEST(JsonList, LeavesOutInvalidEntriesOnly)
{
	const std::string deep =
	    std::string(100000, '[') + std::string(100000, ']');
	const std::string odd[] = { deep, "{\"n\":1e999}",
		"{\"n\":99999999999999999999999}", "{\"s\":\"\\ud800\"}",
		"{\"s\":\"\xff\"}", "{\"a\" 1}", "nul", "{\"a\":[}]" };
	size_t n;

	for (const std::string &entry : odd) {
		const std::string text = "{\"l\":[{\"id\":1}," + entry +
		    ",{\"id\":2}],\"next\":\"p\"}";

		EXPECT_EQ(dump(load(text, &n)),
		    "{\"l\":[{\"id\":1},{\"id\":2}],\"next\":\"p\"}");
		EXPECT_EQ(n, 1U);
	}
}

TEST(JsonList, RefusesTextThatIsNoObject)
{
	size_t n;

	for (const char *text : { "", " ", "[]", "{", "{\"a\":[1,2", "{\"a\"}",
		 "{\"a\":1,}", "{\"a\":1} x", "{\"a\":\"b}" })
		EXPECT_EQ(load(text, &n), nullptr) << text;
}

/// Guards against reads beyond the text, with the sanitisers.
TEST(JsonList, AnyTextIsReadWithinItsBounds)
{
	const std::string good = "{\"l\":[{\"id\":\"a\\\"\"},2],\"n\":null}";
	std::mt19937 random(1);
	size_t n;

	for (int i = 0; i < 20000; i++) {
		std::string text = good.substr(0, random() % good.size() + 1);

		text[random() % text.size()] = "[]{}\",:\\1 \0"[random() % 11];
		std::string exact(text.begin(), text.end());
		exact.shrink_to_fit();
		json_decref(load(exact, &n));
	}
}
