#include <gtest/gtest.h>

extern "C" {
#include "loop/loop.h"
#include "wire/transport.h"
}

#include "free_port.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace
{

/// Far more links than the loop serves before it looks for urgent messages.
const int nGateways = 64;
const int maxMessagesBefore = 16;

void
sendTo(int fd, const struct wire_msg &msg)
{
	uint8_t *bytes;
	size_t len;

	wire_encode(&msg, &bytes, &len);
	ASSERT_EQ(write(fd, bytes, len), static_cast<ssize_t>(len));
	g_free(bytes);
}

int
connectAs(int port, enum wire_role role, int i)
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in address = {};
	struct wire_msg hello = {};

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(static_cast<uint16_t>(port));
	EXPECT_EQ(connect(fd, reinterpret_cast<struct sockaddr *>(&address),
		      sizeof(address)),
	    0);
	hello.kind = WIRE_HELLO;
	hello.hello.role = role;
	hello.hello.incarnation = 1;
	g_strlcpy(hello.hello.deployment, "fleet", WIRE_NAME_BYTES);
	g_snprintf(hello.hello.node, WIRE_NAME_BYTES, "peer-%d", i);
	sendTo(fd, hello);
	return fd;
}

struct Received {
	int up = 0;
	int reports = 0;
	int reportsBeforeLog = -1; ///< -1: the log's message hasn't come
	int logLink = -1;
};

void
onMessage(
    void *arg, handle_t, const struct wire_hello *, const struct wire_msg *msg)
{
	auto *r = static_cast<Received *>(arg);

	if (msg->kind == WIRE_RAFT) {
		r->reportsBeforeLog = r->reports;
		return;
	}
	if (r->reports++ == 0) {
		struct wire_msg log = {};

		log.kind = WIRE_RAFT;
		sendTo(r->logLink, log);
	}
}

} // namespace

/// Guards against a leader that loses its lease because messages of the
/// replicated log wait until the messages of all gateways have been handled.
TEST(LinkPriority, LogDoesNotWaitForAllGateways)
{
	struct loop *l = loop_new(1);
	Received r;
	struct transport_config config = {};
	const int port = free_port();
	std::vector<int> fds;

	config.base = loop_event_base(l);
	config.timers = loop_timers(l);
	g_strlcpy(config.self.deployment, "fleet", WIRE_NAME_BYTES);
	config.max_queue_bytes = 1 << 20;
	config.callbacks.arg = &r;
	config.callbacks.up = [](void *arg, handle_t,
				  const struct wire_hello *) {
		static_cast<Received *>(arg)->up++;
	};
	config.callbacks.down = [](void *, handle_t,
				    const struct wire_hello *) {};
	config.callbacks.message = onMessage;
	struct transport *t = transport_new(&config);
	ASSERT_EQ(transport_listen(t, "127.0.0.1", static_cast<uint16_t>(port)),
	    STATUS_OK);
	for (int i = 0; i < nGateways; i++)
		fds.push_back(connectAs(port, WIRE_ROLE_ENTRY, i));
	r.logLink = connectAs(port, WIRE_ROLE_CONTROL, nGateways);
	fds.push_back(r.logLink);
	for (int i = 0; i < 1000 && r.up <= nGateways; i++)
		event_base_loop(loop_event_base(l), EVLOOP_NONBLOCK);
	ASSERT_EQ(r.up, nGateways + 1);

	for (int i = 0; i < nGateways; i++) {
		struct wire_msg report = {};

		report.kind = WIRE_GATEWAY_REPORT;
		sendTo(fds[static_cast<size_t>(i)], report);
	}
	for (int i = 0; i < 1000 && r.reports < nGateways; i++)
		event_base_loop(loop_event_base(l), EVLOOP_NONBLOCK);
	EXPECT_EQ(r.reports, nGateways);
	EXPECT_GE(r.reportsBeforeLog, 1);
	EXPECT_LE(r.reportsBeforeLog, maxMessagesBefore);

	transport_free(t);
	for (int fd : fds)
		close(fd);
	loop_free(l);
}
