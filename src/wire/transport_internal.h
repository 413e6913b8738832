#ifndef WIRE_TRANSPORT_INTERNAL_H
#define WIRE_TRANSPORT_INTERNAL_H

#include <netinet/in.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "wire/transport.h"

/// Parts of the transport: links and what is sent on them (transport.c), and
/// what is received (transport_input.c).

struct bufferevent;
struct event;

#define TRANSPORT_LENGTH_BYTES 4

/// One link. A dialled link stays in the table while it is down, an accepted
/// one is removed.
struct transport_link {
	struct transport *owner;
	handle_t self;
	struct bufferevent *bev; ///< NULL while down
	/// Dialled links only: redials after a failure, and times out the
	/// connection and the peer's hello.
	struct timerq_timer *retry_timer;
	uint64_t retry_delay_us;     ///< delay before the next redial
	uint64_t connect_timeout_us; ///< connect timeout of the next dial
	struct sockaddr_storage address;
	int address_len;
	bool dialled;
	bool up;         ///< the peer's hello was received and accepted
	uint64_t up_us;  ///< when it was
	bool hello_sent; ///< on the connection that there is, or was
	/// Dialled links only: the next hello hides the address, as versions
	/// before it refuse the field. Accepted links need none: such a version
	/// can't have dialled an address that it doesn't know.
	bool hides_host;
	struct wire_hello hello; ///< of the peer
	/// Links with messages that wait to be handled (transport_input.c).
	TAILQ_ENTRY(transport_link) waiting;
	bool is_waiting;
	bool is_paused; ///< not read until fewer bytes wait
	bool has_ended; ///< closed once its messages are handled
};

TAILQ_HEAD(transport_queue, transport_link);

struct transport {
	struct transport_config config;
	struct slotmap *links;
	struct evconnlistener *listener;
	struct transport_traffic traffic[WIRE_KIND_COUNT];
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t n_dials;
	struct transport_queue waiting;
	struct event *batch; ///< handles some of the messages that wait
	/// The same, though other events are busy.
	struct timerq_timer *overdue;
};

/// transport.c
bool transport_link_accept_hello(
    struct transport_link *link, const struct wire_msg *msg);
void transport_link_close(struct transport_link *link);

/// transport_input.c
void transport_input_start(struct transport *t);
void transport_input_stop(struct transport *t);
void transport_input_on_read(struct bufferevent *bev, void *arg);
bool transport_input_end(struct transport_link *link);
void transport_input_drop(struct transport_link *link);

#endif
