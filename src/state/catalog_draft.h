#ifndef STATE_CATALOG_DRAFT_H
#define STATE_CATALOG_DRAFT_H

#include "state/catalog_internal.h"

/// The configuration as it would be after a note. Tables that the note doesn't
/// change are shared with the catalog.
struct catalog_draft {
	const struct catalog *s; ///< Current configuration.
	const struct spec_note *note;
	struct spec_problems *problems; ///< Mistakes in the note; not owned.
	struct namemap tables[SPEC_KIND_COUNT];
	bool owned[SPEC_KIND_COUNT]; ///< Whether the table is a copy.
};

void catalog_draft_init(struct catalog_draft *d, const struct catalog *s,
    const struct spec_note *note, struct spec_problems *problems);
void catalog_draft_clear(struct catalog_draft *d);
void catalog_draft_apply_note(struct catalog_draft *d);
void catalog_draft_check(struct catalog_draft *d);
void catalog_draft_commit(struct catalog_draft *d, struct catalog *s);
void catalog_draft_problem(struct catalog_draft *d, enum spec_kind kind,
    const char *key, const char *field, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
const struct spec_change *catalog_draft_change(
    const struct catalog_draft *d, enum spec_kind kind, const char *key);

#endif
