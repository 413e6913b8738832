#include "replog/replica_internal.h"

#include "base/logger.h"

#include <inttypes.h>

/// A replica whose disk is full is suspended: it sends nothing, so that it
/// neither votes nor acknowledges, and the other members go on without it. What
/// a failed write left on the disk is unknown. So the log is closed, and once
/// there is space it is read again, as at a start of the process. The applied
/// state stays in memory: all of it is committed.

#define RESUME_INTERVAL_US (500 * USEC_PER_MSEC)

/// Suspends a replica that has just failed. It may be in the middle of a step,
/// so the log is closed by the timer.
void
replica_suspend(struct replica *g)
{
	char quoted[256];

	timerq_arm_in(g->resume_timer, 0);
	if (g->suspended)
		return;
	g->suspended = true;
	g->suspended_at_us = timerq_now_us(g->config.timerq);
	logger_event(LOGGER_ERROR, "replog.suspended",
	    "group=%u status=%s reason=%s", g->config.group,
	    status_name(STATUS_FULL),
	    logger_quote(quoted, sizeof(quoted), status_last()));
}

static void
close_disk(struct replica *g)
{
	logstore_close(g->disk);
	g->disk = NULL;
	g->sync_seq = 0;
	g->synced_seq = 0;
	g->installed_term = 0;
	g->was_ready = false;
	g_array_set_size(g->need_snapshot, 0);
	replica_cancel_waiters(g);
	if (g->core != NULL)
		g->config.ops.role_changed(
		    g->config.arg, RAFT_FOLLOWER, 0, raft_term(g->core));
}

/// Reads the log again and starts to take part in the group.
///
/// @return STATUS_OK, also if the disk turned out to be full after all and the
///         replica is suspended again; else why the log can't be read
static enum status
resume(struct replica *g, uint64_t now_us)
{
	enum status status;

	g->failed = false;
	status = replica_open_disk(g);
	if (status != STATUS_OK || g->failed)
		return status;
	timerq_disarm(g->resume_timer);
	g->suspended = false;
	logger_event(LOGGER_INFO, "replog.resumed",
	    "group=%u after_ms=%" PRIu64, g->config.group,
	    (now_us - g->suspended_at_us) / USEC_PER_MSEC);
	timerq_arm_in(g->join_timer, 0);
	return STATUS_OK;
}

/// Closes the log of a replica that was just suspended; from then on resumes it
/// once the disk has space.
void
replica_on_resume_timer(void *arg, uint64_t now_us)
{
	struct replica *g = arg;
	enum status status;

	if (g->disk != NULL)
		close_disk(g);
	timerq_arm_in(g->resume_timer, RESUME_INTERVAL_US);
	status = logstore_check_space(
	    g->config.folder, g->config.group, g->config.os);
	if (status == STATUS_OK)
		status = resume(g, now_us);
	if (status == STATUS_OK)
		return;
	g->failed = true;
	if (status == STATUS_FULL)
		return;
	timerq_disarm(g->resume_timer);
	g->suspended = false;
	g->config.ops.failed(g->config.arg, status);
}
