#include <gtest/gtest.h>

extern "C" {
#include "platform/api_cloud.h"
#include "platform/api_manifest.h"
}

#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

const char route[] =
    R"({"name":"r1","host":"a.example","path_prefix":"/x/","kind":"streaming",)"
    R"("timeout_ms":4000,"target_latency_ms":800,"priority":1,"service":"llm",)"
    R"("max_attempts":2,"public":false,"sticky":true,"resumable":true,)"
    R"("gap_aim_ms":500})";
const char services[] =
    R"([{"name":"llm","health_path":"/health","max_conns":370,)"
    R"("engine":{"slots":64,"kv_capacity":430994,"kv_bytes":327680,)"
    R"("link_mbps":550000.0,"moves":true,"backups":true,"stride":3,)"
    R"("pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0},)"
    R"("autoscale":{"min_replicas":1,"max_replicas":12,"boot_s":4.0,)"
    R"("spot_price":0.18,"zone_prices":{"koper-a":0.85,"sezana":1.0}}},)"
    R"({"name":"app","health_path":"/health"}])";
const char customers[] =
    R"([{"name":"c1","api_keys":["k1","k2"],"priority":1,)"
    R"("unit":"token_count","plain_tokens":200,"rate_per_s":321317,)"
    R"("burst":321317}])";

std::string
manifest(const std::string &routes, const std::string &tenants = customers,
    const std::string &version = "7")
{
	return R"({"version":)" + version + R"(,"routes":[)" + routes +
	    R"(],"services":)" + services + R"(,"tenants":)" + tenants + "}";
}

enum status
read(const std::string &text, struct fleetcfg **out)
{
	return api_manifest_read(text.data(), text.size(), out);
}

TEST(Manifest, ReadsAllSections)
{
	struct fleetcfg *c;
	const struct fleetcfg_route *r;
	const struct fleetcfg_service *s;

	ASSERT_EQ(read(manifest(route), &c), STATUS_OK) << status_last();
	EXPECT_EQ(fleetcfg_version(c), 7U);
	r = fleetcfg_match_route(c, "a.example", "/x/1");
	ASSERT_NE(r, nullptr);
	EXPECT_EQ(r->kind, FLEETCFG_STREAM);
	EXPECT_TRUE(r->resumable);
	EXPECT_EQ(r->timeout_ms, 4000U);
	s = fleetcfg_service(c, 0);
	EXPECT_EQ(s->engine.kv_tokens, 430994U);
	EXPECT_EQ(s->engine.copy_ttl_ms, 5000U);
	EXPECT_EQ(s->scaling.n_zones, 2U);
	EXPECT_FALSE(fleetcfg_service(c, 1)->engine.enabled);
	EXPECT_TRUE(fleetcfg_customer_by_key(c, "k2")->quota_in_tokens);
	fleetcfg_unref(c);
}

TEST(Manifest, RejectsInvalidManifests)
{
	std::string invalid = route;
	struct fleetcfg *c;

	invalid.replace(invalid.find("r1"), 2, "r2");
	EXPECT_EQ(read(manifest(std::string(route) + "," + invalid), &c),
	    STATUS_INVALID);
	EXPECT_NE(strstr(status_last(), "host and prefix"), nullptr);
	invalid.replace(invalid.find("llm"), 3, "no!");
	EXPECT_EQ(read(manifest(invalid), &c), STATUS_INVALID);
	invalid = route;
	invalid.replace(invalid.find("4000"), 4, "0");
	EXPECT_EQ(read(manifest(invalid), &c), STATUS_INVALID);
	invalid = route;
	invalid.replace(invalid.find("\"service\":\"llm\""), 15,
	    R"("traffic_split":[{"service":"llm","weight":0}])");
	EXPECT_EQ(read(manifest(invalid), &c), STATUS_INVALID);
	EXPECT_EQ(
	    read(
		manifest(route,
		    R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])"),
		&c),
	    STATUS_INVALID);
	EXPECT_EQ(
	    read(manifest(route, customers, "\"7\""), &c), STATUS_INVALID);
	EXPECT_EQ(read(manifest(route).substr(0, 300), &c), STATUS_INVALID);
	EXPECT_NE(strstr(status_last(), "line"), nullptr);
}

/// One fault put into a valid manifest.
struct Fault {
	const char *text;   ///< a part of the manifest
	const char *fault;  ///< in its place
	const char *reason; ///< part of what is told
};

/// Guards against an invalid manifest that is acknowledged: each fault alone is
/// refused, and what is wrong is told. The last one was accepted, as nothing
/// uses the name.
TEST(Manifest, EachFaultAloneIsRefused)
{
	static const Fault faults[] = {
		{ R"("version":7)", R"("version":"7")", "version" },
		{ R"("services":[)", R"("servers":[)", "services" },
		{ R"("routes":[)", R"("routes":[1,)", "routes[0]" },
		{ R"("tenants":[)", R"("tenants":{"a":[)", "column" },
		{ R"("service":"llm")", R"("service":"l")",
		    "names no service" },
		{ R"("service":"llm")", R"("service":7)", "service" },
		{ R"("service":"app","weight")", R"("service":"p","weight")",
		    "names no service" },
		{ R"("weight":1)", R"("weight":0)", "weight" },
		{ R"("weight":1)", R"("weight":-1)", "weight" },
		{ R"("timeout_ms":4000)", R"("timeout_ms":0)", "time-out" },
		{ R"("timeout_ms":4000)", R"("timeout_ms":"4000")",
		    "timeout_ms" },
		{ R"("kind":"idempotent")", R"("kind":"any")", "kind" },
		{ R"("path_prefix":"/y/")", R"("path_prefix":"/x/")",
		    "host and prefix" },
		{ R"("api_keys":["k1","k2"])", R"("api_keys":["k1","k1"])",
		    "key" },
		{ R"("api_keys":["k1","k2"])", R"("api_keys":"k1")",
		    "api_keys" },
		{ R"("traffic_split":[{)",
		    R"("service":"no","traffic_split":[{)",
		    "routes[1].service: names no service" },
	};
	const std::string split =
	    R"({"name":"r2","host":"a.example","path_prefix":"/y/",)"
	    R"("kind":"idempotent","timeout_ms":4000,)"
	    R"("traffic_split":[{"service":"app","weight":1}]})";
	const std::string valid = manifest(std::string(route) + "," + split);
	struct fleetcfg *c;

	ASSERT_EQ(api_manifest_check(valid.data(), valid.size(), &c), STATUS_OK)
	    << status_last();
	fleetcfg_unref(c);
	for (const Fault &f : faults) {
		std::string text = valid;

		ASSERT_NE(text.find(f.text), std::string::npos) << f.text;
		text.replace(text.find(f.text), strlen(f.text), f.fault);
		EXPECT_EQ(api_manifest_check(text.data(), text.size(), &c),
		    STATUS_INVALID)
		    << f.fault;
		EXPECT_NE(strstr(status_last(), f.reason), nullptr)
		    << f.fault << ": " << status_last();
	}
}

/// Guards against an update after which a configuration in force can't be read
/// any more, as an earlier version checked less of it.
TEST(Manifest, WhatWasAcceptedIsStillRead)
{
	std::string text = route;
	struct fleetcfg *c;

	text.replace(text.find("\"service\":\"llm\""), 15,
	    R"("service":"no","traffic_split":[{"service":"llm","weight":1}])");
	text = manifest(text);
	EXPECT_EQ(
	    api_manifest_check(text.data(), text.size(), &c), STATUS_INVALID);
	ASSERT_EQ(read(text, &c), STATUS_OK) << status_last();
	fleetcfg_unref(c);
}

/// Guards against an empty list of customers being read as none: all keys were
/// accepted once the last customer was gone.
TEST(Manifest, EmptyListOfCustomersStillRequiresKeys)
{
	const std::string open_route =
	    R"({"name":"r2","host":"a.example",)"
	    R"("path_prefix":"/y/","kind":"idempotent","timeout_ms":4000,)"
	    R"("service":"app","public":true})";
	const std::string empty =
	    manifest(std::string(route) + "," + open_route, "[]");
	std::string missing = empty;
	struct fleetcfg *c;

	ASSERT_EQ(read(empty, &c), STATUS_OK) << status_last();
	EXPECT_EQ(fleetcfg_n_customers(c), 0U);
	EXPECT_TRUE(fleetcfg_requires_key(c, fleetcfg_route(c, 0)));
	EXPECT_FALSE(fleetcfg_requires_key(c, fleetcfg_route(c, 1)));
	EXPECT_TRUE(fleetcfg_has_keys(c));
	EXPECT_EQ(fleetcfg_customer_by_key(c, "k1"), nullptr);
	fleetcfg_unref(c);
	missing.replace(missing.find(R"(,"tenants":[])"), 13, "");
	ASSERT_EQ(read(missing, &c), STATUS_OK) << status_last();
	EXPECT_FALSE(fleetcfg_requires_key(c, fleetcfg_route(c, 0)));
	EXPECT_FALSE(fleetcfg_has_keys(c));
	fleetcfg_unref(c);
	EXPECT_EQ(read(manifest(route, "null"), &c), STATUS_INVALID);
}

TEST(List, InvalidEntriesAreCountedAndSkipped)
{
	const std::string valid =
	    R"({"service":"llm","address":"10.128.0.9:8080","zone":"a",)"
	    R"("version":"v1","slots":64,"state":"ready","cold_left_ms":0,)"
	    R"("spot":true,"id":"i-1"})";
	const std::string text = R"({"instances":[7,)" + valid +
	    R"(,{"id":"i-2"},{"id":"i-3","service":"llm","address":"x",)"
	    R"("zone":"a","version":"v1","slots":64,"state":"ready"},)"
	    R"({"id":"i-4","service":"llm","address":"10.0.0.1:1","zone":"a",)"
	    R"("version":"v1","slots":64,"state":"odd"}],"next":"p-50"})";
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct instance));
	size_t n_invalid;
	char *next;
	char *path;

	ASSERT_EQ(
	    api_list_read(text.data(), text.size(), list, &next, &n_invalid),
	    STATUS_OK);
	ASSERT_EQ(list->len, 1U);
	EXPECT_EQ(n_invalid, 4U);
	EXPECT_TRUE(g_array_index(list, struct instance, 0).spot);
	EXPECT_EQ(g_array_index(list, struct instance, 0).port, 8080);
	EXPECT_STREQ(next, "p-50");
	path = api_list_path(NULL, "a b&c");
	EXPECT_STREQ(path, "/instances?page_token=a%20b%26c");
	g_free(path);
	path = api_list_path("x&y", NULL);
	EXPECT_STREQ(path, "/instances?zone=x%26y");
	g_free(path);
	path = api_list_path("x", "p-50");
	EXPECT_STREQ(path, "/instances?zone=x&page_token=p-50");
	g_free(path);
	g_free(next);
	EXPECT_EQ(
	    api_list_read("{", 1, list, &next, &n_invalid), STATUS_CORRUPT);
	g_array_unref(list);
}

/// Guards against readers that keep their old list because of one entry that
/// another writer left in it.
TEST(List, OneOddEntryHidesNoOther)
{
	const auto entry = [](const std::string &id, const std::string &rest) {
		return R"({"id":")" + id +
		    R"(","service":"llm","zone":"a","version":"v1",)"
		    R"("state":"draining")" +
		    rest + "}";
	};
	const std::string plain = R"(,"slots":6,"address":"10.0.0.1:1")";
	const std::string odd[] = {
		plain + R"(,"x":)" + std::string(5000, '[') +
		    std::string(5000, ']'),
		R"(,"slots":1e400,"address":"10.0.0.1:1")",
		R"(,"slots":18446744073709551616,"address":"10.0.0.1:1")",
		R"(,"slots":4294967296,"address":"10.0.0.1:1")",
		R"(,"slots":6,"address":"10.0.0.1:65536")",
		R"(,"slots":6,"address":"10.0.0.1:99999999999999999999")",
	};

	for (const std::string &rest : odd) {
		const std::string text = R"({"instances":[)" +
		    entry("i-1", plain) + "," + entry("odd", rest) + "," +
		    entry("i-2", plain) + R"(],"next":null})";
		GArray *list =
		    g_array_new(FALSE, TRUE, sizeof(struct instance));
		size_t n_invalid;
		char *next;

		ASSERT_EQ(api_list_read(text.data(), text.size(), list, &next,
			      &n_invalid),
		    STATUS_OK)
		    << rest.substr(0, 60);
		EXPECT_EQ(list->len, 2U);
		EXPECT_EQ(n_invalid, 1U);
		EXPECT_EQ(next, nullptr);
		g_array_unref(list);
	}
}

TEST(Duties, WritesUsageAndScaleBodies)
{
	const struct api_usage usage[] = { { "c1", 412 }, { "c2", 0 } };
	char *body = api_usage_body(353445120, usage, 2);

	EXPECT_STREQ(
	    body, R"({"window_seq":353445120,"counts":{"c1":412,"c2":0}})");
	free(body);
	body = api_scale_body("llm", "a", 6, true);
	EXPECT_STREQ(body,
	    R"({"service":"llm","zone":"a","desired_count":6,"spot":true})");
	free(body);
}

TEST(Rollouts, ReadsRequestsAndWritesStates)
{
	const std::string valid =
	    R"({"service":"llm","target":"v2","duration_s":12})";
	struct api_rollout r;
	char *body;

	ASSERT_EQ(api_rollout_read(valid.data(), valid.size(), &r), STATUS_OK);
	EXPECT_STREQ(r.target, "v2");
	EXPECT_EQ(r.duration_s, 12);
	EXPECT_EQ(api_rollout_read("{}", 2, &r), STATUS_INVALID);
	EXPECT_EQ(api_rollout_read("[", 1, &r), STATUS_INVALID);
	body = api_rollout_body("running", "v2");
	EXPECT_STREQ(body, R"({"state":"running","target":"v2"})");
	free(body);
}

/// A manifest whose route and customer allow these lists of regions.
std::string
regional(const std::string &of_route, const std::string &of_customer)
{
	std::string r = route;
	std::string u = customers;

	r.insert(1, R"("allowed_regions":)" + of_route + ",");
	u.insert(2, R"("allowed_regions":)" + of_customer + ",");
	return manifest(r, u);
}

bool
is_allowed(const struct fleetcfg *c, const char *region)
{
	return fleetcfg_allows_region(
	    fleetcfg_route(c, 0), fleetcfg_find_customer(c, "c1"), region);
}

TEST(Manifest, RegionsOfRouteAndCustomerBothBind)
{
	struct fleetcfg *c;

	ASSERT_EQ(
	    read(regional(R"(["a","b","a"])", R"(["b","c"])"), &c), STATUS_OK)
	    << status_last();
	EXPECT_TRUE(is_allowed(c, "b"));
	EXPECT_FALSE(is_allowed(c, "a"));
	EXPECT_FALSE(is_allowed(c, "c"));
	EXPECT_FALSE(is_allowed(c, ""));
	EXPECT_TRUE(fleetcfg_allows_region(fleetcfg_route(c, 0), nullptr, "a"));
	EXPECT_FALSE(
	    fleetcfg_allows_region(fleetcfg_route(c, 0), nullptr, "c"));
	fleetcfg_unref(c);
	ASSERT_EQ(read(regional("null", R"(["c"])"), &c), STATUS_OK);
	EXPECT_TRUE(is_allowed(c, "c"));
	EXPECT_FALSE(is_allowed(c, "a"));
	fleetcfg_unref(c);
	ASSERT_EQ(read(regional("null", "null"), &c), STATUS_OK);
	EXPECT_TRUE(is_allowed(c, ""));
	fleetcfg_unref(c);
	ASSERT_EQ(read(manifest(route), &c), STATUS_OK);
	EXPECT_TRUE(is_allowed(c, ""));
	fleetcfg_unref(c);
}

/// Guards against an empty list of regions being read as none: requests ran in
/// every region once the last allowed one was taken away.
TEST(Manifest, EmptyListOfRegionsAllowsNone)
{
	struct fleetcfg *c;

	ASSERT_EQ(read(regional("[]", R"(["c"])"), &c), STATUS_OK);
	EXPECT_FALSE(is_allowed(c, "c"));
	EXPECT_FALSE(is_allowed(c, ""));
	EXPECT_FALSE(
	    fleetcfg_allows_region(fleetcfg_route(c, 0), nullptr, "c"));
	fleetcfg_unref(c);
	ASSERT_EQ(read(regional(R"(["c"])", "[]"), &c), STATUS_OK);
	EXPECT_FALSE(is_allowed(c, "c"));
	EXPECT_TRUE(fleetcfg_allows_region(fleetcfg_route(c, 0), nullptr, "c"));
	fleetcfg_unref(c);
	ASSERT_EQ(read(regional("null", "[]"), &c), STATUS_OK);
	EXPECT_FALSE(is_allowed(c, ""));
	fleetcfg_unref(c);
}

TEST(Manifest, RegionsThatAreNoListOfNamesAreRefused)
{
	struct fleetcfg *c;
	std::string many = "[";

	for (int i = 0; i <= FLEETCFG_MAX_REGIONS; i++)
		many += (i == 0 ? "\"" : ",\"") + std::to_string(i) + "\"";
	many += "]";
	for (const std::string &list :
	    { std::string(R"("a")"), std::string(R"([1])"),
		std::string(R"([""])"), std::string(R"({"a":1})"),
		R"([")" + std::string(FLEETCFG_NAME_BYTES, 'x') + R"("])",
		many }) {
		EXPECT_EQ(read(regional(list, "[]"), &c), STATUS_INVALID)
		    << list;
		EXPECT_EQ(read(regional("[]", list), &c), STATUS_INVALID)
		    << list;
	}
}

} // namespace
