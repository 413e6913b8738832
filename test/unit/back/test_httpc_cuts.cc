#include <gtest/gtest.h>

extern "C" {
#include "back/httpc.h"
#include "base/rnd.h"
}

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

const char whole[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

struct Cuts;

/// Who makes a call; gone once the call has ended or is cancelled.
struct Owner {
	Cuts *cuts;
	handle_t call;
};

/// A client whose callbacks make and cancel calls, and a server whose
/// connections are cut.
struct Cuts {
	struct event_base *base = event_base_new();
	struct httpc *client = httpc_new(base);
	struct rnd *random;
	uint16_t port = 0;
	int server = listener(64, &port);
	uint16_t full_port = 0; ///< leaves callers without a connection
	int full = listener(0, &full_port);
	std::vector<int> conns;
	std::vector<int> fillers;
	std::vector<Owner *> owners;
	size_t n_ended = 0;

	explicit Cuts(uint64_t seed) : random(rnd_new(seed))
	{
		struct sockaddr_in at = {};
		socklen_t len = sizeof(at);

		(void)signal(SIGPIPE, SIG_IGN);
		(void)getsockname(
		    full, reinterpret_cast<struct sockaddr *>(&at), &len);
		for (int i = 0; i < 8; i++) {
			fillers.push_back(
			    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
			(void)connect(fillers.back(),
			    reinterpret_cast<struct sockaddr *>(&at), len);
		}
	}

	~Cuts()
	{
		release();
		cut(false);
		for (int fd : fillers)
			close(fd);
		close(server);
		close(full);
		event_base_free(base);
		rnd_free(random);
	}

	static int listener(int backlog, uint16_t *port)
	{
		const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		struct sockaddr_in at = {};
		socklen_t len = sizeof(at);

		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(fd, reinterpret_cast<struct sockaddr *>(&at),
			      sizeof(at)),
		    0);
		EXPECT_EQ(listen(fd, backlog), 0);
		(void)getsockname(
		    fd, reinterpret_cast<struct sockaddr *>(&at), &len);
		*port = ntohs(at.sin_port);
		return fd;
	}

	bool oneIn(uint64_t n)
	{
		return rnd_below(random, n) == 0;
	}

	/// Ends all connections, as a machine that ends or one that is lost.
	void cut(bool reset)
	{
		const struct linger now = { 1, 0 };

		for (int fd : conns) {
			if (reset)
				(void)setsockopt(fd, SOL_SOCKET, SO_LINGER,
				    &now, sizeof(now));
			close(fd);
		}
		conns.clear();
	}

	/// Sends as much on each connection, also on those that wait.
	void serve(size_t len)
	{
		int fd;

		while ((fd = accept4(
			    server, nullptr, nullptr, SOCK_NONBLOCK)) >= 0)
			conns.push_back(fd);
		for (int each : conns)
			(void)::send(each, whole, len, MSG_NOSIGNAL);
	}

	void forget(Owner *o)
	{
		owners.erase(std::find(owners.begin(), owners.end(), o));
		delete o;
	}

	void cancelSome()
	{
		for (size_t i = owners.size(); i > 0; i--) {
			Owner *o = owners[i - 1];

			if (o->call == HANDLE_NONE || oneIn(2))
				continue;
			httpc_cancel(client, o->call);
			forget(o);
		}
	}

	static void act(void *arg)
	{
		Cuts *cuts = static_cast<Owner *>(arg)->cuts;

		if (cuts->oneIn(4))
			cuts->cancelSome();
		if (cuts->oneIn(4) && cuts->owners.size() < 6)
			cuts->start();
	}

	static void onEnd(void *arg, const struct httpc_result *)
	{
		Cuts *cuts = static_cast<Owner *>(arg)->cuts;
		const handle_t call = static_cast<Owner *>(arg)->call;
		Owner next = { cuts, HANDLE_NONE };

		cuts->n_ended++;
		cuts->forget(static_cast<Owner *>(arg));
		act(&next);
		if (cuts->oneIn(3))
			httpc_cancel(cuts->client, call);
	}

	void start()
	{
		auto *o = new Owner{ this, HANDLE_NONE };
		struct httpc_request r = {};

		r.method = "POST";
		r.host = "127.0.0.1";
		r.port = oneIn(3) ? full_port : port;
		r.path = "/";
		r.body = reinterpret_cast<const uint8_t *>("{}");
		r.len = 2;
		r.timeout_us = 1000 + rnd_below(random, 4000);
		r.connect_us = oneIn(2) ? 1000 : 0;
		r.expires = oneIn(2);
		r.new_connection = oneIn(4);
		r.on_head = [](void *arg, int) { act(arg); };
		if (oneIn(2))
			r.on_data = [](void *arg, const uint8_t *, size_t) {
				act(arg);
			};
		r.on_end = onEnd;
		r.arg = o;
		owners.push_back(o);
		o->call = httpc_send(client, &r);
		if (o->call == HANDLE_NONE)
			forget(o);
	}

	/// As at the end of a process, whatever is in flight.
	void release()
	{
		httpc_free(client);
		for (Owner *o : owners)
			delete o;
		owners.clear();
		for (int i = 0; i < 4; i++)
			(void)event_base_loop(base, EVLOOP_NONBLOCK);
		EXPECT_EQ(event_base_get_num_events(base,
			      EVENT_BASE_COUNT_ACTIVE | EVENT_BASE_COUNT_ADDED),
		    0);
	}

	void round()
	{
		for (uint64_t n = 1 + rnd_below(random, 4); n > 0; n--)
			start();
		for (uint64_t n = rnd_below(random, 6); n > 0; n--) {
			(void)event_base_loop(base, EVLOOP_NONBLOCK);
			if (oneIn(2))
				serve(oneIn(2)
					? sizeof(whole) - 1
					: rnd_below(random, sizeof(whole)));
		}
		if (oneIn(2))
			cut(oneIn(2));
		if (oneIn(2))
			cancelSome();
		if (oneIn(8)) {
			release();
			client = httpc_new(base);
		}
		if (oneIn(4))
			(void)usleep(2000);
		(void)event_base_loop(base, EVLOOP_NONBLOCK);
	}
};

} // namespace

/// Guards against callbacks that outlive what they use: the way to a server is
/// cut in any phase of a call while others start, end and are cancelled. Each
/// owner is released at the end of its call, so that a later callback is a use
/// of released memory. Other seeds: --gtest_shuffle --gtest_random_seed=N
/// --gtest_repeat=N.
TEST(Client, CutsInAnyPhase)
{
	const auto shuffled = static_cast<uint64_t>(
	    ::testing::UnitTest::GetInstance()->random_seed());
	Cuts cuts(1 + shuffled);

	for (int i = 0; i < 500; i++)
		cuts.round();
	EXPECT_GT(cuts.n_ended, 250U);
}
