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

/// A deployment of real gateways and hubs under faults that come from outside
/// of them. Callers, backend servers, the platform's interfaces and an
/// operator are played in this process, which checks what each of them sees.

#define SK_MAX_HUBS 9
#define SK_MAX_GATEWAYS 60
#define SK_MAX_SERVERS 40
#define SK_HOST_BYTES 24
#define SK_ID_BYTES 32

/// What the deployment promises; also written into the settings.
#define SK_CONTACT_US (3 * USEC_PER_SEC)
#define SK_DRAIN_US (3 * USEC_PER_SEC)
#define SK_REVOKE_US (3 * USEC_PER_SEC)
#define SK_APPLY_US (2 * USEC_PER_SEC)
#define SK_RECOVER_US (12 * USEC_PER_SEC)
#define SK_CATCH_UP_US (4 * USEC_PER_SEC)
#define SK_TOLERATED 1
#define SK_STOP_S 4
#define SK_PORT 8080

/// Last numbers of the addresses that this process listens at itself.
#define SK_SERVER_LISTENS_AT 71
#define SK_PLATFORM_AT 201

enum sk_role {
	SK_HUB,
	SK_GATEWAY,
};

/// One process of the system.
struct sk_process {
	enum sk_role role;
	uint32_t number;
	char host[SK_HOST_BYTES];
	char name[SK_ID_BYTES];
	pid_t pid;
	bool ending; ///< its end was asked for
	bool frozen;
	bool loses_disk;      ///< once it has ended
	bool out;             ///< gateway: out of the balancer's rotation
	uint32_t misses;      ///< of readiness, in a row
	uint64_t start_us;    ///< when to start it; 0: it runs
	uint64_t kill_us;     ///< when to kill what was asked to stop; 0: never
	uint64_t excused_us;  ///< it may end itself until then
	uint64_t troubled_us; ///< last moment of an unplanned fault
	int clock_ms;         ///< jump of its wall clock
	int sync_ms;          ///< added to each sync of its disk
	bool full;            ///< its disk takes no bytes
};

enum sk_manner {
	SK_SOUND,
	SK_FULL,  ///< says that it didn't run
	SK_FAILS, ///< runs and answers 500
	SK_HANGS, ///< runs and never answers
	SK_CUTS,  ///< runs and breaks its answer off
};

struct sk_server {
	struct sk *sk;
	struct evhttp *http;
	uint32_t number;
	uint32_t boots;
	enum sk_manner manner;
	bool listed;
	uint64_t draining_us; ///< since then on the list; 0: not
	char id[SK_ID_BYTES];
	char host[SK_HOST_BYTES]; ///< as gateways reach it
};

enum sk_kind {
	SK_PLAIN,  ///< may be repeated
	SK_BOOK,   ///< may not
	SK_STREAM, ///< may be resumed
};

/// One caller's request, from its sending to its end and beyond.
struct sk_request {
	struct sk *sk;
	char id[SK_ID_BYTES];
	enum sk_kind kind;
	uint32_t gateway;
	uint32_t key; ///< number of the key that it shows
	uint64_t sent_us;
	uint64_t ended_us;
	uint32_t runs;
	uint32_t events; ///< of its stream
	uint32_t next;   ///< event that is due
	bool refused;    ///< the answer said that it has not run
	handle_t call;
	GString *text;
};

/// A configuration that the operator sent.
struct sk_config {
	uint32_t version;
	uint32_t first_key; ///< the oldest that it holds
	uint64_t acked_us;  ///< 0: no clear answer yet
	char *text;
};

struct sk {
	struct loop *loop;
	struct timerq *timers;
	struct httpc *http;
	struct rnd *rnd;
	struct relay *relay;
	char *folder;
	char *bin;
	bool keep; ///< the folder, also when all promises held
	uint32_t net;
	uint32_t n_hubs;
	uint32_t n_gateways;
	uint32_t n_servers;
	struct sk_process hubs[SK_MAX_HUBS];
	struct sk_process gateways[SK_MAX_GATEWAYS];
	struct sk_server servers[SK_MAX_SERVERS];
	struct evhttp *platform;
	bool platform_silent;
	GHashTable *usage;  ///< window -> counts as first told
	GHashTable *fences; ///< fencing number -> holder
	GHashTable *requests;
	GPtrArray *configs;
	uint32_t n_requests;
	uint32_t revoked;    ///< keys below this are taken away
	uint64_t revoked_us; ///< when that was acknowledged
	uint64_t start_us;
	uint64_t until_us;  ///< faults end
	uint64_t whole_us;  ///< when an answer was whole last
	uint64_t able_us;   ///< since when no more hubs are lost than may be
	uint64_t shaken_us; ///< last moment of an unplanned fault anywhere
	uint32_t n_whole;
	uint32_t n_refused;
	uint32_t n_failed;
	uint32_t n_faults;
	uint32_t n_breaches;
	uint32_t n_late;       ///< requests sent after the recovery time
	uint32_t n_late_whole; ///< of these
	uint32_t n_read_back;
	struct timerq_timer *ticks[8];
};

uint64_t sk_now(const struct sk *s);
/// Notes a fault or a breach, with the time since the start.
void sk_say(struct sk *s, const char *format, ...) G_GNUC_PRINTF(2, 3);
void sk_breach(struct sk *s, const char *format, ...) G_GNUC_PRINTF(2, 3);
uint32_t sk_below(struct sk *s, uint32_t limit);
void sk_host(const struct sk *s, uint32_t last, char *out);

// world.c
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
