#ifndef HUB_HUBSTATE_H
#define HUB_HUBSTATE_H

#include <glib.h>

#include "fleet/hubmsg.h"
#include "rollout/rollout.h"

/// Replicated state of a deployment: the configuration in force, who holds the
/// duties, usage that was settled. A core without I/O: equal commands in equal
/// order give equal states.

struct hubstate;

enum hubstate_command_kind {
	HUBSTATE_CONFIG,  ///< A whole configuration; the highest version wins.
	HUBSTATE_DUTY,    ///< A process takes the duties over.
	HUBSTATE_USAGE,   ///< Counts of a window; the first ones are final.
	HUBSTATE_NEED,    ///< Servers that a service needs.
	HUBSTATE_ROLLOUT, ///< Where a service's move to a version stands.
	HUBSTATE_N_KINDS,
};

/// Settled usage of one window.
struct hubstate_usage {
	uint64_t window;
	GArray *counts; ///< struct hubmsg_usage
};

/// A service's newest move to a version.
struct hubstate_rollout {
	char service[FLEETCFG_NAME_BYTES];
	char target[FLEETCFG_NAME_BYTES];
	char
	    base[FLEETCFG_NAME_BYTES]; ///< version that most of its servers had
	struct rollout_record move;
	uint64_t sequence; ///< grows with each change
};

struct hubstate_command {
	enum hubstate_command_kind kind;
	uint64_t version;
	const uint8_t *text;
	size_t len;
	uint32_t holder; ///< slot
	struct hubstate_usage usage;
	char service[FLEETCFG_NAME_BYTES];
	uint32_t needed_milliservers; ///< thousandths of a server
	struct hubstate_rollout move;
};

/// Who may make the calls of the duties, under which fencing number.
struct hubstate_duty {
	uint32_t holder; ///< slot; 0: nobody yet
	uint64_t fence;
};

struct hubstate *hubstate_new(void);
void hubstate_free(struct hubstate *s);
void hubstate_encode(
    const struct hubstate_command *c, uint8_t **bytes, size_t *len);
enum status hubstate_apply(
    struct hubstate *s, uint64_t index, const uint8_t *bytes, size_t len);
void hubstate_save(const struct hubstate *s, uint8_t **bytes, size_t *len);
enum status hubstate_load(
    const uint8_t *bytes, size_t len, struct hubstate **out);

uint64_t hubstate_version(const struct hubstate *s);
const uint8_t *hubstate_manifest(const struct hubstate *s, size_t *len);
struct hubstate_duty hubstate_duty(const struct hubstate *s);
uint32_t hubstate_need(const struct hubstate *s, const char *service);
const struct hubstate_rollout *hubstate_rollout(
    const struct hubstate *s, const char *service);
size_t hubstate_n_rollouts(const struct hubstate *s);
const struct hubstate_rollout *hubstate_rollout_at(
    const struct hubstate *s, size_t i);
const struct hubstate_usage *hubstate_usage(
    const struct hubstate *s, uint64_t window);

#endif
