#include "report/totals.h"

const struct totals_field totals_fields[TOTALS_FIELDS] = {
	{ "requests", offsetof(struct slo_totals, requests) },
	{ "failed", offsetof(struct slo_totals, failed) },
	{ "late_first", offsetof(struct slo_totals, ttft_missed) },
	{ "late_between", offsetof(struct slo_totals, inter_token_missed) },
	{ "tokens", offsetof(struct slo_totals, tokens) },
	{ "recomputed_tokens", offsetof(struct slo_totals, recomputed_tokens) },
	{ "bad", offsetof(struct slo_totals, violations) },
};

/// Pointer to a counter by its index in totals_fields.
uint64_t *
totals_counter(struct slo_totals *t, size_t field)
{
	return (uint64_t *)(void *)((char *)t + totals_fields[field].offset);
}

static uint64_t
counter_value(const struct slo_totals *t, size_t field)
{
	const char *at = (const char *)t + totals_fields[field].offset;

	return *(const uint64_t *)(const void *)at;
}

/// Adds each counter of `from` to `to`.
void
totals_add(struct slo_totals *to, const struct slo_totals *from)
{
	for (size_t i = 0; i < TOTALS_FIELDS; i++)
		*totals_counter(to, i) += counter_value(from, i);
}

/// Difference of each counter between two samples; 0 where it decreased.
struct slo_totals
totals_since(const struct slo_totals *now, const struct slo_totals *before)
{
	struct slo_totals out = { .requests = 0 };

	for (size_t i = 0; i < TOTALS_FIELDS; i++) {
		const uint64_t a = counter_value(now, i);
		const uint64_t b = counter_value(before, i);

		*totals_counter(&out, i) = a > b ? a - b : 0;
	}
	return out;
}
