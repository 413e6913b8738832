#include <gtest/gtest.h>

extern "C" {
#include "conf/settings.h"
#include "conf/spec.h"
}

#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

const char *const good_settings = R"({
  "role": "control", "node": "c1", "data_centre": "kelenföld",
  "deployment": "budapest", "data_folder": "/tmp/x",
  "operators": "127.0.0.1:8100", "peer": "127.0.0.1:8200",
  "control": [
    {"id": 1, "name": "c1", "data_centre": "kelenföld",
     "peer": "127.0.0.1:8200", "operators": "127.0.0.1:8100"},
    {"id": 2, "name": "c2", "data_centre": "csepel",
     "peer": "[::1]:8201", "operators": "127.0.0.1:8101"}],
  "tls": {"plain": true}, "answer_keep_s": 60})";

/// Returns the problems as lines "path:line".
std::string
summary(const struct spec_problems &p)
{
	std::string s;

	for (size_t i = 0; i < p.n; i++)
		s += std::string(p.items[i].path) + ":" +
		    std::to_string(p.items[i].line) + "\n";
	return s;
}

std::string
settings_problems(const std::string &text)
{
	struct settings s;
	struct spec_problems p = {};

	EXPECT_EQ(
	    settings_parse(text.data(), text.size(), &s, &p), STATUS_INVALID);
	std::string found = summary(p);
	spec_problems_free(&p);
	return found;
}

std::string
note_problems(const std::string &text)
{
	struct spec_note *n = nullptr;
	struct spec_problems p = {};

	EXPECT_EQ(
	    spec_parse_note(text.data(), text.size(), &n, &p), STATUS_INVALID);
	EXPECT_EQ(n, nullptr);
	std::string found = summary(p);
	spec_problems_free(&p);
	return found;
}

std::string
canonical(const std::string &text, uint64_t *hash)
{
	struct spec_note *n = nullptr;
	struct spec_problems p = {};

	EXPECT_EQ(spec_parse_note(text.data(), text.size(), &n, &p), STATUS_OK)
	    << summary(p);
	char *c = spec_canonical_json(n);
	std::string s = c;
	*hash = n->content_hash;
	free(c);
	spec_note_free(n);
	return s;
}

std::string
replaced(std::string text, const char *old, const char *replacement)
{
	return text.replace(text.find(old), strlen(old), replacement);
}

/// A required key must be in the canonical JSON even if its value is the
/// default, such as false; otherwise the text would be rejected when it is
/// read.
TEST(Notes, CanonicalJsonKeepsRequiredFalse)
{
	const std::string text = R"({"note":"n","base":0,
	    "pools":{"add":[{"name":"b","kind":"service"}]},
	    "routes":{"add":[{"path":"/b","pool":"b","mode":"at_once",
	    "idempotent":false}]}})";
	struct spec_note *n = nullptr;
	struct spec_note *reread = nullptr;
	struct spec_problems p = {};

	ASSERT_EQ(spec_parse_note(text.data(), text.size(), &n, &p), STATUS_OK);
	char *json = spec_canonical_json(n);
	EXPECT_EQ(spec_parse_note(json, strlen(json), &reread, &p), STATUS_OK)
	    << json;
	free(json);
	spec_problems_free(&p);
	spec_note_free(n);
	spec_note_free(reread);
}

} // namespace

TEST(Settings, ReadsValidSettingsWithDefaults)
{
	struct settings s;
	struct spec_problems p = {};

	ASSERT_EQ(settings_parse(good_settings, strlen(good_settings), &s, &p),
	    STATUS_OK)
	    << summary(p);
	EXPECT_EQ(s.role, SETTINGS_ROLE_CONTROL);
	EXPECT_EQ(s.id, 1U);
	EXPECT_STREQ(s.control[1].peer.host, "::1");
	EXPECT_EQ(s.election_ms, 300U);
	EXPECT_EQ(s.log_level, LOGGER_INFO);
	EXPECT_EQ(s.answer_keep_s, 60U);
	EXPECT_EQ(s.cloud.port, 0);
}

TEST(Settings, ReportsAllProblemsWithTheirLines)
{
	EXPECT_EQ(settings_problems("{\n\"role\": \"boss\",\n"
				    "\"operators\": \"localhost:1\",\n"
				    "\"control\": [\n{\"id\": 0, \"x\": 1}],\n"
				    "\"tls\": {\"plain\": 1},\n"
				    "\"heartbeat_ms\": 5,\n\"seed\": -1 }"),
	    "$.role:2\n$.node:1\n$.data_centre:1\n$.deployment:1\n"
	    "$.operators:3\n$.seed:8\n$.heartbeat_ms:7\n"
	    "$.control[0].x:5\n$.control[0].id:5\n$.control[0].name:5\n"
	    "$.control[0].data_centre:5\n$.control[0].peer:5\n"
	    "$.control[0].operators:5\n$.tls.plain:6\n");
}

TEST(Settings, ChecksKeysAgainstEachOther)
{
	const std::string valid = good_settings;

	EXPECT_EQ(settings_problems("{"), "$:1\n");
	EXPECT_EQ(settings_problems(replaced(valid, "\"id\": 2", "\"id\": 1")),
	    "$.control[1]:8\n");
	EXPECT_EQ(
	    settings_problems(replaced(valid, "[::1]:8201", "127.0.0.1:8100")),
	    "$.control[1].peer:9\n");
	EXPECT_EQ(settings_problems(replaced(valid, "\"data_folder\"",
		      "\"callers\": \"127.0.0.1:1\", \"data_folder\"")),
	    "$.callers:3\n");
	EXPECT_EQ(settings_problems(
		      replaced(valid, "\"node\": \"c1\"", "\"node\": \"c9\"")),
	    "$.control[0].peer:7\n$.control[0].operators:7\n"
	    "$.node:2\n");
	EXPECT_EQ(settings_problems(replaced(valid, "{\"plain\": true}",
		      "{\"certificate\": \"a\", \"key\": \"b\"}")),
	    "$.tls:10\n$.operator_token:1\n");
	EXPECT_EQ(settings_problems(replaced(valid, "\"answer_keep_s\"",
		      "\"election_ms\": 100, \"heartbeat_ms\": 100, "
		      "\"answer_keep_s\"")),
	    "$.heartbeat_ms:10\n");
	EXPECT_EQ(settings_problems(replaced(
		      valid, "\"role\"", "\"node\": \"c1\", \"role\"")),
	    "$:2\n");
}

TEST(Notes, EqualContentHasEqualCanonicalJson)
{
	uint64_t a;
	uint64_t b;
	const std::string one = canonical(
	    R"({"note": "n", "base": 3, "customers": {"withdraw": ["x"],
	     "add": [{"name": "b"}, {"name": "a", "weight": 1}]},
	     "versions": {"add": [{"name": "v2", "pool": "p",
	     "replaces": "v1", "complete_by": "2026-12-04T19:00:00+01:00"}]}})",
	    &a);
	const std::string two = canonical(
	    R"({"versions": {"add": [{"pool": "p", "name": "v2",
	     "complete_by": "2026-12-04T18:00:00Z", "replaces": "v1"}]},
	     "base": 3, "customers": {"add": [{"name": "a"},
	     {"weight": 1, "name": "b"}], "withdraw": ["x"]}, "note": "n"})",
	    &b);

	EXPECT_EQ(one, two);
	EXPECT_EQ(a, b);
	EXPECT_EQ(one, canonical(one, &a));
	EXPECT_EQ(a, b);
}

TEST(Notes, CanonicalJsonReadsBackUnchanged)
{
	uint64_t a;
	uint64_t b;
	const std::string one = canonical(R"({"note": "n", "base": 0,
"data_centres": {"add": [{"name": "d", "region": "r"}]},
"vm_classes": {"add": [{"name": "c", "data_centre": "d",
  "reclaimable": false, "price_micros_per_hour": 0, "max_vms": 0}]},
"pools": {"change": [{"name": "p", "kind": "runner"}]},
"versions": {"add": [{"name": "v", "pool": "p"}]},
"adapters": {"add": [{"name": "a", "version": "v"}]},
"backend_servers": {"add": [{"name": "s", "pool": "p",
  "data_centre": "d", "address": "[::1]:1", "versions": ["v"]}]},
"routes": {"add": [{"path": "/", "pool": "p", "mode": "stream",
  "idempotent": false, "priority": 0}]},
"customers": {"add": [{"name": "k"}], "withdraw": ["l"]}})",
	    &a);

	EXPECT_EQ(canonical(one, &b), one);
	EXPECT_EQ(a, b);
}

TEST(Notes, LocatesItemsByTheirKeys)
{
	const std::string text = "{\"note\": \"n\", \"routes\": {\n"
				 "\"withdraw\": [\"/a\",\n \"/b\"],\n"
				 "\"add\": [{\"path\": \"/c\",\n"
				 "\"pool\": \"p\"}]}}";
	struct spec_problem p = { "$.routes.withdraw[/b]", 0, "" };

	spec_find_line(text.data(), text.size(), &p);
	EXPECT_STREQ(p.path, "$.routes.withdraw[1]");
	EXPECT_EQ(p.line, 3);
	p = { "$.routes.add[/c].pool", 0, "" };
	spec_find_line(text.data(), text.size(), &p);
	EXPECT_STREQ(p.path, "$.routes.add[0].pool");
	EXPECT_EQ(p.line, 5);
	p = { "$.routes.add[/x].pool", 0, "" };
	spec_find_line(text.data(), text.size(), &p);
	EXPECT_STREQ(p.path, "$.routes.add[/x].pool");
	EXPECT_EQ(p.line, 1);
}

TEST(Notes, ReportsAllProblems)
{
	EXPECT_EQ(note_problems(R"({"note": "a b", "base": "1",
"pool": {},
"routes": {"add": [{"path": "x", "pool": "p", "mode": "fast",
  "idempotent": 1, "priority": 10}], "drop": []},
"customers": {"add": [{"name": "a"},
  {"name": "a"}], "withdraw": "a"}})"),
	    "$.pool:2\n$.note:1\n$.base:1\n$.routes.drop:4\n"
	    "$.routes.add[0].path:3\n$.routes.add[0].mode:3\n"
	    "$.routes.add[0].idempotent:4\n$.routes.add[0].priority:4\n"
	    "$.customers.add[1]:6\n$.customers.withdraw:6\n");
	EXPECT_EQ(note_problems(R"({"note": "a", "base": 1})"), "$:1\n");
	EXPECT_EQ(note_problems(R"({"note": "a", "base": 1,
"backend_servers": {"add": [{"name": "r", "pool": "p", "data_centre": "d",
"address": "127.0.0.1:70000", "versions": ["a", "a"]}]}})"),
	    "$.backend_servers.add[0].address:3\n"
	    "$.backend_servers.add[0].versions:3\n");
}
