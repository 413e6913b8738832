#include "fleet/feedsource.h"

#include "base/timerq.h"

#define UNANSWERED_US USEC_PER_SEC
/// A process that was just chosen has this long to send a newer one.
#define FIRST_LIST_US USEC_PER_SEC
/// A process that doesn't have the configuration that the leader told of is
/// left after this time: several heartbeats of the log.
#define LAG_US (500 * USEC_PER_MSEC)
/// One that has it is left after this time: the transfer of a large one takes a
/// while.
#define TRANSFER_US (1500 * USEC_PER_MSEC)
/// After this time the gateway returns to the process that it prefers.
#define RETURN_US (10 * USEC_PER_SEC)

static uint64_t
later(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/// Chooses a process.
///
/// @param slot  0: there is none
void
feedsource_choose(struct feedsource *f, uint32_t slot, uint64_t now_us)
{
	f->slot = slot;
	f->chosen_us = now_us;
	f->unanswered_us = 0;
	f->version = 0;
}

/// The leader has told of a configuration.
///
/// @param has  version that the gateway has
void
feedsource_want(
    struct feedsource *f, uint64_t version, uint64_t has, uint64_t now_us)
{
	if (version <= f->wanted_version)
		return;
	if (!feedsource_is_behind(f, has))
		f->behind_since_us = now_us;
	f->wanted_version = version;
}

/// The process was asked.
void
feedsource_on_ask(struct feedsource *f, uint64_t now_us)
{
	if (f->unanswered_us == 0)
		f->unanswered_us = now_us;
}

/// The process has answered, or sent a change.
///
/// @param version  of the newest configuration that it has
void
feedsource_on_answer(struct feedsource *f, uint64_t version)
{
	f->unanswered_us = 0;
	f->version = version;
}

/// Whether the gateway lacks the configuration that the leader told of.
///
/// @param has  version that the gateway has
bool
feedsource_is_behind(const struct feedsource *f, uint64_t has)
{
	return f->wanted_version > has;
}

static bool
list_is_old(const struct feedsource *f, const struct feedsource_state *has,
    uint64_t now_us)
{
	return now_us > has->list_fresh_us +
		later(FEEDSOURCE_LIST_OLD_US, has->list_old_us) &&
	    now_us > f->chosen_us + FIRST_LIST_US;
}

static bool
config_is_late(const struct feedsource *f, uint64_t has, uint64_t now_us)
{
	const uint64_t limit_us =
	    f->version >= f->wanted_version ? TRANSFER_US : LAG_US;

	return feedsource_is_behind(f, has) &&
	    now_us > later(f->behind_since_us, f->chosen_us) + limit_us;
}

/// Whether the gateway has to choose another process: this one doesn't answer,
/// or others are likely to have a newer list or configuration.
bool
feedsource_must_leave(const struct feedsource *f,
    const struct feedsource_state *has, uint64_t now_us)
{
	return (f->unanswered_us != 0 &&
		   now_us > f->unanswered_us + UNANSWERED_US) ||
	    list_is_old(f, has, now_us) ||
	    config_is_late(f, has->version, now_us);
}

/// Whether it is time to return to the process that the gateway prefers.
bool
feedsource_may_return(const struct feedsource *f, uint64_t now_us)
{
	return now_us > f->chosen_us + RETURN_US;
}
