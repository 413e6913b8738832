#ifndef PROOF_LOG_HISTORY_H
#define PROOF_LOG_HISTORY_H

#include "base/status.h"

#include <stdbool.h>
#include <stdint.h>

/// History of operations on a replicated list, with the times of call and
/// completion.
struct log_history;

struct log_history *log_history_new(void);
void log_history_free(struct log_history *h);
/// Records the call of an operation.
///
/// @return number of the operation; it is the value of an append
uint64_t log_history_call(struct log_history *h, bool read, uint64_t now_us);
/// Records the completion of an operation.
///
/// @param version  append: length of the list with it; read: length seen
void log_history_complete(struct log_history *h, uint64_t id,
    enum status status, uint64_t version, uint64_t now_us);
/// Whether the history is linearizable: all outcomes agree with the final list
/// and with one order of the operations that respects their times. Prints the
/// first operation that doesn't fit on stdout.
bool log_history_check(
    const struct log_history *h, const uint64_t *list, uint64_t n);
/// Number of operations that completed with a status.
uint64_t log_history_count(const struct log_history *h, enum status status);

#endif
