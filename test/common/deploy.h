#ifndef COMMON_DEPLOY_H
#define COMMON_DEPLOY_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "common/relay.h"

/// A deployment of real processes in a temporary folder. dp_free ends all
/// processes, and the kernel does so when the test dies.

enum dp_kind {
	DP_CONTROL,
	DP_ENTRY,
	DP_RUNNER,
	DP_SERVICE,
	DP_CLOUD,
	DP_VM_LIST,
	DP_WEIGHT_STORE,
	DP_KINDS,
};

/// Shape of a deployment. Each text of `extra` is a JSON object that is merged
/// into the settings of each process of that kind; NULL: none.
struct dp_shape {
	uint32_t n[DP_KINDS];
	const char *extra[DP_KINDS];
	uint32_t data_centres; ///< 0: 3
	uint32_t standby; ///< This many, the last, of the control processes.
	bool relays;      ///< Links to control go through a relay, for dp_cut.
	bool spare; ///< Runners and services are left out of the first note.
};

struct dp;

struct dp *dp_new(const struct dp_shape *shape);
void dp_free(struct dp *d);

bool dp_start_all(struct dp *d);
bool dp_submit(struct dp *d, const char *note, int *http_status);
char *dp_first_note(const struct dp *d);

void dp_start(struct dp *d, enum dp_kind kind, uint32_t i);
void dp_signal(struct dp *d, enum dp_kind kind, uint32_t i, int signal);
bool dp_wait_exit(struct dp *d, enum dp_kind kind, uint32_t i,
    uint32_t timeout_ms, int *status);
void dp_kill(struct dp *d, enum dp_kind kind, uint32_t i);
bool dp_restart(struct dp *d, enum dp_kind kind, uint32_t i);
void dp_lose_disk(struct dp *d, uint32_t i);
bool dp_wait_healthy(
    struct dp *d, enum dp_kind kind, uint32_t i, uint32_t timeout_ms);

uint16_t dp_port(const struct dp *d, enum dp_kind kind, uint32_t i);
uint16_t dp_operators(const struct dp *d, enum dp_kind kind, uint32_t i);
pid_t dp_pid(const struct dp *d, enum dp_kind kind, uint32_t i);
const char *dp_folder(const struct dp *d);
const char *dp_data_centre(const struct dp *d, uint32_t i);
int dp_leader(const struct dp *d);

void dp_cut(struct dp *d, enum dp_kind kind, uint32_t from, uint32_t to,
    enum relay_mode mode);
void dp_isolate(struct dp *d, uint32_t control, enum relay_mode mode);

char *dp_program(const struct dp *d, const char *name);
pid_t dp_spawn(struct dp *d, const char *name, const char *const *argv);
int dp_join(pid_t pid, uint32_t timeout_ms);
void dp_print_logs(const struct dp *d);

typedef bool (*dp_condition)(void *arg);
bool dp_until(dp_condition holds, void *arg, uint32_t timeout_ms);

#endif
