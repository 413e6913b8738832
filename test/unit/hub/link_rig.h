#ifndef TEST_UNIT_HUB_LINK_RIG_H
#define TEST_UNIT_HUB_LINK_RIG_H

#include <gtest/gtest.h>

extern "C" {
#include "loop/loop.h"
#include "wire/transport.h"
}

#include "free_port.h"

#include <event2/event.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>

#include <functional>
#include <string>
#include <vector>

/// A blocking socket that is connected to a port of the loopback address and
/// sends without delay.
inline int
connect_to(uint16_t port)
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	const int one = 1;
	struct sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	EXPECT_EQ(connect(fd, reinterpret_cast<struct sockaddr *>(&address),
		      sizeof(address)),
	    0);
	EXPECT_EQ(
	    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one)), 0);
	return fd;
}

/// A loop with a transport, and sockets of gateways that are linked to it.
struct LinkRig {
	struct loop *loop = loop_new(1);
	uint16_t port = free_port();
	struct transport *links;
	std::vector<int> fds; ///< by the number in the peer's name
	int up = 0;
	int down = 0;
	handle_t newest = HANDLE_NONE; ///< link that came up last
	/// Called for each message, with the number of its peer.
	std::function<void(int, const struct wire_msg &)> onMessage;

	explicit LinkRig(int nGateways)
	{
		struct transport_config config = {};

		config.base = loop_event_base(loop);
		config.timers = loop_timers(loop);
		config.self.role = WIRE_ROLE_CONTROL;
		g_strlcpy(config.self.deployment, "fleet", WIRE_NAME_BYTES);
		config.max_queue_bytes = 8 << 20;
		config.callbacks.arg = this;
		config.callbacks.up = [](void *arg, handle_t link,
					  const struct wire_hello *) {
			auto *rig = static_cast<LinkRig *>(arg);

			rig->up++;
			rig->newest = link;
		};
		config.callbacks.down = [](void *arg, handle_t,
					    const struct wire_hello *) {
			static_cast<LinkRig *>(arg)->down++;
		};
		config.callbacks.message = [](void *arg, handle_t,
					       const struct wire_hello *hello,
					       const struct wire_msg *msg) {
			static_cast<LinkRig *>(arg)->onMessage(
			    std::stoi(hello->node), *msg);
		};
		links = transport_new(&config);
		EXPECT_EQ(
		    transport_listen(links, "127.0.0.1", port), STATUS_OK);
		for (int i = 0; i < nGateways; i++)
			add(WIRE_ROLE_ENTRY);
		until([&] { return up == nGateways; });
		EXPECT_EQ(up, nGateways);
	}

	~LinkRig()
	{
		transport_free(links);
		for (int fd : fds)
			close(fd);
		loop_free(loop);
	}

	/// Links a peer, which is up once the loop has run.
	void add(enum wire_role role)
	{
		struct wire_msg hello = {};

		hello.kind = WIRE_HELLO;
		hello.hello.role = role;
		hello.hello.incarnation = 1;
		g_strlcpy(hello.hello.deployment, "fleet", WIRE_NAME_BYTES);
		g_snprintf(hello.hello.node, WIRE_NAME_BYTES, "%d",
		    static_cast<int>(fds.size()));
		fds.push_back(connect_to(port));
		send(static_cast<int>(fds.size()) - 1, hello);
	}

	void send(int peer, const struct wire_msg &msg) const
	{
		uint8_t *bytes;
		size_t len;

		wire_encode(&msg, &bytes, &len);
		ASSERT_EQ(write(fds[static_cast<size_t>(peer)], bytes, len),
		    static_cast<ssize_t>(len));
		g_free(bytes);
	}

	void report(int peer, size_t bytes = 0) const
	{
		const std::vector<uint8_t> body(bytes);
		struct wire_msg msg = {};

		msg.kind = WIRE_GATEWAY_REPORT;
		msg.payload.data = body.data();
		msg.payload.len = body.size();
		send(peer, msg);
	}

	/// Runs rounds of the loop until a condition holds, 20,000 at most.
	void until(const std::function<bool()> &holds) const
	{
		for (int i = 0; i < 20000 && !holds(); i++)
			event_base_loop(loop_event_base(loop), EVLOOP_NONBLOCK);
	}
};

#endif
