#ifndef FLEET_DUTY_H
#define FLEET_DUTY_H

#include <stdbool.h>
#include <stdint.h>

/// Decides when a process may make the calls of the cluster-wide duties,
/// without I/O. One process holds them at a time: the leader that committed the
/// last claim. The cloud may not check the fencing number, so that holders must
/// not overlap by themselves: a call expires within a bound, and a new holder
/// makes none until those of the holder before have expired. All times are of a
/// clock that also counts suspended time.

struct duty_config {
	uint32_t self;      ///< slot of this process, not 0
	uint64_t lease_us;  ///< a new holder waits for this, and
	uint64_t margin_us; ///< for this
};

struct duty {
	struct duty_config config;
	bool claiming; ///< a claim is being committed
	bool fenced;   ///< the cloud has seen a higher number than the claim's
	uint64_t valid_from_us; ///< no call before this; 0: not the holder
	uint64_t checked_us;    ///< when duty_may_call() last held
	/// Last claim that this process knows as its own, and when the calls of
	/// the holder before it have expired.
	uint64_t fence;
	uint64_t wait_until_us;
};

/// The last claim that was committed.
struct duty_claim {
	uint32_t holder; ///< slot; 0: none yet
	uint64_t fence;
};

enum duty_action {
	DUTY_NONE,
	DUTY_COMMIT_CLAIM, ///< propose a claim; then call duty_on_claimed()
	DUTY_BEGIN,        ///< has just become able to call, see valid_from_us
};

void duty_init(struct duty *d, const struct duty_config *config);
bool duty_reset(struct duty *d);
void duty_on_fenced(struct duty *d);
enum duty_action duty_tick(
    struct duty *d, uint64_t now_us, const struct duty_claim *last);
bool duty_on_claimed(struct duty *d, uint64_t now_us, uint32_t last_holder,
    const struct duty_claim *committed);
bool duty_may_call(
    struct duty *d, uint64_t now_us, const struct duty_claim *last);
uint64_t duty_call_timeout_us(const struct duty *d, uint64_t wanted_us);

#endif
