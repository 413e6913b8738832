#ifndef WIRE_TRANSPORT_H
#define WIRE_TRANSPORT_H

#include "base/metrics.h"
#include "base/slotmap.h"
#include "base/timerq.h"
#include "wire/wire.h"

/// Links: persistent message connections between the system's own processes.
/// A dialled link reconnects by itself; an accepted one is removed when it is
/// closed. The first message in each direction is WIRE_HELLO; a peer of
/// another deployment is refused.

struct event_base;
struct ssl_ctx_st;
struct transport;

/// Callbacks to the owner of the links. `hello` is the peer's; `link` is the
/// handle to respond on. `hello` and `msg` are valid during the call only, and
/// also if the callback closes or removes the link. It mustn't release the
/// transport.
struct transport_callbacks {
	void (*up)(void *arg, handle_t link, const struct wire_hello *hello);
	void (*message)(void *arg, handle_t link,
	    const struct wire_hello *hello, const struct wire_msg *msg);
	void (*down)(void *arg, handle_t link, const struct wire_hello *hello);
	void *arg;
};

/// Messages of one kind on all links, and their bytes, frame lengths included.
struct transport_traffic {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t handling_us; ///< spent on those that were received
};

struct transport_config {
	struct event_base *base;
	struct timerq *timers;
	struct wire_hello self; ///< hello sent on every link
	struct ssl_ctx_st *tls; ///< NULL: no TLS
	size_t max_queue_bytes; ///< a link with more unsent bytes is closed
	struct transport_callbacks callbacks;
};

struct transport *transport_new(const struct transport_config *config);
void transport_free(struct transport *t);
enum status transport_listen(
    struct transport *t, const char *host, uint16_t port);
handle_t transport_dial(struct transport *t, const char *host, uint16_t port);
bool transport_send(
    struct transport *t, handle_t link, const struct wire_msg *msg);
size_t transport_queued(const struct transport *t, handle_t link);
bool transport_is_up(const struct transport *t, handle_t link);
const struct wire_hello *transport_peer(
    const struct transport *t, handle_t link);
void transport_set_self(struct transport *t, const struct wire_hello *self);
void transport_close(struct transport *t, handle_t link);
void transport_remove(struct transport *t, handle_t link);
struct transport_traffic transport_traffic(
    const struct transport *t, enum wire_kind kind);
uint64_t transport_bytes_sent(const struct transport *t);
uint64_t transport_bytes_received(const struct transport *t);
uint64_t transport_dials(const struct transport *t);
void transport_export(
    const struct transport *t, struct metrics_registry *registry);

#endif
