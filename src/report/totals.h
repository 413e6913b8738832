#ifndef REPORT_TOTALS_H
#define REPORT_TOTALS_H

#include "report/slo.h"

void totals_add(struct slo_totals *to, const struct slo_totals *from);
struct slo_totals totals_since(
    const struct slo_totals *now, const struct slo_totals *before);

/// A counter by its name in JSON and its offset in struct slo_totals.
struct totals_field {
	const char *name;
	size_t offset;
};

#define TOTALS_FIELDS 7

extern const struct totals_field totals_fields[TOTALS_FIELDS];

uint64_t *totals_counter(struct slo_totals *t, size_t field);

#endif
