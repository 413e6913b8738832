#include "link_rig.h"

extern "C" {
#include "back/httpc.h"
#include "front/httpd.h"
}

#include <poll.h>

namespace
{

/// Far more links than the loop serves before it looks for other events.
const int nGateways = 64;
const int maxMessagesBefore = 16;

/// Gateways each of which sends the next report as soon as its last one is
/// handled: there is always one to handle.
struct BusyGateways : LinkRig {
	int reports = 0;
	int cost_us = 0; ///< of handling a report

	BusyGateways() : LinkRig(nGateways)
	{
		onMessage = [this](int peer, const struct wire_msg &) {
			goOn(peer);
		};
		for (int i = 0; i < nGateways; i++)
			report(i);
		until([&] { return reports >= 4 * nGateways; });
		EXPECT_GE(reports, 4 * nGateways);
		reports = 0;
	}

	void goOn(int peer)
	{
		reports++;
		usleep(static_cast<useconds_t>(cost_us));
		report(peer);
		// The loop wouldn't return by itself.
		event_base_loopbreak(loop_event_base(loop));
	}
};

/// An HTTP server on a loop, which answers each request at once.
struct Operators {
	struct httpd *server;
	uint16_t port = free_port();
	int answered = 0;
	std::string body = "accepted";

	explicit Operators(struct loop *loop)
	{
		struct httpd_config config = {};

		config.base = loop_event_base(loop);
		config.max_body_bytes = 1 << 20;
		config.idle_ms = 10000;
		config.on_request = [](void *arg, handle_t handle,
					const struct httpd_request *) {
			auto *o = static_cast<Operators *>(arg);

			o->answered++;
			httpd_reply(o->server, handle, 200, nullptr,
			    "text/plain", o->body.data(), o->body.size());
		};
		config.on_disconnect = [](void *, handle_t) {};
		config.arg = this;
		server = httpd_new(&config);
		EXPECT_EQ(httpd_listen(server, "127.0.0.1", port), STATUS_OK);
	}

	~Operators()
	{
		httpd_free(server);
	}
};

void
request(int fd)
{
	const std::string text =
	    "GET /api/config HTTP/1.1\r\nHost: control\r\n\r\n";

	ASSERT_EQ(write(fd, text.data(), text.size()),
	    static_cast<ssize_t>(text.size()));
}

bool
has_input(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN, .revents = 0 };

	return poll(&p, 1, 0) > 0;
}

} // namespace

/// Guards against a leader that loses its lease because messages of the
/// replicated log wait until the messages of all gateways have been handled.
TEST(LinkPriority, LogDoesNotWaitForAllGateways)
{
	LinkRig rig(nGateways);
	int reports = 0;
	int reportsBeforeLog = -1;

	rig.add(WIRE_ROLE_CONTROL);
	rig.until([&] { return rig.up > nGateways; });
	ASSERT_EQ(rig.up, nGateways + 1);
	rig.onMessage = [&](int, const struct wire_msg &msg) {
		struct wire_msg log = {};

		if (msg.kind == WIRE_RAFT) {
			reportsBeforeLog = reports;
			return;
		}
		log.kind = WIRE_RAFT;
		if (reports++ == 0)
			rig.send(nGateways, log);
	};

	for (int i = 0; i < nGateways; i++)
		rig.report(i);
	rig.until([&] { return reports == nGateways; });
	EXPECT_EQ(reports, nGateways);
	EXPECT_GE(reportsBeforeLog, 1);
	EXPECT_LE(reportsBeforeLog, maxMessagesBefore);
}

/// Guards against an operator's order without an answer in time: each step of a
/// connection (accept, read, write) waited until all gateways had been served.
TEST(LinkPriority, OperatorsDoNotWaitForAllGateways)
{
	BusyGateways rig;
	Operators operators(rig.loop);
	const int fd = connect_to(operators.port);

	request(fd);
	rig.until([&] { return has_input(fd); });
	EXPECT_TRUE(has_input(fd));
	EXPECT_LE(rig.reports, nGateways);
	close(fd);
}

/// Guards against the same while messages of gateways take long, such as those
/// that are passed on to all others: batches were overdue all the time.
TEST(LinkPriority, OperatorsDoNotWaitForSlowMessages)
{
	BusyGateways rig;
	Operators operators(rig.loop);
	const int fd = connect_to(operators.port);

	rig.cost_us = 3000;
	request(fd);
	rig.until([&] { return has_input(fd) || rig.reports > 4 * nGateways; });
	EXPECT_TRUE(has_input(fd));
	EXPECT_LE(rig.reports, nGateways);
	close(fd);
}

/// Guards against a list of servers that times out: each few kilobytes of a
/// page waited until all gateways had been served.
TEST(LinkPriority, LongResponsesDoNotWaitForAllGateways)
{
	BusyGateways rig;
	Operators platform(rig.loop);
	struct httpc *client = httpc_new(loop_event_base(rig.loop));
	struct httpc_request call = {};
	size_t got = 0;

	platform.body.assign(256 << 10, 'x');
	call.method = "GET";
	call.host = "127.0.0.1";
	call.port = platform.port;
	call.path = "/api/servers";
	call.on_end = [](void *arg, const struct httpc_result *result) {
		*static_cast<size_t *>(arg) = result->len;
	};
	call.arg = &got;
	ASSERT_NE(httpc_send(client, &call), HANDLE_NONE);
	rig.until([&] { return got > 0; });
	EXPECT_EQ(got, platform.body.size());
	// A read brings 4 KiB.
	EXPECT_LE(rig.reports, 64 * maxMessagesBefore);
	httpc_free(client);
}

/// Guards against gateways that lose their leases while operators, or whoever
/// reaches their port, keep the loop busy.
TEST(LinkPriority, GatewaysDoNotWaitForAllOperators)
{
	const int nOperators = 128;
	BusyGateways rig;
	Operators operators(rig.loop);
	std::vector<int> fds;
	int answered = 0;

	for (int i = 0; i < nOperators; i++) {
		fds.push_back(connect_to(operators.port));
		request(fds.back());
	}
	rig.until([&] {
		for (int fd : fds) {
			char bytes[4096];

			if (!has_input(fd))
				continue;
			EXPECT_GT(read(fd, bytes, sizeof(bytes)), 0);
			request(fd);
			answered++;
		}
		return answered >= 20 * nOperators;
	});
	EXPECT_GE(answered, 20 * nOperators);
	EXPECT_GE(rig.reports, answered / maxMessagesBefore);
	for (int fd : fds)
		close(fd);
}

/// Guards against the loss of a gateway's last messages, such as the usage that
/// it counted: they have arrived, but wait when its connection ends.
TEST(LinkPriority, MessagesBeforeTheEndOfALinkAreHandled)
{
	BusyGateways rig;
	const int perLink = 20;
	int last = 0;
	int downAtLast = 0;

	rig.add(WIRE_ROLE_ENTRY);
	rig.until([&] { return rig.up > nGateways; });
	rig.onMessage = [&](int peer, const struct wire_msg &) {
		if (peer != nGateways) {
			rig.goOn(peer);
			return;
		}
		last++;
		downAtLast = rig.down;
	};
	for (int i = 0; i < perLink; i++)
		rig.report(nGateways);
	ASSERT_EQ(shutdown(rig.fds.back(), SHUT_WR), 0);
	rig.until([&] { return rig.down > 0; });
	EXPECT_EQ(rig.down, 1);
	EXPECT_EQ(last, perLink);
	EXPECT_EQ(downAtLast, 0);
}

/// Guards against a link that isn't read any more: what waits there is limited,
/// and a message may be longer than that.
TEST(LinkPriority, MessagesOfAnyLengthAreHandled)
{
	const size_t bytes = 300 << 10;
	LinkRig rig(1);
	int whole = 0;

	rig.onMessage = [&](int, const struct wire_msg &msg) {
		whole += msg.payload.len == bytes;
	};
	const int buffer = 1 << 20;

	ASSERT_EQ(setsockopt(rig.fds[0], SOL_SOCKET, SO_SNDBUF, &buffer,
		      sizeof(buffer)),
	    0);
	for (int i = 1; i <= 4; i++) {
		rig.report(0, bytes);
		rig.until([&] { return whole == i; });
		ASSERT_EQ(whole, i);
	}
	for (int i = 0; i < 20; i++)
		rig.report(0, bytes / 10);
	rig.report(0, bytes);
	rig.until([&] { return whole == 5; });
	EXPECT_EQ(whole, 5);
}

/// Guards against a reply that waits for a turn of the loop, and against one
/// that overtakes what couldn't be sent at once.
TEST(LinkPriority, MessagesAreSentAtOnceAndInOrder)
{
	const std::vector<size_t> lengths = { 3, 3 << 20, 5, 7 };
	LinkRig rig(1);
	const int fd = rig.fds[0];
	std::vector<uint8_t> in(8 << 20);
	size_t n = 0;
	size_t sent = 0;
	const uint64_t before = transport_bytes_sent(rig.links);
	std::vector<size_t> got;

	rig.until([&] { return has_input(fd); });
	ASSERT_GT(read(fd, in.data(), in.size()), 0);
	for (size_t len : lengths) {
		const std::vector<uint8_t> body(len, static_cast<uint8_t>(len));
		struct wire_msg msg = {};

		msg.kind = WIRE_CONTROL_STATUS;
		msg.payload.data = body.data();
		msg.payload.len = len;
		ASSERT_TRUE(transport_send(rig.links, rig.newest, &msg));
		sent = transport_bytes_sent(rig.links);
		EXPECT_TRUE(has_input(fd));
	}
	sent -= before;
	rig.until([&] {
		while (has_input(fd) && n < sent)
			n += static_cast<size_t>(
			    read(fd, in.data() + n, in.size() - n));
		return n == sent;
	});
	ASSERT_EQ(n, sent);
	for (size_t at = 0; at + 4 <= n;) {
		struct wire_msg msg;
		uint32_t len;

		memcpy(&len, in.data() + at, sizeof(len));
		len = ntohl(len);
		ASSERT_LE(at + 4 + len, n);
		ASSERT_EQ(
		    wire_decode(in.data() + at + 4, len, &msg), STATUS_OK);
		got.push_back(msg.payload.len);
		at += 4 + len;
	}
	EXPECT_EQ(got, lengths);
}

/// Guards against a process whose memory one peer fills: what was read ahead of
/// its messages is limited, and the rest stays in the sockets.
TEST(LinkPriority, MessagesAreNotReadFarAhead)
{
	const size_t socketBytes = 16 << 20; ///< more than both sockets hold
	const std::vector<uint8_t> body(100);
	LinkRig rig(1);
	struct wire_msg msg = {};
	uint8_t *bytes;
	size_t len;
	size_t handled = 0;
	size_t written = 0;
	int rounds = 0;

	msg.kind = WIRE_GATEWAY_REPORT;
	msg.payload.data = body.data();
	msg.payload.len = body.size();
	wire_encode(&msg, &bytes, &len);
	rig.onMessage = [&](int, const struct wire_msg &) {
		handled++;
		event_base_loopbreak(loop_event_base(rig.loop));
	};
	rig.until([&] {
		// A message that fits in part goes on in the next round.
		for (ssize_t n = 1; n > 0;) {
			const size_t at = written % len;

			n = send(
			    rig.fds[0], bytes + at, len - at, MSG_DONTWAIT);
			written += n > 0 ? static_cast<size_t>(n) : 0;
		}
		return ++rounds == 15000;
	});
	EXPECT_GT(handled, 1000U);
	EXPECT_LT(written - handled * len, socketBytes);
	g_free(bytes);
}
