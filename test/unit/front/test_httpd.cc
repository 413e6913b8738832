#include <gtest/gtest.h>

extern "C" {
#include "front/httpd.h"
}

#include <arpa/inet.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

/// A server on loopback that records each request it receives.
struct Server {
	struct event_base *base = event_base_new();
	struct httpd *f;
	uint16_t port = 0;
	std::vector<std::string> seen;
	std::string target;  ///< of the last request
	std::string headers; ///< of the last requests
	bool replies = true;
	bool streams = false;
	int status = 200;
	std::string reply = "ok";
	handle_t last = HANDLE_NONE;
	int n_gone = 0;

	explicit Server(uint32_t idleMs = 10000)
	{
		struct httpd_config config = {};

		config.base = base;
		config.max_body_bytes = 1 << 20;
		config.idle_ms = idleMs;
		config.on_request = on_request;
		config.on_disconnect = on_gone;
		config.arg = this;
		f = httpd_new(&config);
		for (port = 20000 + getpid() % 20000; port < 60000; port++) {
			if (httpd_listen(f, "127.0.0.1", port) == STATUS_OK)
				break;
		}
	}

	~Server()
	{
		httpd_free(f);
		event_base_free(base);
	}

	static void on_request(
	    void *arg, handle_t handle, const struct httpd_request *req)
	{
		auto *s = static_cast<Server *>(arg);

		s->last = handle;
		s->target = req->target;
		s->seen.push_back(std::string(req->method_name) + " " +
		    req->path + " " + req->query + " " +
		    std::string(
			reinterpret_cast<const char *>(req->body), req->len));
		httpd_foreach_header(s->f, handle, on_header, s);
		if (s->streams) {
			httpd_stream_start(s->f, handle, s->status, nullptr,
			    "text/event-stream");
			httpd_stream_data(
			    s->f, handle, s->reply.data(), s->reply.size());
			httpd_stream_end(s->f, handle);
		} else if (s->replies)
			httpd_reply(s->f, handle, s->status, nullptr,
			    "text/plain", s->reply.data(), s->reply.size());
	}

	static void on_header(void *arg, const char *name, const char *value)
	{
		static_cast<Server *>(arg)->headers +=
		    std::string(name) + "=" + value + " ";
	}

	static void on_gone(void *arg, handle_t)
	{
		static_cast<Server *>(arg)->n_gone++;
	}

	int Connect() const
	{
		const int fd = socket(AF_INET, SOCK_STREAM, 0);
		const int one = 1;
		struct sockaddr_in to = {};

		to.sin_family = AF_INET;
		to.sin_port = htons(port);
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(connect(fd, reinterpret_cast<struct sockaddr *>(&to),
			      sizeof(to)),
		    0);
		(void)setsockopt(
		    fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		return fd;
	}

	/// Runs the server's pending events.
	void Run() const
	{
		for (int i = 0; i < 3; i++)
			(void)event_base_loop(base, EVLOOP_NONBLOCK);
	}

	/// Sends bytes and waits until the server has read them.
	void Send(int fd, const std::string &text) const
	{
		ASSERT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
		    (ssize_t)text.size());
		Run();
	}

	bool closing = false; ///< the last response ends its connection

	/// Status line of the next response, whose body is skipped.
	std::string ReadResponse(int fd)
	{
		const std::string status = ReadLine(fd);
		std::string line;
		size_t len = 0;

		closing = false;
		while ((line = ReadLine(fd)) != "\r" && line != "none" &&
		    !line.empty()) {
			if (line.rfind("Content-Length: ", 0) == 0)
				len = std::stoul(line.substr(16));
			closing |= g_ascii_strcasecmp(line.c_str(),
				       "Connection: close\r") == 0;
		}
		for (; len > 0; len--) {
			char byte;

			EXPECT_EQ(recv(fd, &byte, 1, 0), 1);
		}
		return status.substr(0, status.find('\r'));
	}

	/// All that comes until nothing has come for a while.
	std::string ReadAll(int fd) const
	{
		struct pollfd p = { fd, POLLIN, 0 };
		std::string got;
		char buffer[4096];
		ssize_t n;

		Run();
		while (poll(&p, 1, 50) > 0 &&
		    (n = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
			got.append(buffer, static_cast<size_t>(n));
			Run();
		}
		return got;
	}

	/// Next line of a response, "" when the connection ended, "none" when
	/// nothing arrived in time.
	std::string ReadLine(int fd) const
	{
		std::string out;
		char byte;

		for (int i = 0; i < 400; i++) {
			struct pollfd p = { fd, POLLIN, 0 };

			Run();
			if (poll(&p, 1, 5) <= 0)
				continue;
			if (recv(fd, &byte, 1, 0) <= 0)
				return out;
			if (byte == '\n')
				return out;
			out += byte;
		}
		return "none";
	}
};

/// Guards against evhtp's parser, which rejects some request heads that arrive
/// in two parts or reads a wrong target from them.
TEST(Httpd, RequestSplitAtAnyByteIsParsedTheSame)
{
	const std::string text =
	    "POST /6q592nv7/10ee55?page=6&sort=new HTTP/1.1\r\n"
	    "Host: a.example\r\nContent-Length: 5\r\n\r\nhello";
	Server s;

	for (size_t split = 1; split < text.size(); split++) {
		const int fd = s.Connect();

		s.Run();
		s.Send(fd, text.substr(0, split));
		s.Send(fd, text.substr(split));
		EXPECT_EQ(s.ReadLine(fd).substr(0, 12), "HTTP/1.1 200")
		    << "split at " << split;
		close(fd);
		s.Run();
	}
	ASSERT_EQ(s.seen.size(), text.size() - 1);
	for (size_t i = 0; i < s.seen.size(); i++)
		EXPECT_EQ(
		    s.seen[i], "POST /6q592nv7/10ee55 page=6&sort=new hello")
		    << "split at " << i + 1;
}

/// Guards against a chunked body that is misread when it arrives in two parts.
TEST(Httpd, ChunkedBodySplitAtAnyByteIsParsedTheSame)
{
	const std::string text = "POST /a HTTP/1.1\r\nHost: a.example\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n"
				 "5\r\nhello\r\n0a\r\n0123456789\r\n0\r\n\r\n";
	Server s;

	for (size_t split = 1; split < text.size(); split++) {
		const int fd = s.Connect();

		s.Run();
		s.Send(fd, text.substr(0, split));
		s.Send(fd, text.substr(split));
		EXPECT_EQ(s.ReadLine(fd).substr(0, 12), "HTTP/1.1 200")
		    << "split at " << split;
		close(fd);
		s.Run();
	}
	for (size_t i = 0; i < s.seen.size(); i++)
		EXPECT_EQ(s.seen[i], "POST /a  hello0123456789")
		    << "split at " << i + 1;
}

/// Guards against a request on a kept-alive connection that is misread or gets
/// no response when its head arrives in two parts.
TEST(Httpd, SplitRequestsOnOneConnectionAreServedInOrder)
{
	Server s;
	const int fd = s.Connect();

	s.Run();
	for (int i = 0; i < 30; i++) {
		const std::string text = "GET /x/" + std::to_string(i) +
		    "?q=1 HTTP/1.1\r\nHost: a\r\n\r\n";

		s.Send(fd, text.substr(0, 3 + i % 20));
		s.Send(fd, text.substr(3 + i % 20));
		EXPECT_EQ(s.ReadLine(fd).substr(0, 12), "HTTP/1.1 200");
		while (s.ReadLine(fd) != "\r")
			;
		EXPECT_EQ(
		    s.seen.back(), "GET /x/" + std::to_string(i) + " q=1 ");
		char ok[2];
		EXPECT_EQ(recv(fd, ok, 2, 0), 2);
	}
	close(fd);
}

/// Guards against request smuggling by ambiguous body lengths.
TEST(Httpd, AmbiguousLengthsAreRejectedBeforeTheBody)
{
	const char *const heads[] = {
		"Content-Length: 5\r\nContent-Length: 5\r\n",
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: +5\r\n",
		"Transfer-Encoding: gzip, chunked\r\n",
	};
	Server s;

	for (const char *head : heads) {
		const int fd = s.Connect();

		s.Run();
		s.Send(fd,
		    std::string("POST /x HTTP/1.1\r\nHost: a\r\n") + head +
			"\r\nhello");
		EXPECT_NE(s.ReadLine(fd).substr(0, 12), "HTTP/1.1 200") << head;
		close(fd);
		s.Run();
	}
	EXPECT_TRUE(s.seen.empty());
}

/// A trailer was listed as a header without a value, which ended the process
/// that forwarded the request. Trailers are dropped.
TEST(Httpd, TrailersAreDropped)
{
	const std::string head =
	    "POST /a HTTP/1.1\r\nHost: a.example\r\nA: b\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
	Server s;

	for (const char *trailer : { "X-Checksum: 5d41402a\r\n", "X-Empty:\r\n",
		 "A: c\r\nB: d\r\n", "" }) {
		const int fd = s.Connect();

		s.Run();
		s.headers.clear();
		s.Send(fd, head + trailer + "\r\n");
		EXPECT_EQ(s.ReadLine(fd).substr(0, 12), "HTTP/1.1 200")
		    << trailer;
		EXPECT_EQ(s.headers, "Host=a.example A=b Content-Length=5 ")
		    << trailer;
		close(fd);
		s.Run();
	}
	EXPECT_EQ(s.seen.size(), 4U);
	EXPECT_EQ(s.seen[0], "POST /a  hello");
}

/// Guards against a draining server that keeps idle connections, or drops a
/// request whose head has arrived in part.
TEST(Httpd, DrainingServerKeepsNoConnection)
{
	Server s;
	const int idle = s.Connect();
	const int busy = s.Connect();

	s.Run();
	s.Send(idle, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
	EXPECT_EQ(s.ReadLine(idle).substr(0, 12), "HTTP/1.1 200");
	s.Send(busy, "GET /b HT");
	httpd_drain(s.f);
	s.Send(busy, "TP/1.1\r\nHost: a\r\n\r\n");
	EXPECT_EQ(s.ReadLine(busy).substr(0, 12), "HTTP/1.1 200");
	for (int i = 0; i < 50; i++)
		s.Run();
	httpd_drain(s.f);
	EXPECT_EQ(httpd_connection_count(s.f), 0U);
	EXPECT_EQ(s.seen.size(), 2U);
	close(idle);
	close(busy);
}

/// Guards against requests that a server which ends resets unread: on a
/// connection that waits to be accepted, on a new one, and on an idle one.
TEST(Httpd, LastRequestsBeforeTheEndAreAnswered)
{
	static const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
	Server s;
	const int idle = s.Connect();
	const int fresh = s.Connect();
	int queued;
	int rounds = 0;

	s.Run();
	s.Send(idle, request);
	EXPECT_EQ(s.ReadResponse(idle), "HTTP/1.1 200 OK");
	queued = s.Connect();
	for (const int fd : { idle, queued })
		ASSERT_EQ(
		    send(fd, request.data(), request.size(), MSG_NOSIGNAL),
		    (ssize_t)request.size());
	EXPECT_FALSE(httpd_finish(s.f));
	s.Run();
	EXPECT_FALSE(httpd_finish(s.f));
	s.Send(fresh, request);
	for (const int fd : { idle, fresh, queued }) {
		EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 200 OK") << fd;
		EXPECT_TRUE(s.closing) << fd;
	}
	while (!httpd_finish(s.f) && rounds++ < 200)
		s.Run();
	EXPECT_EQ(httpd_connection_count(s.f), 0U);
	for (const int fd : { idle, fresh, queued })
		close(fd);
}

/// Guards against a server that ends while a request has come in part: its
/// caller is told, and a silent connection doesn't hold the end up.
TEST(Httpd, PartsOfRequestsAreRefusedAtTheEnd)
{
	Server s;
	const int part = s.Connect();
	const int silent = s.Connect();
	const gint64 begin_us = g_get_monotonic_time();

	s.Run();
	s.Send(
	    part, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1");
	EXPECT_FALSE(httpd_finish(s.f));
	EXPECT_EQ(s.ReadResponse(part), "HTTP/1.1 503 Service Unavailable");
	EXPECT_TRUE(s.closing);
	close(part);
	while (!httpd_finish(s.f) &&
	    g_get_monotonic_time() - begin_us < G_USEC_PER_SEC)
		s.Run();
	EXPECT_EQ(httpd_connection_count(s.f), 0U);
	EXPECT_EQ(s.seen.size(), 0U);
	close(silent);
}

/// Guards against a caller that is taken for idle while it waits for its
/// response: a stream over 75 s was cut.
TEST(Httpd, WaitingForAResponseIsNotIdle)
{
	Server s(100);
	const int fd = s.Connect();

	s.replies = false;
	s.Run();
	s.Send(fd, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
	for (int i = 0; i < 30; i++) {
		(void)usleep(10000);
		s.Run();
	}
	EXPECT_EQ(s.n_gone, 0);
	httpd_reply(s.f, s.last, 200, nullptr, "text/plain", "ok", 2);
	EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 200 OK");
	for (int i = 0; i < 30 && httpd_connection_count(s.f) > 0; i++) {
		(void)usleep(10000);
		s.Run();
	}
	EXPECT_EQ(httpd_connection_count(s.f), 0U);
	close(fd);
}

/// Guards against a target that is put together again from its parts, without
/// an empty query or a fragment.
TEST(Httpd, TargetsStayAsTheyWereSent)
{
	Server s;
	const int fd = s.Connect();

	s.Run();
	for (const std::string target : { "/a", "/a?", "/a?b=c", "/a?b#c",
		 "/a#b", "/a?b?c", "/%2e/a//b?%20", "/a?#" }) {
		s.Send(fd, "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
		EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 200 OK") << target;
		EXPECT_EQ(s.target, target);
	}
	close(fd);
}

/// Requests sent ahead behind one that is served: the connection is read no
/// further, and the caller's leaving is seen all the same.
TEST(Httpd, LeaverBehindRequestsSentAhead)
{
	const std::string head = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n";
	std::string ahead;
	Server s;

	s.replies = false;
	while (ahead.size() < 100000)
		ahead += head;
	const int fd = s.Connect();
	s.Run();
	s.Send(fd, ahead);
	for (int k = 0; k < 20; k++)
		s.Run();
	EXPECT_EQ(s.seen.size(), 1U);
	EXPECT_GT(httpd_held_bytes(s.f), 10000U);
	EXPECT_LT(httpd_held_bytes(s.f), 60000U);
	close(fd);
	s.Run();
	EXPECT_EQ(s.n_gone, 1);
	EXPECT_EQ(httpd_connection_count(s.f), 0U);
	EXPECT_EQ(httpd_held_bytes(s.f), 0U);
}

struct httpd_limits
small_limits()
{
	struct httpd_limits limits = {};

	limits.max_head_bytes = 16384;
	limits.max_body_bytes = 1 << 20;
	limits.head_timeout_us = limits.body_idle_us = 10000000;
	limits.max_held_bytes = 1 << 20;
	return limits;
}

/// Those sent ahead are dropped when all hold too much: the request that is
/// served has its response, and what follows isn't taken for a request.
TEST(Httpd, RequestsSentAheadHaveABound)
{
	const std::string head = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n";
	struct httpd_limits limits = small_limits();
	std::string ahead;
	char rest[64];
	Server s;

	limits.max_held_bytes = 4096;
	httpd_set_limits(s.f, &limits);
	s.replies = false;
	while (ahead.size() < 8000)
		ahead += head;
	const int fd = s.Connect();
	s.Run();
	s.Send(fd, ahead);
	EXPECT_LE(httpd_held_bytes(s.f), limits.max_held_bytes);
	httpd_reply(s.f, s.last, 200, nullptr, "text/plain", "ok", 2);
	EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 200 OK");
	s.Run();
	EXPECT_EQ(s.seen.size(), 1U);
	EXPECT_EQ(read(fd, rest, sizeof(rest)), 0);
	close(fd);
}

/// Whether something has come for a client, or its connection was closed.
bool
has_news(int fd)
{
	struct pollfd p = { fd, POLLIN, 0 };

	return poll(&p, 1, 0) > 0;
}

/// A new connection takes the place of an idle one, then that of an unfinished
/// request; none that waits for its response goes.
TEST(Httpd, ConnectionsHaveABound)
{
	const std::string head = "GET /a HTTP/1.1\r\nHost: a.example\r\n";
	struct httpd_limits limits = small_limits();
	Server s;
	std::vector<int> fds;
	const auto connect = [&](const std::string &text) {
		fds.push_back(s.Connect());
		s.Run();
		s.Send(fds.back(), text);
		EXPECT_LE(httpd_connection_count(s.f), 3U);
	};

	limits.max_connections = 3;
	httpd_set_limits(s.f, &limits);
	s.replies = false;
	connect(head + "\r\n");
	connect(head);
	connect("");
	connect("");
	EXPECT_TRUE(has_news(fds[2]));
	connect(head + "\r\n");
	EXPECT_TRUE(has_news(fds[3]));
	EXPECT_FALSE(has_news(fds[1]));
	connect(head + "\r\n");
	EXPECT_TRUE(has_news(fds[1]));
	fds.push_back(s.Connect());
	s.Run();
	EXPECT_TRUE(has_news(fds[6]));
	EXPECT_EQ(s.seen.size(), 3U);
	for (const int i : { 0, 4, 5 })
		EXPECT_FALSE(has_news(fds[i])) << i;
	for (const int fd : fds)
		close(fd);
}

/// Responses that callers don't read have a bound; one alone may be longer.
TEST(Httpd, UnreadResponsesHaveABound)
{
	struct httpd_limits limits = small_limits();
	Server s;
	std::vector<int> fds;

	limits.max_unsent_bytes = 1 << 20;
	httpd_set_limits(s.f, &limits);
	s.reply.assign(16 << 20, 'x');
	for (int i = 0; i < 4; i++) {
		fds.push_back(s.Connect());
		s.Run();
		s.Send(fds[i], "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n");
		EXPECT_EQ(httpd_connection_count(s.f), 1U);
	}
	EXPECT_EQ(s.seen.size(), 4U);
	for (const int fd : fds)
		close(fd);
}

/// Short fields cost more than their bytes, since each is kept apart. One
/// request of the longest kind within the limits is served.
TEST(Httpd, ShortFieldsAreCounted)
{
	struct httpd_limits limits = small_limits();
	std::string fields = "GET /a HTTP/1.1\r\nHost: a.example\r\n";
	Server s;

	limits.max_held_bytes =
	    httpd_longest_request(limits.max_head_bytes, limits.max_body_bytes);
	httpd_set_limits(s.f, &limits);
	s.replies = false;
	while (fields.size() + 4 < limits.max_head_bytes)
		fields += "a:\r\n";
	const int fd = s.Connect();
	s.Run();
	s.Send(fd, fields + "\r\n");
	EXPECT_EQ(s.seen.size(), 1U);
	EXPECT_GT(httpd_held_bytes(s.f), 400000U);
	close(fd);
}

} // namespace

/// What evhtp refuses or loses, though it is valid: extensions of chunks, long
/// fields, requests that are pipelined, an empty line before a request.
TEST(Httpd, ValidRequestsThatEvhtpRefuses)
{
	const std::string tail = " HTTP/1.1\r\nHost: a.example\r\n";
	const std::string field(9000, 'v');
	Server s;
	const int fd = s.Connect();

	s.Run();
	s.Send(fd,
	    "POST /a" + tail +
		"Transfer-Encoding: chunked\r\n\r\n"
		"5;a=b;c\r\nhello\r\n0;d\r\n\r\n");
	EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 200 OK");
	EXPECT_EQ(s.seen.back(), "POST /a  hello");
	s.headers.clear();
	s.Send(fd, "GET /b" + tail + "A: b\r\nLong: " + field + "\r\n\r\n");
	EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 200 OK");
	EXPECT_EQ(s.headers, "Host=a.example A=b Long=" + field + " ");
	s.Send(fd,
	    "\r\nGET /c" + tail + "\r\nPOST /d" + tail +
		"Content-Length: 2\r\n\r\nhiGET /e" + tail + "\r\n");
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 200 OK");
	ASSERT_EQ(s.seen.size(), 5U);
	EXPECT_EQ(s.seen[2], "GET /c  ");
	EXPECT_EQ(s.seen[3], "POST /d  hi");
	EXPECT_EQ(s.seen[4], "GET /e  ");
	s.Send(fd,
	    "POST /f" + tail +
		"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
	EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 100 Continue");
	s.Send(fd, "hi");
	EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 200 OK");
	close(fd);
	s.Run();
}

/// Each request that isn't served gets a status, and its connection is closed.
TEST(Httpd, RequestsThatAreRefused)
{
	const std::string tail = " HTTP/1.1\r\nHost: a.example\r\n";
	const struct {
		std::string text;
		const char *status;
	} cases[] = {
		{ "MKCOL /a" + tail + "\r\n", "501" },
		{ "GET /a HTTP/3.0\r\n\r\n", "505" },
		{ "GET /a\r\n\r\n", "400" },
		{ "GET a" + tail + "\r\n", "400" },
		{ "GET /a b" + tail + "\r\n", "400" },
		{ "GET /" + std::string(5000, 'a') + tail + "\r\n", "414" },
		{ "GET /a" + tail + " folded: x\r\n\r\n", "400" },
		{ "GET /a" + tail + "no name\r\n\r\n", "400" },
		{ "GET /a" + tail + "A: \x01\r\n\r\n", "400" },
		{ "GET /a" + tail + "Expect: a miracle\r\n\r\n", "417" },
		{ "POST /a" + tail + "Content-Length: 9999999\r\n\r\n", "413" },
		{ "POST /a" + tail +
			"Transfer-Encoding: chunked\r\n\r\nffffff\r\n",
		    "413" },
		{ "POST /a" + tail + "Transfer-Encoding: chunked\r\n\r\nx\r\n",
		    "400" },
		{ "GET /a" + tail + "A: " + std::string(70000, 'b'), "431" },
	};
	Server s;

	for (const auto &c : cases) {
		const int fd = s.Connect();

		s.Run();
		s.Send(fd, c.text);
		EXPECT_EQ(s.ReadResponse(fd).substr(0, 12),
		    std::string("HTTP/1.1 ") + c.status)
		    << c.text.substr(0, 60);
		EXPECT_TRUE(s.closing);
		close(fd);
		s.Run();
	}
	EXPECT_TRUE(s.seen.empty());
}

/// A head or a body that doesn't come to its end is refused in time.
TEST(Httpd, SlowRequestsAreRefused)
{
	struct httpd_limits limits = {};
	Server s;

	limits.max_head_bytes = 16384;
	limits.max_body_bytes = 1 << 20;
	limits.head_timeout_us = 50000;
	limits.body_idle_us = 50000;
	limits.max_held_bytes = 1 << 20;
	httpd_set_limits(s.f, &limits);
	for (const char *text : { "GET /a HT",
		 "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhell" }) {
		const int fd = s.Connect();

		s.Run();
		s.Send(fd, text);
		EXPECT_EQ(s.ReadResponse(fd).substr(0, 12), "HTTP/1.1 408");
		EXPECT_TRUE(s.closing);
		close(fd);
		s.Run();
	}
}

/// Callers that never end their requests took more memory than the machine has:
/// chunks of one byte, short fields, and many bodies within the limit.
TEST(Httpd, UnfinishedRequestsHaveABound)
{
	const std::string head = "POST /a HTTP/1.1\r\nHost: a.example\r\n";
	struct httpd_limits limits = {};
	Server s;
	std::vector<int> fds;
	std::string chunks;
	int refused = 0;

	limits.max_head_bytes = 16384;
	limits.max_body_bytes = 1 << 20;
	limits.head_timeout_us = limits.body_idle_us = 10000000;
	limits.max_held_bytes = 1 << 20;
	httpd_set_limits(s.f, &limits);
	for (int i = 0; i < 20; i++) {
		fds.push_back(s.Connect());
		s.Run();
		s.Send(fds.back(), head + "Content-Length: 200000\r\n\r\n");
		s.Send(fds.back(), std::string(100000, 'x'));
		for (int k = 0; k < 20; k++)
			s.Run();
		EXPECT_LE(httpd_held_bytes(s.f), limits.max_held_bytes);
	}
	// A small one is served beside them.
	const int small = s.Connect();
	s.Run();
	s.Send(small, head + "Content-Length: 2\r\n\r\nhi");
	EXPECT_EQ(s.ReadResponse(small), "HTTP/1.1 200 OK");
	for (const int fd : fds) {
		struct pollfd p = { fd, POLLIN, 0 };

		if (poll(&p, 1, 0) > 0) {
			EXPECT_EQ(
			    s.ReadResponse(fd).substr(0, 12), "HTTP/1.1 503");
			refused++;
		}
		close(fd);
	}
	EXPECT_GE(refused, 9);
	EXPECT_LE(refused, 12);
	s.Run();
	while (chunks.size() < 60000)
		chunks += "1\r\nx\r\n";
	const int fd = s.Connect();
	s.Run();
	s.Send(fd, head + "Transfer-Encoding: chunked\r\n\r\n");
	limits.max_held_bytes = 4 << 20;
	httpd_set_limits(s.f, &limits);
	for (int i = 0; i < 120; i++) {
		(void)send(fd, chunks.data(), chunks.size(), MSG_NOSIGNAL);
		EXPECT_LE(httpd_held_bytes(s.f), limits.max_held_bytes);
		for (int k = 0; k < 8; k++)
			s.Run();
	}
	EXPECT_EQ(s.ReadResponse(fd).substr(0, 12), "HTTP/1.1 413");
	close(fd);
	close(small);
	s.Run();
	EXPECT_EQ(httpd_held_bytes(s.f), 0U);
}

/// The body of a form isn't part of its target, and one of any length within
/// the limit is served: the library would parse it, with copies on the stack.
TEST(Httpd, FormsAreBodiesOnly)
{
	struct httpd_limits limits = small_limits();
	Server s;

	limits.max_body_bytes = limits.max_held_bytes = 32 << 20;
	httpd_set_limits(s.f, &limits);
	for (const size_t len : { size_t{ 12 }, size_t{ 10 << 20 } }) {
		std::string form;

		while (form.size() < len)
			form += "a=b&";
		form.resize(len);
		const int fd = s.Connect();
		s.Run();
		s.Send(fd,
		    "POST /a HTTP/1.1\r\nHost: a.example\r\n"
		    "Content-Type: application/x-www-form-urlencoded\r\n"
		    "Content-Length: " +
			std::to_string(len) + "\r\n\r\n");
		for (size_t at = 0; at < len; at += 65536)
			s.Send(fd, form.substr(at, 65536));
		EXPECT_EQ(s.ReadResponse(fd), "HTTP/1.1 200 OK");
		ASSERT_FALSE(s.seen.empty());
		EXPECT_TRUE(s.seen.back() == "POST /a  " + form);
		EXPECT_NE(s.headers.find("Content-Type=application/x-www"),
		    std::string::npos);
		close(fd);
	}
}

/// Guards against a response that can't have a body and has one: the next
/// response on the connection could not be read.
TEST(Httpd, BodilessResponsesHaveNoBody)
{
	const std::string head = " /a HTTP/1.1\r\nHost: h\r\n\r\n";
	const std::string body = "the reason";

	for (const std::string method : { "HEAD", "GET" }) {
		for (const int status :
		    { 200, 204, 304, 401, 404, 429, 502, 503, 504 }) {
			const bool bodiless = status == 204 || status == 304;

			for (const bool streams : { false, true }) {
				Server s;
				const int fd = s.Connect();

				if (method == "GET" && !bodiless)
					continue;
				s.status = status;
				s.streams = streams;
				s.reply = body;
				s.Send(fd, method + head);
				s.streams = false;
				s.status = 200;
				s.Send(fd, "GET" + head);
				const std::string got = s.ReadAll(fd);
				const size_t end = got.find("\r\n\r\n");
				ASSERT_NE(end, std::string::npos);
				EXPECT_EQ(
				    got.substr(end + 4, 15), "HTTP/1.1 200 OK")
				    << method << " " << status << " " << streams
				    << "\n"
				    << got;
				EXPECT_EQ(
				    got.substr(got.size() - body.size()), body);
				if (!streams && !bodiless) {
					EXPECT_LT(
					    got.find("Content-Length: 10\r\n"),
					    end);
				}
				close(fd);
			}
		}
	}
}
