#ifndef TEST_UNIT_HUB_FREE_PORT_H
#define TEST_UNIT_HUB_FREE_PORT_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

/// A port of the loopback address on which nothing listens.
inline uint16_t
free_port()
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in address = {};
	socklen_t len = sizeof(address);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)bind(fd, reinterpret_cast<struct sockaddr *>(&address), len);
	(void)getsockname(
	    fd, reinterpret_cast<struct sockaddr *>(&address), &len);
	(void)close(fd);
	return ntohs(address.sin_port);
}

#endif
