#ifndef LOAD_HIST_H
#define LOAD_HIST_H

#include <stdint.h>

/// Histogram of times in microseconds. A bucket is at most 1/64 of its values
/// wide, so a quantile is at most that much too high.
struct loadgen_hist;

struct loadgen_hist *loadgen_hist_new(void);
void loadgen_hist_free(struct loadgen_hist *h);
void loadgen_hist_add(struct loadgen_hist *h, uint64_t value_us);
uint64_t loadgen_hist_count(const struct loadgen_hist *h);
uint64_t loadgen_hist_max(const struct loadgen_hist *h);
uint64_t loadgen_hist_quantile(const struct loadgen_hist *h, double q);

#endif
