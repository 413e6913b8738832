#ifndef WIRE_TRANSPORT_H
#define WIRE_TRANSPORT_H

#include "base/slotmap.h"
#include "base/timerq.h"
#include "wire/wire.h"

/// Links: connections between the system's own processes. A dialled link
/// comes back by itself; an accepted one ends when it is cut. On each the
/// first message either way is WIRE_HELLO; another deployment is refused.

struct event_base;
struct ssl_ctx_st;
struct transport;

/// What a link tells its owner. `hello` is the peer's; `link` is the handle
/// to answer on.
struct transport_callbacks {
	void (*up)(void *arg, handle_t link, const struct wire_hello *hello);
	void (*message)(void *arg, handle_t link,
	    const struct wire_hello *hello, const struct wire_msg *msg);
	void (*down)(void *arg, handle_t link, const struct wire_hello *hello);
	void *arg;
};

struct transport_config {
	struct event_base *base;
	struct timerq *timers;
	struct wire_hello self;
	struct ssl_ctx_st *tls; ///< NULL: plain
	size_t max_queue_bytes; ///< a link with more unsent is cut
	struct transport_callbacks callbacks;
};

struct transport *transport_new(const struct transport_config *config);
void transport_free(struct transport *l);
enum status transport_listen(
    struct transport *l, const char *host, uint16_t port);
handle_t transport_dial(struct transport *l, const char *host, uint16_t port);
bool transport_send(
    struct transport *l, handle_t link, const struct wire_msg *msg);
bool transport_is_up(const struct transport *l, handle_t link);
void transport_close(struct transport *l, handle_t link);
uint64_t transport_bytes_sent(const struct transport *l);
uint64_t transport_bytes_received(const struct transport *l);
uint64_t transport_dials(const struct transport *l);

#endif
