#include <gtest/gtest.h>

extern "C" {
#include "back/httpc_internal.h"
}

#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <event2/bufferevent.h>
#include <event2/bufferevent_struct.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fcntl.h>
#include <malloc.h>
#include <netinet/in.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

/// A client, and a listening socket that records what arrives.
struct Peer {
	struct event_base *base = event_base_new();
	struct httpc *client = httpc_new(base);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	uint16_t port = 0;
	int n_ends = 0;
	enum status status = STATUS_OK;
	enum verdict verdict = VERDICT_RAN;

	Peer()
	{
		struct sockaddr_in at = {};
		socklen_t len = sizeof(at);

		(void)signal(SIGPIPE, SIG_IGN);
		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(
		    bind(listener, reinterpret_cast<struct sockaddr *>(&at),
			sizeof(at)),
		    0);
		const struct timeval patience = { 2, 0 };

		EXPECT_EQ(listen(listener, 32), 0);
		(void)setsockopt(listener, SOL_SOCKET, SO_RCVTIMEO, &patience,
		    sizeof(patience));
		EXPECT_EQ(getsockname(listener,
			      reinterpret_cast<struct sockaddr *>(&at), &len),
		    0);
		port = ntohs(at.sin_port);
	}

	~Peer()
	{
		httpc_free(client);
		event_base_free(base);
		close(listener);
	}

	std::string body;   ///< of the last response
	std::string header; ///< of the last response: "A"
	std::string content_type;
	size_t n_headers = 0; ///< of the last response
	int http_status = 0;  ///< of the last response
	uint64_t n_data = 0;  ///< bytes given to on_data
	bool discard = false;
	uint64_t connect_us = 0; ///< 0: no limit
	bool cancel = false;     ///< the call, within its own on_end
	bool again = false;      ///< sends another call before that

	/// Gets what a server sends, as a whole or as it comes.
	void get(bool stream, size_t max_body, uint64_t timeout_us = 2000000)
	{
		struct httpc_request r = {};

		r.method = "GET";
		r.host = "127.0.0.1";
		r.port = port;
		r.path = "/";
		r.timeout_us = timeout_us;
		r.connect_us = connect_us;
		r.max_body = max_body;
		if (stream)
			r.on_data = [](void *arg, const uint8_t *, size_t len) {
				static_cast<Peer *>(arg)->n_data += len;
			};
		r.on_end = [](void *arg, const struct httpc_result *result) {
			auto *p = static_cast<Peer *>(arg);

			p->n_ends++;
			p->status = result->status;
			p->verdict = result->verdict;
			p->http_status = result->http_status;
			const char *a =
			    httpc_response_header(p->client, p->handle, "A");
			p->header = a != nullptr ? a : "";
			p->content_type = result->content_type;
			p->n_headers = 0;
			httpc_foreach_response_header(
			    p->client, p->handle,
			    [](void *n, const char *, const char *) {
				    ++*static_cast<size_t *>(n);
			    },
			    &p->n_headers);
			p->body.assign(
			    reinterpret_cast<const char *>(result->body),
			    result->len);
			if (p->discard)
				httpc_discard(p->client, p->handle);
			const handle_t ended = p->handle;

			if (p->again)
				p->get(false, 0);
			p->again = false;
			httpc_set_retained(p->client, ended, 1);
			if (p->cancel)
				httpc_cancel(p->client, ended);
		};
		r.arg = this;
		handle = httpc_send(client, &r);
		ASSERT_NE(handle, HANDLE_NONE);
	}

	handle_t handle = HANDLE_NONE;

	/// Serves a head and then the same bytes without an end, until the
	/// client closes or has got far too many.
	///
	/// @return bytes that the client took
	size_t flood(const std::string &head, const std::string &bytes)
	{
		const size_t most = 64 << 20;
		const int fd = accept(listener, nullptr, nullptr);
		std::string all = head;
		size_t sent = 0;

		(void)fcntl(fd, F_SETFL, O_NONBLOCK);
		while (all.size() < 65536)
			all += bytes;
		for (int idle = 0; idle < 400 && sent < most && n_ends == 0;) {
			const ssize_t n =
			    ::send(fd, all.data(), all.size(), MSG_NOSIGNAL);

			if (n > 0) {
				sent += static_cast<size_t>(n);
				all = all.substr(static_cast<size_t>(n));
				while (all.size() < 65536)
					all += bytes;
			} else if (n < 0 && errno != EAGAIN) {
				break;
			} else {
				idle++;
				(void)usleep(1000);
			}
			(void)event_base_loop(base, EVLOOP_NONBLOCK);
		}
		(void)event_base_loop(base, EVLOOP_NONBLOCK);
		// The client has closed: the rest is refused.
		for (int i = 0; i < 3 && !closed; i++) {
			closed = ::send(fd, "x", 1, MSG_NOSIGNAL) < 0 &&
			    errno != EAGAIN;
			(void)event_base_loop(base, EVLOOP_NONBLOCK);
			(void)usleep(10000);
		}
		close(fd);
		return sent;
	}

	bool closed = false; ///< by the client

	/// Writes a response on a connection without reading the request.
	void answer(int fd, const std::string &text)
	{
		const std::string all = "HTTP/1.1 200 OK\r\nContent-Length: " +
		    std::to_string(text.size()) + "\r\n\r\n" + text;

		ASSERT_EQ(::send(fd, all.data(), all.size(), MSG_NOSIGNAL),
		    static_cast<ssize_t>(all.size()));
	}

	void send(bool expires, uint64_t expires_from_us = 0)
	{
		struct httpc_request r = {};

		r.method = "POST";
		r.host = "127.0.0.1";
		r.port = port;
		r.path = "/scale";
		r.body = reinterpret_cast<const uint8_t *>("{}");
		r.len = 2;
		r.timeout_us = 50000;
		r.expires = expires;
		r.expires_from_us = expires_from_us;
		r.on_end = [](void *arg, const struct httpc_result *result) {
			auto *p = static_cast<Peer *>(arg);

			p->n_ends++;
			p->status = result->status;
			p->verdict = result->verdict;
		};
		r.arg = this;
		ASSERT_NE(httpc_send(client, &r), HANDLE_NONE);
	}

	void run()
	{
		for (int i = 0; i < 20; i++) {
			(void)event_base_loop(base, EVLOOP_NONBLOCK);
			(void)usleep(10000);
		}
	}

	/// All bytes that arrive on the next connection until it ends.
	std::string received()
	{
		std::string all;
		char buf[512];
		const int fd = accept(listener, nullptr, nullptr);
		ssize_t n;

		while ((n = read(fd, buf, sizeof(buf))) > 0)
			all.append(buf, static_cast<size_t>(n));
		close(fd);
		return all;
	}
};

} // namespace

/// A process that is suspended while it connects must not send the request
/// after its time when it goes on, although its timer hasn't run yet.
TEST(Client, ExpiredRequestIsNotSent)
{
	Peer p;

	p.send(true);
	(void)usleep(100000);
	p.run();
	EXPECT_EQ(p.n_ends, 1);
	EXPECT_EQ(p.status, STATUS_TIMEOUT);
	EXPECT_EQ(p.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(p.received(), "");
}

/// A process is suspended after it has seen that it may make a call, and before
/// it makes it: the call's time counts from what it saw.
TEST(Client, RequestThatExpiredBeforeItWasMadeIsNotSent)
{
	struct timespec now;
	Peer p;

	(void)clock_gettime(CLOCK_BOOTTIME, &now);
	p.send(true,
	    static_cast<uint64_t>(now.tv_sec) * 1000000 +
		static_cast<uint64_t>(now.tv_nsec) / 1000 - 60000);
	p.run();
	EXPECT_EQ(p.n_ends, 1);
	EXPECT_EQ(p.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(p.received(), "");
}

TEST(Client, RequestIsSentInTime)
{
	Peer p;

	p.send(true);
	p.run();
	EXPECT_EQ(p.n_ends, 1);
	EXPECT_EQ(p.status, STATUS_TIMEOUT);
	EXPECT_EQ(p.verdict, VERDICT_MAY_HAVE_RUN);
	EXPECT_NE(p.received().find("POST /scale"), std::string::npos);
}

/// A server in trouble may send bytes without an end, in a head or a body. They
/// must take bounded memory, and end with the connection.
TEST(Client, EndlessHeadEndsTheCall)
{
	for (const char *bytes : { "x", "a: b\r\n", "\r\n" }) {
		Peer p;

		p.get(false, 1 << 20);
		EXPECT_LT(p.flood("HTTP/1.1 200 OK\r\n", bytes), 16U << 20);
		EXPECT_EQ(p.n_ends, 1) << bytes;
		EXPECT_TRUE(p.closed) << bytes;
	}
}

/// A server that sent interim responses without an end took a gateway to 2 GB
/// with one request; one that never ends a chunk's line, to 2 MB a request.
TEST(Client, EndlessPartsOfAResponseEndTheCall)
{
	const std::string chunked =
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
	const struct {
		std::string head, bytes;
	} cases[] = {
		{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" },
		{ chunked, "0" },
		{ chunked + "1;", "x" },
		{ chunked + "0\r\n", "A: b\r\n" },
		{ "HTTP/1.1 200 ", "x" },
	};

	for (const auto &c : cases) {
		for (const bool stream : { false, true }) {
			Peer p;

			p.get(stream, 1 << 20);
			// The kernel's buffers of both sides are part of it.
			EXPECT_LT(p.flood(c.head, c.bytes), 12U << 20)
			    << c.head << c.bytes;
			EXPECT_EQ(p.n_ends, 1) << c.head << c.bytes;
			EXPECT_EQ(p.status, STATUS_IO) << c.head << c.bytes;
			EXPECT_TRUE(p.closed) << c.head << c.bytes;
		}
	}
}

TEST(Client, BytesThatAreNoResponseEndTheCall)
{
	Peer p;

	p.get(false, 1 << 20);
	EXPECT_LT(p.flood("", "noise"), 16U << 20);
	EXPECT_EQ(p.n_ends, 1);
	EXPECT_NE(p.status, STATUS_OK);
	EXPECT_TRUE(p.closed);
}

TEST(Client, EndlessBodyEndsTheCall)
{
	for (const char *head : { "HTTP/1.1 200 OK\r\n\r\n",
		 "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n" }) {
		Peer p;

		p.get(false, 1 << 20);
		EXPECT_LT(p.flood(head, "body"), 16U << 20) << head;
		EXPECT_EQ(p.n_ends, 1) << head;
		EXPECT_NE(p.status, STATUS_OK) << head;
		EXPECT_TRUE(p.closed) << head;
	}
}

TEST(Client, EndlessChunksEndTheCall)
{
	Peer p;

	p.get(false, 1 << 20);
	EXPECT_LT(p.flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
			  "chunked\r\n\r\n",
		      "4\r\nbody\r\n"),
	    16U << 20);
	EXPECT_EQ(p.n_ends, 1);
	EXPECT_NE(p.status, STATUS_OK);
	EXPECT_TRUE(p.closed);
}

/// A second copy of a response comes before the next request, and one comes
/// after it. Neither may become the response to another request.
TEST(Client, LateCopyOfAResponseIsGivenToNobody)
{
	Peer p;

	p.get(false, 0);
	(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
	const int first = accept(p.listener, nullptr, nullptr);
	p.answer(first, "one");
	p.run();
	ASSERT_EQ(p.body, "one");
	p.answer(first, "one");
	p.run();
	p.get(false, 0);
	(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
	const int second = accept(p.listener, nullptr, nullptr);
	ASSERT_GE(second, 0);
	p.answer(second, "two");
	p.run();
	EXPECT_EQ(p.n_ends, 2);
	EXPECT_EQ(p.body, "two");
	close(first);
	close(second);
}

TEST(Client, DiscardedConnectionIsNotUsedAgain)
{
	Peer p;

	p.discard = true;
	p.get(false, 0);
	(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
	const int first = accept(p.listener, nullptr, nullptr);
	p.answer(first, "another's");
	p.run();
	p.get(false, 0);
	(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
	const int second = accept(p.listener, nullptr, nullptr);
	ASSERT_GE(second, 0);
	p.answer(second, "two");
	p.run();
	EXPECT_EQ(p.body, "two");
	close(first);
	close(second);
}

/// Each framing of a body that breaks off; the end of the connection is the end
/// of a body without a length only if it isn't a reset.
TEST(Client, BrokenOffBodyIsNoSuccess)
{
	const struct {
		const char *text;
		bool reset;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "4\r\nhalf\r\n",
		    false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "8\r\nhalf",
		    false },
		{ "HTTP/1.1 200 OK\r\n\r\nhalf", true },
		{ "HTTP/1.1 200 OK\r\nContent-Len", false },
	};

	for (const auto &c : cases) {
		const struct linger now = { 1, 0 };
		Peer p;

		p.get(false, 0);
		(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
		const int fd = accept(p.listener, nullptr, nullptr);
		(void)::send(fd, c.text, strlen(c.text), MSG_NOSIGNAL);
		p.run();
		if (c.reset)
			(void)setsockopt(
			    fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		close(fd);
		p.run();
		EXPECT_EQ(p.n_ends, 1) << c.text;
		EXPECT_NE(p.status, STATUS_OK) << c.text;
		EXPECT_EQ(p.verdict, VERDICT_MAY_HAVE_RUN) << c.text;
	}
}

/// A connection that was reset after the request had been sent was taken for
/// one that could not be made, if the reset was seen only by the timer of the
/// connecting: the request would have run twice.
TEST(Client, ResetAfterTheRequestWasSentIsNoFailureToConnect)
{
	for (const bool has_response : { false, true }) {
		const struct linger now = { 1, 0 };
		const std::string part =
		    "HTTP/1.1 200 OK\r\n\r\n" + std::string(9000, 'x');
		char request[512];
		Peer p;

		p.connect_us = 100000;
		p.get(true, 0);
		const int fd = accept(p.listener, nullptr, nullptr);
		(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
		ASSERT_GT(read(fd, request, sizeof(request)), 0);
		if (has_response)
			(void)::send(
			    fd, part.data(), part.size(), MSG_NOSIGNAL);
		(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		close(fd);
		// The client gets no processor until its timer is due.
		(void)usleep(120000);
		p.run();
		EXPECT_EQ(p.n_ends, 1);
		EXPECT_EQ(p.verdict, VERDICT_MAY_HAVE_RUN) << has_response;
	}
}

/// A head that no HTTP/1.1 response can have was passed on as a response, with
/// a status that the server didn't send.
TEST(Client, HeadThatIsNoneEndsTheCall)
{
	const char *heads[] = { "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 99 Low\r\n",
		"HTTP/1.1 600 High\r\n", "HTTP/1.1 -1 Low\r\n",
		"HTTP/1.1 20 OK\r\n", "HTTP/1.1 2x0 OK\r\n",
		"HTTP/1.1 200OK\r\n", "HTTP/2.0 200 OK\r\n",
		"HTTP/1.1  200 OK\r\n", "ICY 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nA b: c\r\n", "HTTP/1.1 200 OK\r\n: c\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n folded: c\r\n",
		"HTTP/1.1 200 OK\r\nA: b\x01\r\n" };

	for (const char *head : heads) {
		for (const bool stream : { false, true }) {
			Peer p;

			p.get(stream, 0);
			(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
			const int fd = accept(p.listener, nullptr, nullptr);
			const std::string text =
			    std::string(head) + "Content-Length: 2\r\n\r\nno";
			(void)::send(
			    fd, text.data(), text.size(), MSG_NOSIGNAL);
			p.run();
			EXPECT_EQ(p.n_ends, 1) << head;
			EXPECT_EQ(p.status, STATUS_IO) << head;
			EXPECT_EQ(p.verdict, VERDICT_MAY_HAVE_RUN) << head;
			EXPECT_EQ(p.n_data, 0U) << head;
			close(fd);
		}
	}
}

/// An interim response was taken for the response (103), and its headers for
/// those of the response (100).
TEST(Client, InterimResponsesAreSkipped)
{
	const std::string text =
	    "HTTP/1.1 103 Early Hints\r\nA: hint\r\nContent-Length: 9\r\n"
	    "\r\nHTTP/1.1 100 Continue\r\nA: go\r\n\r\n"
	    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes";

	for (const size_t step : { text.size(), size_t{ 7 } }) {
		Peer p;

		p.get(false, 0);
		(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
		const int fd = accept(p.listener, nullptr, nullptr);
		for (size_t at = 0; at < text.size(); at += step) {
			(void)::send(fd, text.data() + at,
			    std::min(step, text.size() - at), MSG_NOSIGNAL);
			(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
		}
		p.run();
		EXPECT_EQ(p.n_ends, 1);
		EXPECT_EQ(p.status, STATUS_OK);
		EXPECT_EQ(p.http_status, 200);
		EXPECT_EQ(p.body, "yes");
		EXPECT_EQ(p.header, "");
		close(fd);
	}
}

/// Of two lengths the first one counted, and a length beside chunks was
/// ignored: what the caller got depended on whom it asked.
TEST(Client, AmbiguousFramingEndsTheCall)
{
	for (const char *fields :
	    { "Content-Length: 2\r\nContent-Length: 3\r\n\r\nyes",
		"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
		"1\r\ny\r\n0\r\n\r\n",
		"Transfer-Encoding: gzip\r\n\r\nyes",
		"Content-Length: 2x\r\n\r\nyes" }) {
		Peer p;

		p.get(false, 0);
		(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
		const int fd = accept(p.listener, nullptr, nullptr);
		const std::string text =
		    std::string("HTTP/1.1 200 OK\r\n") + fields;
		(void)::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
		p.run();
		close(fd);
		p.run();
		EXPECT_EQ(p.n_ends, 1) << fields;
		EXPECT_EQ(p.status, STATUS_IO) << fields;
	}
}

/// A body without a length or chunks ends with its connection, whatever the
/// Connection header says; it was passed on as complete and empty.
TEST(Client, BodyThatEndsWithItsConnection)
{
	for (const char *field :
	    { "", "Connection: close\r\n", "Connection: close, x\r\nx: y\r\n",
		"Connection: keep-alive\r\n",
		"Connection: x\r\nConnection: close\r\n" }) {
		Peer p;

		p.get(false, 0);
		(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
		const int fd = accept(p.listener, nullptr, nullptr);
		const std::string text = std::string("HTTP/1.1 200 OK\r\n") +
		    field + "A: b\r\n\r\nyes";
		char request[512];
		(void)::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
		p.run();
		// Closing with unread bytes would reset the connection.
		EXPECT_GT(read(fd, request, sizeof(request)), 0);
		EXPECT_EQ(p.n_ends, 0) << field;
		close(fd);
		p.run();
		EXPECT_EQ(p.n_ends, 1) << field;
		EXPECT_EQ(p.status, STATUS_OK) << field;
		EXPECT_EQ(p.body, "yes") << field;
		EXPECT_EQ(p.header, "b") << field;
	}
}

/// Guards against the library's limit of 50 s between two bytes, which ended
/// calls that may take longer. It stays for idle connections.
TEST(Client, OnlyIdleConnectionsHaveTheLibrarysLimit)
{
	Peer p;

	p.get(false, 0, 100 * G_USEC_PER_SEC);
	(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
	const int fd = accept(p.listener, nullptr, nullptr);
	const auto *call = static_cast<const struct httpc_active *>(
	    slotmap_get(p.client->calls, p.handle));
	ASSERT_NE(call, nullptr);
	const struct bufferevent *bev =
	    evhttp_connection_get_bufferevent(call->conn->evcon);
	p.run();
	EXPECT_GT(bev->timeout_read.tv_sec, 100);
	p.answer(fd, "yes");
	p.run();
	EXPECT_EQ(p.n_ends, 1);
	EXPECT_EQ(bev->timeout_read.tv_sec, 50);
	close(fd);
}

/// A call for which no descriptor is left isn't started: its owner is told so
/// by httpc_send() alone. A callback as well had ended it twice.
TEST(Client, CallWithoutADescriptorHasNoCallback)
{
	Peer p;
	struct httpc_request r = {};
	struct rlimit before;

	r.method = "GET";
	r.host = "127.0.0.1";
	r.port = p.port;
	r.path = "/";
	r.on_end = [](void *arg, const struct httpc_result *) {
		static_cast<Peer *>(arg)->n_ends++;
	};
	r.arg = &p;
	ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
	const struct rlimit none = { static_cast<rlim_t>(p.listener),
		before.rlim_max };
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
	EXPECT_EQ(httpc_send(p.client, &r), HANDLE_NONE);
	(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
	EXPECT_EQ(p.n_ends, 0);
	EXPECT_NE(httpc_send(p.client, &r), HANDLE_NONE);
}

/// Fields after the last chunk are no headers of the response: one of them
/// could say that the request hasn't run.
TEST(Client, TrailersAreNoHeaders)
{
	const std::string text =
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "3\r\nyes\r\n0\r\nA: late\r\nContent-Type: x/y\r\n\r\n";

	for (const size_t step : { text.size(), size_t{ 7 } }) {
		Peer p;

		p.get(false, 0);
		(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
		const int fd = accept(p.listener, nullptr, nullptr);
		for (size_t at = 0; at < text.size(); at += step) {
			(void)::send(fd, text.data() + at,
			    std::min(step, text.size() - at), MSG_NOSIGNAL);
			(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
		}
		p.run();
		EXPECT_EQ(p.n_ends, 1);
		EXPECT_EQ(p.status, STATUS_OK);
		EXPECT_EQ(p.body, "yes");
		EXPECT_EQ(p.header, "");
		EXPECT_EQ(p.content_type, "");
		EXPECT_EQ(p.n_headers, 1U);
		close(fd);
	}
}

/// Responses within their own limits took more memory than the process has when
/// many came at once. The largest ones are given up, and small ones aren't.
TEST(Client, ResponsesTogetherHaveABound)
{
	for (const bool stream : { false, true }) {
		Peer p;
		std::vector<int> fds;
		const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
		const std::string large(100000, 'x');

		httpc_set_max_held(p.client, 1 << 20);
		for (int i = 0; i < 20; i++) {
			p.get(stream, 4 << 20);
			(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
			fds.push_back(accept(p.listener, nullptr, nullptr));
			const std::string text = head + (i == 0 ? "small" : "");
			(void)::send(
			    fds[i], text.data(), text.size(), MSG_NOSIGNAL);
		}
		p.run();
		ASSERT_EQ(p.n_ends, 0);
		for (int round = 0; round < 2; round++) {
			for (int i = 1; i < 20; i++)
				(void)::send(fds[i], large.data(), large.size(),
				    MSG_NOSIGNAL | MSG_DONTWAIT);
			p.run();
			EXPECT_LE(httpc_held_bytes(p.client), 1U << 20);
		}
		if (stream) {
			// Nothing is kept, so nothing has to be given up.
			EXPECT_EQ(p.n_ends, 0);
		} else {
			EXPECT_GE(p.n_ends, 9);
			EXPECT_LE(p.n_ends, 15);
			EXPECT_EQ(p.status, STATUS_IO);
		}
		p.body = "";
		char request[512];
		(void)read(fds[0], request, sizeof(request));
		const int before = p.n_ends;
		close(fds[0]);
		p.run();
		EXPECT_EQ(p.n_ends, before + 1);
		EXPECT_EQ(p.status, STATUS_OK);
		EXPECT_EQ(p.body, stream ? "" : "small");
		for (int i = 1; i < 20; i++)
			close(fds[i]);
	}
}

/// Guards against a connection with two owners: a call that was cancelled
/// within its on_end freed its connection, which the pool had by then, or
/// another call.
TEST(Client, ACallThatEndsOwnsNoConnection)
{
	for (const bool again : { false, true }) {
		Peer p;

		(void)mallopt(M_PERTURB, 0xa5);
		p.cancel = true;
		p.again = again;
		p.get(false, 0);
		(void)event_base_loop(p.base, EVLOOP_NONBLOCK);
		const int fd = accept(p.listener, nullptr, nullptr);
		p.answer(fd, "one");
		p.run();
		EXPECT_EQ(p.body, "one");
		if (!again)
			p.get(false, 0);
		p.run();
		p.answer(fd, "two");
		p.run();
		EXPECT_EQ(p.n_ends, 2);
		EXPECT_EQ(p.body, "two");
		EXPECT_EQ(httpc_connections_opened(p.client), 1U);
		EXPECT_EQ(httpc_held_bytes(p.client), 0U);
		(void)mallopt(M_PERTURB, 0);
		close(fd);
	}
}

/// A client that is released within a callback would go on with what is gone.
TEST(Client, IsNotReleasedWithinACallback)
{
	Peer p;
	struct httpc_request r = {};

	r.method = "GET";
	r.host = "127.0.0.1";
	r.port = p.port;
	r.path = "/";
	r.timeout_us = 1000;
	r.on_end = [](void *arg, const struct httpc_result *) {
		httpc_free(static_cast<Peer *>(arg)->client);
	};
	r.arg = &p;
	ASSERT_NE(httpc_send(p.client, &r), HANDLE_NONE);
	EXPECT_DEATH(p.run(), "n_callbacks");
}
