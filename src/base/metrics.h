#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stddef.h>
#include <stdint.h>

/// Registry of the counters, gauges and histograms of one process.
struct metrics_registry;

/// Value of a counter, which only increases, or of a gauge, which may also
/// decrease. The owner of the metric updates it directly.
struct metrics_value {
	uint64_t value;
};

/// Histogram of durations in microseconds. The upper limit of each bucket is a
/// quarter above that of the one before.
struct metrics_hist;

struct metrics_registry *metrics_new(void);
void metrics_free(struct metrics_registry *registry);
struct metrics_value *metrics_counter(
    struct metrics_registry *registry, const char *name, const char *labels);
struct metrics_value *metrics_gauge(
    struct metrics_registry *registry, const char *name, const char *labels);
struct metrics_hist *metrics_hist(
    struct metrics_registry *registry, const char *name, const char *labels);
void metrics_observe(struct metrics_hist *h, uint64_t value_us);
uint64_t metrics_quantile(const struct metrics_hist *h, double q);
uint64_t metrics_hist_count(const struct metrics_hist *h);
char *metrics_text(const struct metrics_registry *registry, size_t *len);

#endif
