#include "report/totals.h"

const struct totals_field totals_fields[TOTALS_FIELDS] = {
	{ "requests", offsetof(struct slo_totals, requests) },
	{ "failed", offsetof(struct slo_totals, failed) },
	{ "late_first", offsetof(struct slo_totals, ttft_missed) },
	{ "late_between", offsetof(struct slo_totals, inter_token_missed) },
	{ "tokens", offsetof(struct slo_totals, tokens) },
	{ "recomputed_tokens", offsetof(struct slo_totals, recomputed_tokens) },
	{ "bad", offsetof(struct slo_totals, bad) },
};

/// The counter of a field.
uint64_t *
totals_at(struct slo_totals *t, size_t field)
{
	return (uint64_t *)(void *)((char *)t + totals_fields[field].offset);
}

static uint64_t
value_at(const struct slo_totals *t, size_t field)
{
	const char *at = (const char *)t + totals_fields[field].offset;

	return *(const uint64_t *)(const void *)at;
}

/// Adds each counter.
void
totals_add(struct slo_totals *to, const struct slo_totals *from)
{
	for (size_t i = 0; i < TOTALS_FIELDS; i++)
		*totals_at(to, i) += value_at(from, i);
}

/// What was counted since an earlier reading; never below 0.
struct slo_totals
totals_since(const struct slo_totals *now, const struct slo_totals *before)
{
	struct slo_totals out = { .requests = 0 };

	for (size_t i = 0; i < TOTALS_FIELDS; i++) {
		const uint64_t a = value_at(now, i);
		const uint64_t b = value_at(before, i);

		*totals_at(&out, i) = a > b ? a - b : 0;
	}
	return out;
}
