#include <gtest/gtest.h>

extern "C" {
#include "fleet/feedmsg.h"
#include "fleet/hubmsg.h"
#include "fleet/listrev.h"
#include "fleet/servermsg.h"
}

#include <cstdlib>
#include <random>
#include <string>

namespace
{

GArray *
newList()
{
	return g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
}

GArray *
someServers(unsigned seed, unsigned n)
{
	std::mt19937 random(seed);
	GArray *list = newList();

	for (unsigned i = 0; i < n; i++) {
		struct hubmsg_server s = {};
		const std::string id = "i-" + std::to_string(random());
		const std::string host = random() % 5 == 0
		    ? "fd00::" + std::to_string(i)
		    : "10.3." + std::to_string(random() % 256) + "." +
			std::to_string(random() % 256);

		(void)g_strlcpy(
		    s.instance.id, id.c_str(), sizeof(s.instance.id));
		s.removed = random() % 7 == 0;
		if (!s.removed) {
			(void)g_snprintf(s.instance.service,
			    sizeof(s.instance.service), "svc%u",
			    static_cast<unsigned>(random() % 3));
			(void)g_snprintf(s.instance.zone,
			    sizeof(s.instance.zone), "zone-%u",
			    static_cast<unsigned>(random() % 5));
			if (random() % 9 != 0)
				(void)g_strlcpy(s.instance.version, "v1",
				    sizeof(s.instance.version));
			(void)g_strlcpy(s.instance.host, host.c_str(),
			    sizeof(s.instance.host));
			s.instance.port = static_cast<uint16_t>(random());
			s.instance.slots = static_cast<uint32_t>(random());
			s.instance.draining = random() % 4 == 0;
			s.instance.spot = random() % 2 == 0;
		}
		g_array_append_val(list, s);
	}
	return list;
}

void
expectEqual(const GArray *a, const GArray *b)
{
	ASSERT_EQ(a->len, b->len);
	for (guint i = 0; i < a->len; i++) {
		const auto &x = g_array_index(a, struct hubmsg_server, i);
		const auto &y = g_array_index(b, struct hubmsg_server, i);

		EXPECT_EQ(x.removed, y.removed);
		EXPECT_TRUE(listrev_same(&x.instance, &y.instance)) << i;
	}
}

} // namespace

TEST(ServerMsg, BothFormsGiveTheSameServers)
{
	for (unsigned seed = 1; seed <= 50; seed++) {
		GArray *list = someServers(seed, seed * 7 % 200);
		GArray *out = newList();
		uint8_t *bytes;
		size_t len;

		servermsg_encode(list, &bytes, &len);
		ASSERT_EQ(servermsg_decode(bytes, len, out), STATUS_OK);
		expectEqual(list, out);
		free(bytes);
		hubmsg_servers_encode(list, &bytes, &len);
		ASSERT_EQ(servermsg_decode(bytes, len, out), STATUS_OK);
		expectEqual(list, out);
		free(bytes);
		g_array_unref(list);
		g_array_unref(out);
	}
}

/// A damaged or hostile message must end in an error, at whatever byte.
TEST(ServerMsg, DamagedMessagesAreRefusedOrRead)
{
	GArray *list = someServers(3, 40);
	GArray *out = newList();
	uint8_t *bytes;
	size_t len;

	servermsg_encode(list, &bytes, &len);
	for (size_t n = 0; n < len; n++)
		EXPECT_EQ(servermsg_decode(bytes, n, out), STATUS_CORRUPT);
	for (unsigned seed = 1; seed <= 2000; seed++) {
		std::mt19937 random(seed);
		std::string copy(reinterpret_cast<char *>(bytes), len);

		copy[random() % len] = static_cast<char>(random());
		(void)servermsg_decode(
		    reinterpret_cast<const uint8_t *>(copy.data()), len, out);
	}
	free(bytes);
	g_array_unref(list);
	g_array_unref(out);
}

/// An older version knows neither the compact form nor the mark of it.
TEST(ServerMsg, AnAskTellsOfTheCompactFormInWhatOlderVersionsRead)
{
	for (const uint64_t age :
	    { UINT64_C(0), UINT64_C(1500000), FEEDMSG_NO_LIST }) {
		for (const bool compact : { false, true }) {
			struct feedmsg_ask a = {};
			struct feedmsg_ask b;
			uint8_t *bytes;
			size_t len;

			a.list_age_us = age;
			a.reads_compact = compact;
			feedmsg_ask_encode(&a, &bytes, &len);
			ASSERT_EQ(
			    feedmsg_ask_decode(bytes, len, &b), STATUS_OK);
			EXPECT_EQ(b.list_age_us, age);
			EXPECT_EQ(b.reads_compact, compact);
			free(bytes);
		}
	}
}

/// What control adds to the list is in the compact form only.
TEST(ServerMsg, CompactFormHasColdTimesAndPaces)
{
	GArray *list = someServers(5, 60);
	GArray *out = newList();
	uint8_t *bytes;
	size_t len;

	for (guint i = 0; i < list->len; i += 3) {
		auto &s = g_array_index(list, struct hubmsg_server, i);

		if (s.removed)
			continue;
		s.instance.cold_until_ms = i % 2 == 0 ? 0 : 1770000000000 + i;
		s.instance.pace_percent = i % 5 == 0 ? 0 : 40 + i;
	}
	servermsg_encode(list, &bytes, &len);
	ASSERT_EQ(servermsg_decode(bytes, len, out), STATUS_OK);
	expectEqual(list, out);
	free(bytes);
	g_array_unref(list);
	g_array_unref(out);
}
