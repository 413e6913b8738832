#ifndef HUB_HUBSTATE_H
#define HUB_HUBSTATE_H

#include <glib.h>

#include "fleet/crashlog.h"
#include "fleet/evacset.h"
#include "fleet/hosttable.h"
#include "fleet/hubmsg.h"
#include "rollout/rollout.h"

/// Replicated state of a deployment: the configuration in force, the holder of
/// the duties, final usage, the size of services, their rollouts and blocked
/// parts of prompts, evacuated data centres, and addresses of control processes
/// that their slots don't imply. Has no I/O; the same commands applied in the
/// same order give the same state.

struct hubstate;

enum hubstate_command_kind {
	HUBSTATE_CONFIG, ///< A whole configuration; the highest version wins.
	HUBSTATE_DUTY,   ///< A process becomes the holder of the duties.
	HUBSTATE_USAGE,  ///< Usage of a window; the first command is final.
	HUBSTATE_NEEDED_SERVERS, ///< Number of servers that a service needs.
	HUBSTATE_ROLLOUT,  ///< A rollout was started, or its state changed.
	HUBSTATE_BLOCK,    ///< Prompts with a part crash servers.
	HUBSTATE_EVACUATE, ///< A data centre's servers get no requests.
	HUBSTATE_RESTORE,  ///< They get requests again.
	HUBSTATE_HOST,     ///< The address of a slot that doesn't imply it.
	HUBSTATE_N_KINDS,
};

/// Final usage of one window.
struct hubstate_usage {
	uint64_t window; ///< time since 1970 divided by the window's length
	GArray *counts;  ///< struct hubmsg_usage
};

/// The newest rollout of a service.
struct hubstate_rollout {
	char service[FLEETCFG_NAME_BYTES];
	char target[FLEETCFG_NAME_BYTES];
	char baseline[FLEETCFG_NAME_BYTES]; ///< version that most of its
					    ///< servers had at the start
	struct rollout_record record;
	uint64_t sequence; ///< log index of the last change
};

/// A part of prompts that crashes servers. It stays known when the block has
/// ended.
struct hubstate_block {
	struct crashlog_part part;
	uint64_t until_us; ///< since 1970; prompts with it are refused until
			   ///< then
	uint32_t n_blocks; ///< how often it was blocked
};

/// A command for the replicated log. Only the fields of its kind are set; the
/// command doesn't own `manifest` or `usage.counts`.
struct hubstate_command {
	enum hubstate_command_kind kind;
	uint64_t version;        ///< of the configuration
	const uint8_t *manifest; ///< configuration as the operator sent it
	size_t manifest_len;
	uint32_t holder; ///< slot
	struct hubstate_usage usage;
	char service[FLEETCFG_NAME_BYTES];
	uint32_t needed_milliservers; ///< thousandths of a server
	struct hubstate_rollout rollout;
	struct hubstate_block block;
	struct evacset_entry evacuation; ///< HUBSTATE_RESTORE: only the zone
	struct hosttable_entry host;
};

/// The process that may make the calls of the duties, and their fencing number.
struct hubstate_duty {
	uint32_t holder; ///< slot; 0: none yet
	uint64_t fence;  ///< log index of the command that set the holder
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

uint64_t hubstate_gateways_index(const struct hubstate *s);
uint64_t hubstate_version(const struct hubstate *s);
const uint8_t *hubstate_manifest(const struct hubstate *s, size_t *len);
struct hubstate_duty hubstate_duty(const struct hubstate *s);
uint32_t hubstate_needed_milliservers(
    const struct hubstate *s, const char *service);
const struct hubstate_rollout *hubstate_rollout(
    const struct hubstate *s, const char *service);
size_t hubstate_n_rollouts(const struct hubstate *s);
const struct hubstate_rollout *hubstate_rollout_at(
    const struct hubstate *s, size_t i);
const struct hubstate_block *hubstate_block(
    const struct hubstate *s, const struct crashlog_part *part);
size_t hubstate_n_blocks(const struct hubstate *s);
const struct hubstate_block *hubstate_block_at(
    const struct hubstate *s, size_t i);
uint64_t hubstate_blocks_revision(const struct hubstate *s);
const struct evacset *hubstate_evacuations(const struct hubstate *s);
const GArray *hubstate_hosts(const struct hubstate *s);
const char *hubstate_host(const struct hubstate *s, uint32_t slot);
bool hubstate_has_host(
    const struct hubstate *s, uint32_t slot, const char *host);
const struct hubstate_usage *hubstate_usage(
    const struct hubstate *s, uint64_t window);

#endif
