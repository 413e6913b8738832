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

#define SOAK_MAX_HUBS 9
#define SOAK_MAX_GATEWAYS 60
#define SOAK_MAX_SERVERS 40
#define SOAK_HOST_BYTES 24
#define SOAK_ID_BYTES 32

/// Bounds that the deployment guarantees; also written into the settings.
#define SOAK_CONTACT_US (3 * USEC_PER_SEC)
#define SOAK_DRAIN_US (3 * USEC_PER_SEC)
#define SOAK_REVOKE_US (3 * USEC_PER_SEC)
#define SOAK_APPLY_US (2 * USEC_PER_SEC)
#define SOAK_RECOVER_US (12 * USEC_PER_SEC)
#define SOAK_CATCH_UP_US (4 * USEC_PER_SEC)
#define SOAK_TOLERATED_HUBS 1
#define SOAK_STOP_S 4
#define SOAK_PORT 8080

/// Last octets of the addresses on which this process listens itself.
#define SOAK_SERVER_LISTENS_AT 71
#define SOAK_PLATFORM_AT 201

enum soak_role {
	SOAK_HUB,
	SOAK_GATEWAY,
};

/// One gateway or hub process.
struct soak_process {
	enum soak_role role;
	uint32_t number;
	char host[SOAK_HOST_BYTES];
	char name[SOAK_ID_BYTES];
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
enum soak_behaviour {
	SOAK_NORMAL,
	SOAK_FULL,  ///< refuses with 503 and says that the request did not run
	SOAK_FAILS, ///< runs the request and responds with 500
	SOAK_HANGS, ///< runs the request and never responds
	SOAK_CUTS,  ///< runs the request and closes the connection in its
		    ///< response
};

/// One simulated backend server.
struct soak_server {
	struct soak *soak;
	struct evhttp *http;
	uint32_t number;
	uint32_t boots; ///< starts so far; part of its id
	enum soak_behaviour behaviour;
	bool listed;
	uint64_t draining_us; ///< listed as draining since; 0: not draining
	char id[SOAK_ID_BYTES];
	char host[SOAK_HOST_BYTES]; ///< address of its relay link
};

/// Kind of the route that a request takes.
enum soak_request_kind {
	SOAK_PLAIN,  ///< may be repeated
	SOAK_BOOK,   ///< must not run twice
	SOAK_STREAM, ///< may be resumed
	SOAK_ONCE,   ///< a stream that must not run twice
	SOAK_N_KINDS,
};

/// One caller's request. It is kept after its end, so that a run which comes
/// too late is still checked.
struct soak_request {
	struct soak *soak;
	char id[SOAK_ID_BYTES];
	enum soak_request_kind kind;
	uint32_t gateway;
	uint32_t key; ///< number of its API key
	uint64_t sent_us;
	uint64_t ended_us;
	uint32_t runs;
	uint32_t events; ///< number of events of its stream
	uint32_t after;  ///< the caller has the events up to this one
	uint32_t next;   ///< unused
	bool refused;    ///< the response said that it has not run
	handle_t call;
	GString *text; ///< body received so far
};

/// A configuration that the operator sends.
struct soak_config {
	uint32_t version;
	uint32_t first_key; ///< number of the oldest API key in it
	uint64_t acked_us;  ///< 0: not acknowledged yet
	char *text;
};

/// State of the soak test.
struct soak {
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
	struct soak_process hubs[SOAK_MAX_HUBS];
	struct soak_process gateways[SOAK_MAX_GATEWAYS];
	struct soak_server servers[SOAK_MAX_SERVERS];
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
				   ///< SOAK_TOLERATED_HUBS hubs were lost
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

uint64_t soak_now_us(const struct soak *s);
void soak_log(struct soak *s, const char *format, ...) G_GNUC_PRINTF(2, 3);
void soak_violation(struct soak *s, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
uint32_t soak_random_below(struct soak *s, uint32_t limit);
void soak_host_address(const struct soak *s, uint32_t last, char *out);

// world.c: the processes and the relay in front of them
void soak_world_start(struct soak *s);
void soak_world_stop(struct soak *s);
void soak_process_signal(struct soak *s, struct soak_process *p, int signal);
void soak_process_stop(
    struct soak *s, struct soak_process *p, int signal, uint64_t away_us);
void soak_process_misbehave(struct soak *s, const struct soak_process *p);
void soak_set_hub_link(
    struct soak *s, const struct soak_process *hub, enum relay_mode mode);
void soak_set_server_link(
    struct soak *s, const struct soak_server *v, enum relay_mode mode);

// servers.c
void soak_servers_start(struct soak *s);
void soak_servers_stop(struct soak *s);
void soak_server_boot(struct soak_server *v);

// platform.c
void soak_platform_start(struct soak *s);
void soak_platform_stop(struct soak *s);

// callers.c
void soak_callers_start(struct soak *s);
void soak_request_record_run(
    struct soak *s, struct soak_request *q, struct soak_server *v);

// operator.c
void soak_operator_start(struct soak *s);
const struct soak_config *soak_config_acked(
    const struct soak *s, uint64_t before_us);
void soak_operator_read_back(struct soak *s);

// faults.c
void soak_faults_start(struct soak *s);
void soak_faults_heal(struct soak *s);

#endif
