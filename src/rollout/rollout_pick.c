#include "rollout/rollout.h"

#include <glib.h>

#include <assert.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#define MANTISSA_BITS 53 ///< of a double

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

/// Key of the name of a version, pool, route or entry.
uint64_t
rollout_key(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/// Key of a version of a pool, for callers where versions of different pools
/// may have equal names.
uint64_t
rollout_version_key(const char *pool, const char *version)
{
	char *name = g_strdup_printf("%s/%s", pool, version);
	const uint64_t key = rollout_key(name);

	g_free(name);
	return key;
}

/// Whether a rollout in this state is over.
bool
rollout_is_final(enum rollout_state state)
{
	return state == ROLLOUT_DONE || state == ROLLOUT_ROLLED_BACK ||
	    state == ROLLOUT_WITHDRAWN;
}

/// Name of a state, for people and for JSON; a static string.
const char *
rollout_state_name(enum rollout_state state)
{
	return state_names[state];
}

/// Name of a reason, a static string; empty for ROLLOUT_REASON_NONE.
const char *
rollout_reason_name(enum rollout_reason reason)
{
	return reason_names[reason];
}

/// Score of a version for a request: the time of the first event of a Poisson
/// process whose rate is the share. The version with the lowest score is
/// chosen, so that each is chosen in proportion to its share, and raising the
/// share of one version moves requests to that version only.
static double
score(const struct rollout_share *s, uint64_t request_hash)
{
	const uint64_t h =
	    XXH3_64bits_withSeed(&s->version, sizeof(s->version), request_hash);
	const double unit =
	    ldexp((double)(h >> (64 - MANTISSA_BITS)) + 0.5, -MANTISSA_BITS);

	return -log(unit) / s->permille;
}

/// Chooses the version of a request; every process chooses the same one for
/// equal splits.
///
/// @param split         traffic split in force
/// @param request_hash  uniformly distributed hash of the request
/// @return the version's key
uint64_t
rollout_pick_version(const struct rollout_split *split, uint64_t request_hash)
{
	uint64_t best = split->baseline;
	double best_score = INFINITY;

	assert(split->n <= ROLLOUT_MAX_VERSIONS);
	for (uint32_t i = 0; i < split->n; i++) {
		const struct rollout_share *s = &split->shares[i];
		double this_score;

		if (s->permille == 0)
			continue;
		this_score = score(s, request_hash);
		if (this_score >= best_score)
			continue;
		best_score = this_score;
		best = s->version;
	}
	return best;
}
