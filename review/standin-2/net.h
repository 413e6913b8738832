#ifndef STANDIN_2_NET_H
#define STANDIN_2_NET_H

#include <stdbool.h>
#include <stddef.h>

/// Blocking HTTP/1.1 over loopback for the stand-ins. All functions end the
/// program with status 2 when memory is exhausted.

#define NET_MAX_HEAD 65536

/// A connection and the bytes that were read beyond what was asked for.
struct net_conn {
	int fd;
	char *bytes;
	size_t len;
};

/// A message: the head with its empty line, and the body.
struct net_message {
	char head[NET_MAX_HEAD];
	char *body;
	size_t len;
	bool is_whole; ///< by its own framing
};

_Noreturn void net_fail(const char *what);
int net_listen(const char *host, int port);
bool net_dial(const char *host, int port, struct net_conn *out);
void net_close(struct net_conn *c);
bool net_send(int fd, const char *bytes, size_t len);
bool net_sendf(int fd, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
bool net_read_request(struct net_conn *c, struct net_message *m);
bool net_read_response(
    struct net_conn *c, bool to_head, int timeout_ms, struct net_message *m);
size_t net_read_surplus(struct net_conn *c, int wait_ms);
void net_message_clear(struct net_message *m);
bool net_header(const char *head, const char *name, char *out, size_t size);
int net_status(const char *head);

#endif
