#ifndef FLEET_QUOTA_QUEUE_H
#define FLEET_QUOTA_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/quota.h"

/// Asks for grants of one customer's quota that wait for its bucket to refill:
/// a core without I/O, see docs/design/quota.md.

/// Priority of late requests, after those of routes.
#define QUOTA_LATE 10

/// How long a request can wait for a grant.
struct quota_patience {
	uint64_t wait_us; ///< and still be served within its latency target
	uint64_t left_us; ///< until its caller gives up
	bool late;        ///< its latency target has passed already
};

struct quota_ask {
	uint64_t link; ///< with `tag`, names the ask
	uint64_t tag;
	double units;
	uint32_t priority; ///< of the route; 0: highest
	struct quota_patience patience;
};

enum quota_decision_kind {
	QUOTA_NONE,
	QUOTA_GRANT,
	QUOTA_REFUSE,
};

struct quota_decision {
	enum quota_decision_kind kind;
	struct quota_ask ask;
	uint64_t waited_us;
	uint64_t retry_us; ///< when refused: until it may be asked again
	uint64_t room_us;  ///< when refused: until room was expected for it
};

struct quota_queue;

struct quota_patience quota_patience(uint64_t target_us, uint64_t timeout_us,
    uint64_t left_us, uint64_t held_us);

uint32_t quota_priority(uint32_t route_priority, bool late);

struct quota_queue *quota_queue_new(void);
void quota_queue_free(struct quota_queue *q);
struct quota_decision quota_queue_add(struct quota_queue *q,
    struct quota_bucket *bucket, const struct quota_limit *limit,
    uint64_t now_us, const struct quota_ask *ask);
struct quota_decision quota_queue_next(struct quota_queue *q,
    struct quota_bucket *bucket, const struct quota_limit *limit,
    uint64_t now_us);
uint64_t quota_queue_wake_us(const struct quota_queue *q,
    struct quota_bucket *bucket, const struct quota_limit *limit,
    uint64_t now_us);
uint32_t quota_queue_length(const struct quota_queue *q);
bool quota_queue_has(const struct quota_queue *q, uint64_t link, uint64_t tag);
bool quota_queue_withdraw(struct quota_queue *q, uint64_t link, uint64_t tag);
void quota_queue_drop_link(struct quota_queue *q, uint64_t link);

#endif
