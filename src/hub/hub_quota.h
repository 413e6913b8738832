#ifndef HUB_HUB_QUOTA_H
#define HUB_HUB_QUOTA_H

#include "fleet/quota_queue.h"
#include "hub/hub_internal.h"

/// Quotas of customers at the leader. A pointer to a struct hub_quota is valid
/// until the callback of the loop returns in which it was looked up: only
/// hub_quota_start() releases them, and the timer their queues.

struct hub_quota {
	struct quota_bucket bucket;
	struct quota_queue *queue; ///< asks that wait for the bucket
};

struct hub_quotas {
	GHashTable *by_customer;         ///< name -> struct hub_quota
	struct timerq_timer *timer;      ///< the next ask may be decided
	struct metrics_value *n_waiting; ///< asks, now
	struct metrics_value *n_granted; ///< at once
	struct metrics_value *n_waited;  ///< granted after a wait
	struct metrics_value *n_refused; ///< at once
	struct metrics_value *n_late;    ///< refused after a wait
	struct metrics_value *n_withdrawn;
	struct metrics_value *n_unknown; ///< of customers that are gone
};

struct hub_quota *hub_quota_of(
    struct hub *h, const struct fleetcfg_customer *c);

#endif
