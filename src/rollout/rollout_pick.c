#include "rollout/rollout.h"

#include <glib.h>

#include <assert.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#define MANTISSA_BITS 53

static const char *const state_names[] = {
	[ROLLOUT_PENDING] = "waiting",
	[ROLLOUT_PROGRESSING] = "moving",
	[ROLLOUT_MONITORING] = "done, watching",
	[ROLLOUT_DONE] = "done",
	[ROLLOUT_ROLLED_BACK] = "taken back",
	[ROLLOUT_WITHDRAWN] = "withdrawn",
};

static const char *const reason_names[] = {
	[ROLLOUT_REASON_NONE] = "",
	[ROLLOUT_REASON_FAILED] = "fails more often than the version before",
	[ROLLOUT_REASON_TTFT] = "slower to the first token",
	[ROLLOUT_REASON_INTER_TOKEN] = "slower between tokens",
	[ROLLOUT_REASON_ENTRY_STOPPED] =
	    "stopped by an entry on its own evidence",
	[ROLLOUT_REASON_NOTE] = "withdrawn by a note",
};

/// Key of a name of a version, pool, route or entry.
uint64_t
rollout_key(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/// Key of a version of a pool, where versions of different pools may have
/// equal names.
uint64_t
rollout_version_key(const char *pool, const char *version)
{
	char *name = g_strdup_printf("%s/%s", pool, version);
	const uint64_t key = rollout_key(name);

	g_free(name);
	return key;
}

/// Whether a move in this state is over.
bool
rollout_is_final(enum rollout_state state)
{
	return state == ROLLOUT_DONE || state == ROLLOUT_ROLLED_BACK ||
	    state == ROLLOUT_WITHDRAWN;
}

/// Words for a state, for people and for JSON.
const char *
rollout_state_name(enum rollout_state state)
{
	return state_names[state];
}

/// Words for a reason; empty for ROLLOUT_REASON_NONE.
const char *
rollout_reason_name(enum rollout_reason reason)
{
	return reason_names[reason];
}

/// Score of a version for a request: the time of the first event of a
/// Poisson process whose rate is the share. The earliest wins, so that each
/// wins in proportion to its share, and raising one share moves requests to
/// that version only.
static double
score(const struct rollout_share *s, uint64_t request_hash)
{
	const uint64_t h =
	    XXH3_64bits_withSeed(&s->version, sizeof(s->version), request_hash);
	const double unit =
	    ldexp((double)(h >> (64 - MANTISSA_BITS)) + 0.5, -MANTISSA_BITS);

	return -log(unit) / s->permille;
}

/// Chooses the version of a request; the same everywhere for equal tables.
///
/// @param table         shares in force
/// @param request_hash  well spread hash that is the request's own
/// @return the version's key
uint64_t
rollout_pick_version(const struct rollout_split *table, uint64_t request_hash)
{
	uint64_t best = table->base;
	double best_score = INFINITY;

	assert(table->n <= ROLLOUT_MAX_VERSIONS);
	for (uint32_t i = 0; i < table->n; i++) {
		const struct rollout_share *s = &table->shares[i];
		double at;

		if (s->permille == 0)
			continue;
		at = score(s, request_hash);
		if (at >= best_score)
			continue;
		best_score = at;
		best = s->version;
	}
	return best;
}
