#include <gtest/gtest.h>

extern "C" {
#include "cli/cli.h"
}

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

namespace
{

/// A server that sends these responses to one connection after the other; an
/// empty one closes the connection after the request arrived.
class Server
{
      public:
	explicit Server(const std::vector<std::string> &responses)
	{
		struct sockaddr_in a = {};
		socklen_t len = sizeof(a);

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM, 0);
		EXPECT_EQ(bind(listener, (struct sockaddr *)&a, len), 0);
		EXPECT_EQ(listen(listener, 8), 0);
		getsockname(listener, (struct sockaddr *)&a, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
		thread = std::thread([this, responses] { serve(responses); });
	}

	~Server()
	{
		shutdown(listener, SHUT_RDWR);
		close(listener);
		thread.join();
	}

	std::string address;
	int n_calls = 0;

      private:
	void serve(const std::vector<std::string> &responses)
	{
		for (const std::string &response : responses) {
			const int c = accept(listener, nullptr, nullptr);
			char buf[4096];

			if (c < 0)
				return;
			n_calls++;
			EXPECT_GT(read(c, buf, sizeof(buf)), 0);
			EXPECT_EQ(write(c, response.data(), response.size()),
			    (ssize_t)response.size());
			close(c);
		}
	}

	int listener;
	std::thread thread;
};

std::string
http(const char *status, const std::string &body)
{
	return std::string("HTTP/1.1 ") + status +
	    "\r\nConnection: close\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Submit : public ::testing::Test
{
      protected:
	char file[32] = "/tmp/note-XXXXXX";

	Submit()
	{
		const int fd = mkstemp(file);
		const std::string note = R"({"note": "n", "base": 0,
		    "customers": {"add": [{"name": "a"}]}})";

		EXPECT_EQ(
		    write(fd, note.data(), note.size()), (ssize_t)note.size());
		close(fd);
	}

	~Submit() override
	{
		unlink(file);
	}

	int submit(const std::vector<std::string> &addresses, const char *wait)
	{
		std::vector<std::string> arguments = { "note", "submit", file,
			"--wait", wait };
		std::vector<char *> argv;

		for (const std::string &a : addresses) {
			arguments.emplace_back("--to");
			arguments.push_back(a);
		}
		for (std::string &arg : arguments)
			argv.push_back(arg.data());
		argv.push_back(nullptr);
		return cli_note((int)argv.size() - 1, argv.data());
	}
};

const std::string accepted =
    http("200 OK", R"({"status":"accepted","revision":1,"sequence":1})");

} // namespace

/// Guards against a note that is reported as failed because one response was
/// lost: a submission is idempotent and is retried.
TEST_F(Submit, RetriesAfterALostResponse)
{
	Server s({ "", accepted });

	EXPECT_EQ(submit({ s.address }, "5"), CLI_OK);
	EXPECT_EQ(s.n_calls, 2);
}

/// Guards against a lost response that is reported as "nothing was done": the
/// note may have been accepted.
TEST_F(Submit, LostResponseIsUnknownAndNotRefused)
{
	Server s({ "", http("503 Service Unavailable", "{}") });

	EXPECT_EQ(submit({ s.address, s.address }, "0"), CLI_UNKNOWN);
}

/// Guards against giving up at the first control process that can't serve.
TEST_F(Submit, TriesEveryAddress)
{
	Server s({ http("503 Service Unavailable", "{}"), accepted });

	EXPECT_EQ(submit({ "127.0.0.1:1", s.address, s.address }, "0"), CLI_OK);
}

TEST_F(Submit, EachOutcomeHasItsExitCode)
{
	Server s({ http("503 Service Unavailable", "{}"),
	    http("409 Conflict", R"({"status":"conflict","winner":"m"})"),
	    http("400 Bad Request", R"({"status":"invalid","problems":[]})"),
	    http("401 Unauthorized", R"({"status":"refused"})"),
	    http("504 Gateway Timeout", "{}") });

	EXPECT_EQ(submit({ s.address }, "0"), CLI_REFUSED);
	EXPECT_EQ(submit({ s.address }, "0"), CLI_CONFLICT);
	EXPECT_EQ(submit({ s.address }, "0"), CLI_USAGE);
	EXPECT_EQ(submit({ s.address }, "0"), CLI_REFUSED);
	EXPECT_EQ(submit({ s.address }, "0"), CLI_UNKNOWN);
}
