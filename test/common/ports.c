#include "common/ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

// Below the range of ephemeral ports, so that no outgoing connection has one.
#define FIRST_PORT 12000U
#define PORTS 20000U
#define PORTS_PER_TEST 97U

static bool
is_free(uint16_t port)
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
	};
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ok = bind(fd, (const struct sockaddr *)&a, sizeof(a)) == 0;
	(void)close(fd);
	return ok;
}

uint16_t
ports_take(void)
{
	static unsigned next;
	uint16_t port;

	if (next == 0)
		next = (unsigned)getpid() * PORTS_PER_TEST;
	do {
		port = (uint16_t)(FIRST_PORT + next++ % PORTS);
	} while (!is_free(port));
	return port;
}
