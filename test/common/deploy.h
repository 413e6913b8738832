#ifndef COMMON_DEPLOY_H
#define COMMON_DEPLOY_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "common/relay.h"

/// A deployment of real processes in a temporary folder. deploy_free ends all
/// processes, and the kernel does so when the test dies.

enum deploy_kind {
	DEPLOY_CONTROL,
	DEPLOY_ENTRY,
	DEPLOY_RUNNER,
	DEPLOY_SERVICE,
	DEPLOY_CLOUD,
	DEPLOY_VM_LIST,
	DEPLOY_WEIGHT_STORE,
	DEPLOY_KINDS,
};

/// Shape of a deployment. Each text of `extra` is a JSON object that is merged
/// into the settings of each process of that kind; NULL: none.
struct deploy_shape {
	uint32_t n[DEPLOY_KINDS];
	const char *extra[DEPLOY_KINDS];
	uint32_t data_centres; ///< 0: 3
	uint32_t standby; ///< This many, the last, of the control processes.
	bool relays;      ///< Links to control go through a relay, for
			  ///< deploy_set_link.
	bool spare; ///< Runners and services are left out of the first note.
};

struct deploy;

struct deploy *deploy_new(const struct deploy_shape *shape);
void deploy_free(struct deploy *d);

bool deploy_start_all(struct deploy *d);
bool deploy_submit_note(struct deploy *d, const char *note, int *http_status);
char *deploy_first_note(const struct deploy *d);

void deploy_start(struct deploy *d, enum deploy_kind kind, uint32_t i);
void deploy_signal(
    struct deploy *d, enum deploy_kind kind, uint32_t i, int signal);
bool deploy_wait_exit(struct deploy *d, enum deploy_kind kind, uint32_t i,
    uint32_t timeout_ms, int *status);
void deploy_kill(struct deploy *d, enum deploy_kind kind, uint32_t i);
bool deploy_restart(struct deploy *d, enum deploy_kind kind, uint32_t i);
void deploy_erase_disk(struct deploy *d, uint32_t i);
bool deploy_wait_healthy(
    struct deploy *d, enum deploy_kind kind, uint32_t i, uint32_t timeout_ms);

uint16_t deploy_port(const struct deploy *d, enum deploy_kind kind, uint32_t i);
uint16_t deploy_operators_port(
    const struct deploy *d, enum deploy_kind kind, uint32_t i);
pid_t deploy_pid(const struct deploy *d, enum deploy_kind kind, uint32_t i);
const char *deploy_folder(const struct deploy *d);
const char *deploy_data_centre(const struct deploy *d, uint32_t i);
int deploy_leader(const struct deploy *d);

void deploy_set_link(struct deploy *d, enum deploy_kind kind, uint32_t from,
    uint32_t to, enum relay_mode mode);
void deploy_isolate_control(
    struct deploy *d, uint32_t control, enum relay_mode mode);

char *deploy_program_path(const struct deploy *d, const char *name);
pid_t deploy_spawn(struct deploy *d, const char *name, const char *const *argv);
int deploy_wait_process(pid_t pid, uint32_t timeout_ms);
void deploy_print_logs(const struct deploy *d);

typedef bool (*deploy_condition)(void *arg);
bool deploy_wait_until(deploy_condition holds, void *arg, uint32_t timeout_ms);

#endif
