#include <gtest/gtest.h>

extern "C" {
#include "wire/transport.h"
}

#include <glib.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace
{

/// A transport over real sockets, with a clock that the test advances.
struct TestTransport {
	uint64_t now = USEC_PER_SEC;
	/// Hellos that came; those with a field for the address are refused.
	std::vector<struct wire_hello> hellos;
	bool isOld = false;
	struct event_base *base = event_base_new();
	struct timerq *timers;
	struct transport *links;

	explicit TestTransport(const char *host = "")
	{
		const struct timerq_source source = {
			.now_us =
			    [](void *arg) {
				    return static_cast<TestTransport *>(arg)
					->now;
			    },
			.wake_at = [](void *, uint64_t) {},
			.arg = this,
		};
		struct transport_config config = {};

		timers = timerq_new(&source);
		config.base = base;
		config.timers = timers;
		config.max_queue_bytes = 1 << 20;
		config.self.role = WIRE_ROLE_CONTROL;
		g_strlcpy(config.self.deployment, "fleet", WIRE_NAME_BYTES);
		g_strlcpy(config.self.host, host, WIRE_NAME_BYTES);
		config.callbacks.arg = this;
		config.callbacks.up = onUp;
		config.callbacks.down = [](void *, handle_t,
					    const struct wire_hello *) {};
		links = transport_new(&config);
	}

	~TestTransport()
	{
		transport_free(links);
		timerq_free(timers);
		event_base_free(base);
	}

	static void onUp(
	    void *arg, handle_t link, const struct wire_hello *hello)
	{
		auto *t = static_cast<TestTransport *>(arg);

		t->hellos.push_back(*hello);
		if (t->isOld && hello->host[0] != 0 && !hello->hides_host)
			transport_close(t->links, link);
	}

	void advance(uint64_t us)
	{
		now += us;
		timerq_run(timers);
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
};

/// A listener whose backlog is full, so the kernel drops further connection
/// attempts without a response.
struct FullBacklog {
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	std::vector<int> fillers;
	uint16_t port;

	FullBacklog()
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(fd, reinterpret_cast<struct sockaddr *>(&address), len);
		listen(fd, 0);
		getsockname(
		    fd, reinterpret_cast<struct sockaddr *>(&address), &len);
		port = ntohs(address.sin_port);
		for (int i = 0; i < 8; i++) {
			fillers.push_back(
			    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
			(void)connect(fillers.back(),
			    reinterpret_cast<struct sockaddr *>(&address), len);
		}
	}

	~FullBacklog()
	{
		for (int f : fillers)
			close(f);
		close(fd);
	}
};

} // namespace

/// Guards against a connection to a VM that is just starting taking a second:
/// its first packet is lost, and the kernel retransmits only after a second.
TEST(Links, RedialsSoonWithoutAResponse)
{
	TestTransport t;
	FullBacklog peer;

	ASSERT_NE(transport_dial(t.links, "127.0.0.1", peer.port), HANDLE_NONE);
	t.advance(50 * USEC_PER_MSEC);
	EXPECT_EQ(transport_dials(t.links), 1U);
	t.advance(60 * USEC_PER_MSEC);
	t.advance(60 * USEC_PER_MSEC);
	EXPECT_EQ(transport_dials(t.links), 2U);
	for (int i = 0; i < 33; i++)
		t.advance(10 * USEC_PER_MSEC);
	EXPECT_EQ(transport_dials(t.links), 3U);
}

/// Guards against a missing backoff: a peer that never responds must not be
/// dialled continuously.
TEST(Links, BacksOffFromAnAbsentPeer)
{
	TestTransport t;
	FullBacklog peer;

	ASSERT_NE(transport_dial(t.links, "127.0.0.1", peer.port), HANDLE_NONE);
	for (int i = 0; i < 1000; i++)
		t.advance(10 * USEC_PER_MSEC);
	EXPECT_LE(transport_dials(t.links), 13U);
	EXPECT_GE(transport_dials(t.links), 8U);
}

/// Guards against a control process that no older one links to: those before
/// addresses in hellos close the link for the field.
TEST(Links, AHelloThatIsRefusedHidesTheAddress)
{
	TestTransport t("10.64.0.1");
	TestTransport old;
	struct sockaddr_in address = {};
	socklen_t len = sizeof(address);
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	handle_t link;

	old.isOld = true;
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, reinterpret_cast<struct sockaddr *>(&address), len);
	getsockname(fd, reinterpret_cast<struct sockaddr *>(&address), &len);
	close(fd);
	ASSERT_EQ(
	    transport_listen(old.links, "127.0.0.1", ntohs(address.sin_port)),
	    STATUS_OK);
	link = transport_dial(t.links, "127.0.0.1", ntohs(address.sin_port));
	for (int i = 0; i < 300; i++) {
		t.advance(10 * USEC_PER_MSEC);
		old.advance(10 * USEC_PER_MSEC);
	}
	EXPECT_TRUE(transport_is_up(t.links, link));
	ASSERT_EQ(old.hellos.size(), 2U);
	EXPECT_FALSE(old.hellos[0].hides_host);
	EXPECT_TRUE(old.hellos[1].hides_host);
	EXPECT_STREQ(old.hellos[1].deployment, "fleet");
	EXPECT_STREQ(old.hellos[1].host, "10.64.0.1");
}
