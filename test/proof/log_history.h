#ifndef PROOF_LOG_HISTORY_H
#define PROOF_LOG_HISTORY_H

#include "base/status.h"

#include <stdbool.h>
#include <stdint.h>

/// Operations on a replicated list, with the times of call and answer.
struct log_history;

struct log_history *log_history_new(void);
void log_history_free(struct log_history *h);
/// Starts an operation; an append's value is the number returned.
uint64_t log_history_call(struct log_history *h, bool read, uint64_t now_us);
/// Ends an operation: an append at a position, or a read of a length.
void log_history_answer(struct log_history *h, uint64_t id, enum status status,
    uint64_t version, uint64_t now_us);
/// Whether all answers fit one order of the final list that agrees with the
/// times. Says on stdout what doesn't.
bool log_history_check(
    const struct log_history *h, const uint64_t *list, uint64_t n);
uint64_t log_history_count(const struct log_history *h, enum status status);

#endif
