#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "back/httpc.h"
#include "base/rnd.h"
#include "base/timerq.h"
#include "common/relay.h"
#include "loop/loop.h"

/// Soak test: a deployment of real gateway and hub processes under faults that
/// are injected from outside. This process simulates the callers, the backend
/// servers, the platform's interfaces and an operator, and checks the
/// invariants that each of them can observe.

#define SK_MAX_HUBS 9
#define SK_MAX_GATEWAYS 60
#define SK_MAX_SERVERS 40
#define SK_HOST_BYTES 24
#define SK_ID_BYTES 32

/// Bounds that the deployment guarantees; also written into the settings.
#define SK_CONTACT_US (3 * USEC_PER_SEC)
#define SK_DRAIN_US (3 * USEC_PER_SEC)
#define SK_REVOKE_US (3 * USEC_PER_SEC)
#define SK_APPLY_US (2 * USEC_PER_SEC)
#define SK_RECOVER_US (12 * USEC_PER_SEC)
#define SK_CATCH_UP_US (4 * USEC_PER_SEC)
#define SK_TOLERATED_HUBS 1
#define SK_STOP_S 4
#define SK_PORT 8080

/// Last octets of the addresses on which this process listens itself.
#define SK_SERVER_LISTENS_AT 71
#define SK_PLATFORM_AT 201

enum sk_role {
	SK_HUB,
	SK_GATEWAY,
};

/// One gateway or hub process.
struct sk_process {
	enum sk_role role;
	uint32_t number;
	char host[SK_HOST_BYTES];
	char name[SK_ID_BYTES];
	pid_t pid;
	bool ending; ///< a signal to end it was sent
	bool frozen;
	bool loses_disk;   ///< its data is removed once it has ended
	bool out;          ///< gateway: out of the load balancer's rotation
	uint32_t misses;   ///< readiness probes failed in a row
	uint64_t start_us; ///< when to start it; 0: it is running
	uint64_t kill_us;  ///< when to send SIGKILL; 0: never
	uint64_t may_exit_until_us; ///< until then it may exit by itself
	uint64_t last_fault_us;     ///< last moment of an unplanned fault
	int clock_ms;               ///< offset of its wall clock
	int sync_ms;                ///< delay of each fdatasync
	bool full;                  ///< its writes fail with ENOSPC
};

/// Behaviour of a backend server towards its requests.
enum sk_behaviour {
	SK_NORMAL,
	SK_FULL,  ///< refuses with 503 and says that the request did not run
	SK_FAILS, ///< runs the request and responds with 500
	SK_HANGS, ///< runs the request and never responds
	SK_CUTS, ///< runs the request and closes the connection in its response
};

/// One simulated backend server.
struct sk_server {
	struct sk *sk;
	struct evhttp *http;
	uint32_t number;
	uint32_t boots; ///< starts so far; part of its id
	enum sk_behaviour behaviour;
	bool listed;
	uint64_t draining_us; ///< listed as draining since; 0: not draining
	char id[SK_ID_BYTES];
	char host[SK_HOST_BYTES]; ///< address of its relay link
};

/// Kind of the route that a request takes.
enum sk_kind {
	SK_PLAIN,  ///< may be repeated
	SK_BOOK,   ///< must not run twice
	SK_STREAM, ///< may be resumed
};

/// One caller's request. It is kept after its end, so that a run which comes
/// too late is still checked.
struct sk_request {
	struct sk *sk;
	char id[SK_ID_BYTES];
	enum sk_kind kind;
	uint32_t gateway;
	uint32_t key; ///< number of its API key
	uint64_t sent_us;
	uint64_t ended_us;
	uint32_t runs;
	uint32_t events; ///< number of events of its stream
	uint32_t next;   ///< unused
	bool refused;    ///< the response said that it has not run
	handle_t call;
	GString *text; ///< body received so far
};

/// A configuration that the operator sends.
struct sk_config {
	uint32_t version;
	uint32_t first_key; ///< number of the oldest API key in it
	uint64_t acked_us;  ///< 0: not acknowledged yet
	char *text;
};

/// State of the soak test.
struct sk {
	struct loop *loop;
	struct timerq *timers;
	struct httpc *http;
	struct rnd *rnd;
	struct relay *relay;
	char *folder;
	char *bin;
	bool keep;    ///< keep the folder also when no invariant was violated
	uint32_t net; ///< number from which the loopback network is chosen
	uint32_t n_hubs;
	uint32_t n_gateways;
	uint32_t n_servers;
	struct sk_process hubs[SK_MAX_HUBS];
	struct sk_process gateways[SK_MAX_GATEWAYS];
	struct sk_server servers[SK_MAX_SERVERS];
	struct evhttp *platform;
	bool platform_silent;
	GHashTable *usage;  ///< window -> counts as first reported
	GHashTable *fences; ///< fencing number -> holder
	GHashTable *requests;
	GPtrArray *configs;
	uint32_t n_requests;
	uint32_t revoked;    ///< keys below this are revoked
	uint64_t revoked_us; ///< when that was acknowledged
	uint64_t start_us;
	uint64_t until_us;         ///< when faults end
	uint64_t last_complete_us; ///< time of the last complete response
	uint64_t too_many_lost_us; ///< last time at which more than
				   ///< SK_TOLERATED_HUBS hubs were lost
	uint64_t any_fault_us; ///< last moment of an unplanned fault anywhere
	uint32_t n_complete;
	uint32_t n_refused;
	uint32_t n_failed;
	uint32_t n_faults;
	uint32_t n_violations;
	uint32_t n_late;          ///< requests sent after the recovery time
	uint32_t n_late_complete; ///< those with a complete response
	uint32_t n_read_back;     ///< readings of the configuration at the end
	struct timerq_timer *ticks[8];
};

uint64_t sk_now(const struct sk *s);
void sk_log(struct sk *s, const char *format, ...) G_GNUC_PRINTF(2, 3);
void sk_violation(struct sk *s, const char *format, ...) G_GNUC_PRINTF(2, 3);
uint32_t sk_random_below(struct sk *s, uint32_t limit);
void sk_host(const struct sk *s, uint32_t last, char *out);

// world.c: the processes and the relay in front of them
void sk_world_start(struct sk *s);
void sk_world_stop(struct sk *s);
void sk_process_signal(struct sk *s, struct sk_process *p, int signal);
void sk_process_end(
    struct sk *s, struct sk_process *p, int signal, uint64_t away_us);
void sk_process_misbehave(struct sk *s, const struct sk_process *p);
void sk_link(struct sk *s, const struct sk_process *hub, enum relay_mode mode);
void sk_server_link(
    struct sk *s, const struct sk_server *v, enum relay_mode mode);

// servers.c
void sk_servers_start(struct sk *s);
void sk_servers_stop(struct sk *s);
void sk_server_boot(struct sk_server *v);

// platform.c
void sk_platform_start(struct sk *s);
void sk_platform_stop(struct sk *s);

// callers.c
void sk_callers_start(struct sk *s);
void sk_request_ran(struct sk *s, struct sk_request *q, struct sk_server *v);

// operator.c
void sk_operator_start(struct sk *s);
const struct sk_config *sk_config_acked(const struct sk *s, uint64_t before_us);
void sk_operator_read_back(struct sk *s);

// faults.c
void sk_faults_start(struct sk *s);
void sk_faults_heal(struct sk *s);

#endif
