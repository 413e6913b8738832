#include <gtest/gtest.h>

extern "C" {
#include "conf/bootstrap.h"
}

#include <string>

namespace
{

const std::string hub_settings = R"({
  "role": "hub", "node": "h1", "host": "127.0.0.1",
  "data_centre": "kelenföld", "region": "", "data_folder": "/tmp/x",
  "callers": null, "ready": "", "operators": "[::1]:8100",
  "peer_port": 9001, "metrics_port": 9464.0, "memory_mb": 512.0,
  "seeds": ["127.0.0.1:8100", "127.0.0.2:8100"], "first_start": true,
  "cloud": "127.0.0.1:7000", "duties": ["autoscaling"],
  "zones": {"kelenföld": "hu"}, "tolerated_vms": null,
  "bounds": {"contact_ms": 2500, "retry_ratio": 0.2, "stop_s": null}})";

/// Returns the settings with the text from a key to the next comma replaced.
std::string
replace_key(const std::string &key, const std::string &replacement)
{
	std::string s = hub_settings;
	const size_t from = s.find("\"" + key + "\"");

	return s.replace(from, s.find(',', from) - from, replacement);
}

/// Returns the JSON paths of all problems, one a line.
std::string
problem_paths(const std::string &text)
{
	struct bootstrap_settings s;
	struct spec_problems p = {};
	std::string found;

	(void)bootstrap_parse(text.data(), text.size(), &s, &p);
	for (size_t i = 0; i < p.n; i++)
		found += std::string(p.items[i].path) + "\n";
	spec_problems_free(&p);
	return found;
}

TEST(Bootstrap, ReadsSettingsFilledFromATemplate)
{
	struct bootstrap_settings s;
	struct spec_problems p = {};

	ASSERT_EQ(
	    bootstrap_parse(hub_settings.data(), hub_settings.size(), &s, &p),
	    STATUS_OK)
	    << problem_paths(hub_settings);
	EXPECT_EQ(s.role, BOOTSTRAP_ROLE_HUB);
	EXPECT_STREQ(s.operators.host, "::1");
	EXPECT_EQ(s.operators.port, 8100);
	EXPECT_EQ(s.callers.port, 0);
	EXPECT_EQ(s.metrics_port, 9464);
	EXPECT_EQ(s.memory_mb, 512U);
	EXPECT_EQ(s.n_seeds, 2U);
	EXPECT_TRUE(s.first_start);
	EXPECT_TRUE(s.scales);
	EXPECT_FALSE(s.reports_usage);
	EXPECT_STREQ(s.regions[0], "hu");
	EXPECT_EQ(s.bounds.contact_ms, 2500);
	EXPECT_EQ(s.bounds.retry_ratio, 0.2);
}

TEST(Bootstrap, AbsentKeysHaveDefaults)
{
	struct bootstrap_settings s;
	struct spec_problems p = {};

	ASSERT_EQ(
	    bootstrap_parse(hub_settings.data(), hub_settings.size(), &s, &p),
	    STATUS_OK);
	EXPECT_EQ(s.tolerance.vms, 1U);
	EXPECT_EQ(s.max_fds, 1024U);
	EXPECT_EQ(s.bounds.stop_s, 8);
	EXPECT_EQ(s.bounds.event_relay_ms, 120);
	EXPECT_EQ(s.log_level, LOGGER_INFO);
}

TEST(Bootstrap, ReportsThePathOfEachInvalidValue)
{
	EXPECT_EQ(problem_paths(replace_key("memory_mb", "\"memory_mb\": 1.5")),
	    "$.memory_mb\n");
	EXPECT_EQ(problem_paths(replace_key("peer_port", "\"peer_port\": 0")),
	    "$.peer_port\n");
	EXPECT_EQ(
	    problem_paths(replace_key("peer_port", "\"peer_port\": 70000")),
	    "$.peer_port\n");
	EXPECT_EQ(problem_paths(replace_key("role", "\"role\": \"king\"")),
	    "$.role\n");
	EXPECT_EQ(
	    problem_paths(replace_key("cloud", "\"cloud\": \"here:7000\"")),
	    "$.cloud\n");
	EXPECT_EQ(
	    problem_paths(replace_key("duties", "\"extra\": 1")), "$.extra\n");
}

TEST(Bootstrap, ChecksSeedsAndBounds)
{
	std::string s = hub_settings;

	EXPECT_EQ(problem_paths(s.replace(s.find("127.0.0.2:8100"), 14, "two")),
	    "$.seeds[1]\n");
	s = hub_settings;
	EXPECT_EQ(problem_paths(s.replace(s.find("2500"), 4, "1")),
	    "$.bounds.contact_ms\n");
	s = hub_settings;
	EXPECT_EQ(
	    problem_paths(s.replace(s.find("retry_ratio"), 11, "retries")),
	    "$.bounds.retries\n");
}

TEST(Bootstrap, EachRoleRequiresItsAddresses)
{
	EXPECT_EQ(
	    problem_paths(replace_key("operators", "\"operators\": null")),
	    "$.operators\n");
	EXPECT_EQ(problem_paths(replace_key("role", "\"role\": \"gateway\"")),
	    "$.callers\n$.ready\n");
}

} // namespace
