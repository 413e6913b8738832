#ifndef TEST_HUB_H
#define TEST_HUB_H

#include <gtest/gtest.h>

extern "C" {
#include "fleet/feedmsg.h"
#include "hub/hub_internal.h"
}

#include "free_port.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <string>

/// A control process. It leads by itself, unless there is another seed.
struct TestHub {
	struct loop *loop = loop_new(1);
	std::filesystem::path folder;
	uint16_t port = free_port();
	struct hub *hub = nullptr;

	explicit TestHub(const std::string &seed = "")
	{
		std::string name =
		    std::filesystem::temp_directory_path() / "hub-XXXXXX";
		struct bootstrap_settings settings;
		struct spec_problems problems = {};
		const std::string operators =
		    "127.0.0.1:" + std::to_string(free_port());

		folder = mkdtemp(name.data());
		const std::string text = R"({"role": "hub", "node": "core-1",
		    "host": "127.0.0.1", "data_centre": "csepel",
		    "cloud": "127.0.0.1:1", "first_start": true,
		    "tolerated_vms": 0, "duties": [], "zones": {},
		    "data_folder": ")" +
		    folder.string() + R"(", "operators": ")" + operators +
		    R"(", "seeds": [")" + operators + R"(")" + seed +
		    R"(], "peer_port": )" + std::to_string(port) + "}";
		EXPECT_EQ(bootstrap_parse(
			      text.data(), text.size(), &settings, &problems),
		    STATUS_OK)
		    << (problems.n > 0 ? problems.items[0].path : "");
		spec_problems_free(&problems);
		EXPECT_EQ(hub_start(loop, &settings, &hub), STATUS_OK);
		if (!seed.empty())
			return;
		for (int i = 0; i < 5000 && !hub_is_leader(hub); i++)
			run(1);
		EXPECT_TRUE(hub_is_leader(hub));
	}

	~TestHub()
	{
		hub_free(hub);
		loop_free(loop);
		std::filesystem::remove_all(folder);
	}

	void run(int ms)
	{
		for (int i = 0; i < ms; i++) {
			event_base_loop(loop_event_base(loop), EVLOOP_NONBLOCK);
			usleep(1000);
		}
	}

	/// Commits a configuration with as many routes as a large deployment.
	void configure(uint64_t version, const std::string &customers = "[]")
	{
		struct hubstate_command c = {};
		std::string text = R"({"version": )" + std::to_string(version) +
		    R"(, "tenants": )" + customers +
		    R"(, "services": [{"name": "app",
		    "health_path": "/h"}], "routes": [)";

		for (int i = 0; i < 1500; i++)
			text += (i > 0 ? "," : "") +
			    std::string(R"({"name": "r)") + std::to_string(i) +
			    R"(", "host": "a.example", "path_prefix": "/p)" +
			    std::to_string(i) +
			    R"(/", "kind": "idempotent", "timeout_ms": 2000,
			    "target_latency_ms": 300, "service": "app",
			    "max_attempts": 2})";
		text += "]}";
		c.kind = HUBSTATE_CONFIG;
		c.version = version;
		c.manifest = reinterpret_cast<const uint8_t *>(text.data());
		c.manifest_len = text.size();
		hub_propose(
		    hub, &c,
		    [](void *, enum status, const uint8_t *, size_t) {},
		    nullptr);
		for (int i = 0;
		     i < 1000 && hubstate_version(hub->state) != version; i++)
			run(1);
		EXPECT_EQ(hubstate_version(hub->state), version);
		run(50);
	}
};

/// A gateway at the other end of a link. It reads only in configs().
struct TestGateway {
	TestHub &hub;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	std::string in;
	int lists = 0;     ///< whole lists that came
	int grants = 0;    ///< asks for grants that were granted
	int decisions = 0; ///< asks for grants that were granted or refused

	int limits = 0; ///< limits of servers that came

	explicit TestGateway(TestHub &h, const char *node = "front-1") : hub(h)
	{
		struct sockaddr_in address = {};
		struct wire_msg hello = {};

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(hub.port);
		EXPECT_EQ(
		    connect(fd, reinterpret_cast<struct sockaddr *>(&address),
			sizeof(address)),
		    0);
		EXPECT_EQ(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
		hello.kind = WIRE_HELLO;
		hello.hello.role = WIRE_ROLE_ENTRY;
		hello.hello.incarnation = 1;
		g_strlcpy(hello.hello.deployment, "fleet", WIRE_NAME_BYTES);
		g_strlcpy(hello.hello.node, node, WIRE_NAME_BYTES);
		send(hello);
	}

	~TestGateway()
	{
		close(fd);
	}

	void send(const struct wire_msg &msg)
	{
		uint8_t *bytes;
		size_t len;

		wire_encode(&msg, &bytes, &len);
		EXPECT_EQ(write(fd, bytes, len), static_cast<ssize_t>(len));
		g_free(bytes);
		hub.run(5);
	}

	void sendPayload(enum wire_kind kind, uint8_t *bytes, size_t len)
	{
		struct wire_msg msg = {};

		msg.kind = kind;
		msg.payload.data = bytes;
		msg.payload.len = len;
		send(msg);
		free(bytes);
	}

	/// @param spent  units of the quota of customer `depot`; 0: none
	void report(uint64_t version, uint64_t spent = 0)
	{
		struct hubmsg_quota q = {};
		struct hubmsg_report r;
		uint8_t *bytes;
		size_t len;

		hubmsg_report_init(&r);
		r.sent_us = 1;
		r.version = version;
		q.spent = spent;
		g_strlcpy(q.customer, "depot", sizeof(q.customer));
		if (spent > 0)
			g_array_append_val(r.quotas, q);
		hubmsg_report_encode(&r, &bytes, &len);
		hubmsg_report_clear(&r);
		sendPayload(WIRE_GATEWAY_REPORT, bytes, len);
	}

	void ask(uint64_t version, uint64_t listAgeUs = FEEDMSG_NO_LIST)
	{
		struct feedmsg_ask a = {};
		uint8_t *bytes;
		size_t len;

		a.sent_us = 1;
		a.version = version;
		a.list_age_us = listAgeUs;
		feedmsg_ask_encode(&a, &bytes, &len);
		sendPayload(WIRE_FEED_ASK, bytes, len);
	}

	/// Tells of the limit of a server, or of none.
	void tellLimit(const char *server, double per_s)
	{
		struct limitmsg m;
		uint8_t *bytes;
		size_t len;

		limitmsg_init(&m);
		m.whole = server == nullptr;
		if (server != nullptr)
			limitmsg_add(&m, server, per_s);
		limitmsg_encode(&m, &bytes, &len);
		limitmsg_clear(&m);
		sendPayload(WIRE_LIMITS, bytes, len);
	}

	/// Asks the leader for a grant, or withdraws the ask.
	void askGrant(const char *customer, uint64_t units,
	    enum hubmsg_ask_kind kind = HUBMSG_ASK_GRANT)
	{
		struct hubmsg_ask a = {};
		uint8_t *bytes;
		size_t len;

		a.tag = 1;
		a.units = units;
		a.can_wait = true;
		a.wait_us = a.left_us = 60 * USEC_PER_SEC;
		a.kind = kind;
		g_strlcpy(a.customer, customer, sizeof(a.customer));
		hubmsg_ask_encode(&a, &bytes, &len);
		sendPayload(WIRE_QUOTA_ASK, bytes, len);
	}

	/// Versions of the configurations that came, in their order.
	std::string configs()
	{
		std::string versions;
		char buffer[65536];
		size_t at = 0;

		for (int i = 0; i < 200; i++) {
			ssize_t n;

			while ((n = read(fd, buffer, sizeof(buffer))) > 0)
				in.append(buffer, static_cast<size_t>(n));
			hub.run(1);
		}
		while (in.size() >= at + 4) {
			uint32_t be;
			memcpy(&be, in.data() + at, 4);
			const size_t len = ntohl(be);
			if (in.size() < at + 4 + len)
				break;
			versions += versionIn(in.data() + at + 4, len);
			at += 4 + len;
		}
		in.erase(0, at);
		return versions;
	}

	std::string versionIn(const char *frame, size_t len)
	{
		struct wire_msg msg;
		std::string found;

		EXPECT_EQ(wire_decode(reinterpret_cast<const uint8_t *>(frame),
			      len, &msg),
		    STATUS_OK);
		if (msg.kind == WIRE_CONTROL_STATUS) {
			struct hubmsg_state s;

			hubmsg_state_init(&s);
			EXPECT_EQ(hubmsg_state_decode(
				      msg.payload.data, msg.payload.len, &s),
			    STATUS_OK);
			if (s.manifest_len > 0)
				found = std::to_string(s.version) + " ";
			hubmsg_state_clear(&s);
		}
		if (msg.kind == WIRE_QUOTA_ANSWER) {
			struct hubmsg_answer a;

			EXPECT_EQ(hubmsg_answer_decode(
				      msg.payload.data, msg.payload.len, &a),
			    STATUS_OK);
			grants += a.granted;
			decisions += !a.queued;
		}
		if (msg.kind == WIRE_LIMITS) {
			struct limitmsg m;

			limitmsg_init(&m);
			EXPECT_EQ(limitmsg_decode(
				      msg.payload.data, msg.payload.len, &m),
			    STATUS_OK);
			limits += static_cast<int>(m.limits->len);
			limitmsg_clear(&m);
		}
		if (msg.kind == WIRE_FEED) {
			struct feedmsg_update u;

			EXPECT_EQ(feedmsg_update_decode(
				      msg.payload.data, msg.payload.len, &u),
			    STATUS_OK);
			lists += u.revision != 0 && u.since == 0;
			if (u.manifest_len > 0)
				found = std::to_string(u.version) + " ";
		}
		return found;
	}
};

#endif
