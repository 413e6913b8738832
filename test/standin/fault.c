#include "fault.h"

#include <string.h>

static const char *const hostile_names[HOSTILE_KINDS] = {
	[HOSTILE_NONE] = "none",
	[HOSTILE_DUPLICATE] = "duplicate",
	[HOSTILE_CROSSED] = "crossed",
	[HOSTILE_CUT] = "cut",
	[HOSTILE_LATE] = "late",
	[HOSTILE_NO_END] = "no_end",
	[HOSTILE_STALL] = "stall",
};

static enum fault_act
act_named(const char *name)
{
	if (strcmp(name, "fail") == 0)
		return FAULT_FAIL;
	if (strcmp(name, "slow") == 0)
		return FAULT_SLOW;
	if (strcmp(name, "cut") == 0)
		return FAULT_CUT;
	return FAULT_NONE;
}

/// Decides which fault, if any, hits a request. The version's settings are
/// {"fault": "fail|slow|cut", "after_answers", "after_ms", "over_running",
/// "route", "permille"}; the fault applies when all conditions given hold.
enum fault_act
fault_choose(struct standin_env *env, const json_t *version,
    const struct fault_load *load)
{
	const enum fault_act act =
	    act_named(standin_get_str(version, "fault", "none"));
	const char *route = standin_get_str(version, "route", NULL);

	if (act == FAULT_NONE)
		return FAULT_NONE;
	if (load->responses <
	    (uint64_t)standin_get_int(version, "after_answers", 0))
		return FAULT_NONE;
	if (load->up_us <
	    (uint64_t)standin_get_int(version, "after_ms", 0) * 1000)
		return FAULT_NONE;
	if (load->running <
	    (uint64_t)standin_get_int(version, "over_running", 0))
		return FAULT_NONE;
	if (route != NULL && strcmp(route, load->route) != 0)
		return FAULT_NONE;
	if (!standin_chance(env, standin_get_int(version, "permille", 1000)))
		return FAULT_NONE;
	return act;
}

/// Name of a hostile behaviour, as in the settings.
const char *
hostile_name(enum hostile h)
{
	return hostile_names[h];
}

/// Draws the behaviour for the next response from the setting "hostile":
/// {NAME: permille}.
enum hostile
hostile_draw(struct standin_env *env)
{
	const json_t *odds = json_object_get(env->settings, "hostile");
	int64_t at = (int64_t)rnd_below(env->rnd, 1000);

	if (!json_is_object(odds))
		return HOSTILE_NONE;
	for (int h = HOSTILE_DUPLICATE; h < HOSTILE_KINDS; h++) {
		at -= standin_get_int(odds, hostile_names[h], 0);
		if (at < 0)
			return (enum hostile)h;
	}
	return HOSTILE_NONE;
}
