#include <gtest/gtest.h>

extern "C" {
#include "wire/transport.h"
}

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace
{

/// Links over real sockets, with time driven by hand.
struct Links {
	uint64_t now = USEC_PER_SEC;
	struct event_base *base = event_base_new();
	struct timerq *timers;
	struct transport *links;

	Links()
	{
		const struct timerq_source source = {
			.now_us =
			    [](void *arg) {
				    return static_cast<Links *>(arg)->now;
			    },
			.wake_at = [](void *, uint64_t) {},
			.arg = this,
		};
		struct transport_config config = {};

		timers = timerq_new(&source);
		config.base = base;
		config.timers = timers;
		config.max_queue_bytes = 1 << 20;
		config.callbacks.up = [](void *, handle_t,
					  const struct wire_hello *) {};
		config.callbacks.down = [](void *, handle_t,
					    const struct wire_hello *) {};
		links = transport_new(&config);
	}

	~Links()
	{
		transport_free(links);
		timerq_free(timers);
		event_base_free(base);
	}

	void pass(uint64_t us)
	{
		now += us;
		timerq_run(timers);
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
};

/// A listener whose queue is full: the kernel drops what would connect.
struct Silent {
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	std::vector<int> fillers;
	uint16_t port;

	Silent()
	{
		struct sockaddr_in at = {};
		socklen_t len = sizeof(at);

		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(fd, reinterpret_cast<struct sockaddr *>(&at), len);
		listen(fd, 0);
		getsockname(fd, reinterpret_cast<struct sockaddr *>(&at), &len);
		port = ntohs(at.sin_port);
		for (int i = 0; i < 8; i++) {
			fillers.push_back(
			    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
			(void)connect(fillers.back(),
			    reinterpret_cast<struct sockaddr *>(&at), len);
		}
	}

	~Silent()
	{
		for (int f : fillers)
			close(f);
		close(fd);
	}
};

} // namespace

/// The first packet to a VM that starts at that moment is lost; waiting for
/// the kernel to send it again would cost a second.
TEST(Links, DialAgainSoonWhereNothingAnswers)
{
	Links l;
	Silent peer;

	ASSERT_NE(transport_dial(l.links, "127.0.0.1", peer.port), HANDLE_NONE);
	l.pass(50 * USEC_PER_MSEC);
	EXPECT_EQ(transport_dials(l.links), 1U);
	l.pass(60 * USEC_PER_MSEC);
	l.pass(60 * USEC_PER_MSEC);
	EXPECT_EQ(transport_dials(l.links), 2U);
	for (int i = 0; i < 33; i++)
		l.pass(10 * USEC_PER_MSEC);
	EXPECT_EQ(transport_dials(l.links), 3U);
}

/// A peer that stays away isn't dialled all the time.
TEST(Links, DialsOfAnAbsentPeerStayRare)
{
	Links l;
	Silent peer;

	ASSERT_NE(transport_dial(l.links, "127.0.0.1", peer.port), HANDLE_NONE);
	for (int i = 0; i < 1000; i++)
		l.pass(10 * USEC_PER_MSEC);
	EXPECT_LE(transport_dials(l.links), 13U);
	EXPECT_GE(transport_dials(l.links), 8U);
}
