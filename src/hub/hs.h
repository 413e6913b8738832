#ifndef HUB_HS_H
#define HUB_HS_H

#include <glib.h>

#include "fleet/lm.h"
#include "rollout/rollout.h"

/// Replicated state of a deployment: the configuration in force, who holds the
/// duties, usage that was settled. A core without I/O: equal commands in equal
/// order give equal states.

struct hs;

enum hs_kind {
	HS_CONFIG, ///< A whole configuration; the highest version wins.
	HS_DUTY,   ///< A process takes the duties over.
	HS_USAGE,  ///< Counts of a window; the first ones are final.
	HS_NEED,   ///< Servers that a service needs.
	HS_MOVE,   ///< Where a service's move to a version stands.
	HS_KINDS,
};

/// Settled usage of one window.
struct hs_usage {
	uint64_t window;
	GArray *counts; ///< struct lm_usage
};

/// A service's newest move to a version.
struct hs_move {
	char service[FC_NAME_BYTES];
	char target[FC_NAME_BYTES];
	char base[FC_NAME_BYTES]; ///< version that most of its servers had
	struct rollout_record move;
	uint64_t sequence; ///< grows with each change
};

struct hs_command {
	enum hs_kind kind;
	uint64_t version;
	const uint8_t *text;
	size_t len;
	uint32_t holder; ///< slot
	struct hs_usage usage;
	char service[FC_NAME_BYTES];
	uint32_t need_milli; ///< thousandths of a server
	struct hs_move move;
};

/// Who may make the calls of the duties, under which fencing number.
struct hs_duty {
	uint32_t holder; ///< slot; 0: nobody yet
	uint64_t fence;
};

struct hs *hs_new(void);
void hs_free(struct hs *s);
void hs_encode(const struct hs_command *c, uint8_t **bytes, size_t *len);
enum status hs_apply(
    struct hs *s, uint64_t index, const uint8_t *bytes, size_t len);
void hs_save(const struct hs *s, uint8_t **bytes, size_t *len);
enum status hs_load(const uint8_t *bytes, size_t len, struct hs **out);

uint64_t hs_version(const struct hs *s);
const uint8_t *hs_manifest(const struct hs *s, size_t *len);
struct hs_duty hs_duty(const struct hs *s);
uint32_t hs_need(const struct hs *s, const char *service);
const struct hs_move *hs_move(const struct hs *s, const char *service);
size_t hs_n_moves(const struct hs *s);
const struct hs_move *hs_move_at(const struct hs *s, size_t i);
const struct hs_usage *hs_usage(const struct hs *s, uint64_t window);

#endif
