#ifndef PROOF_CONTROL_NOTES_H
#define PROOF_CONTROL_NOTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/deploy.h"

/// Notes of one test that are submitted to real control processes, and checks
/// of the revisions that the entries report.

struct notes {
	struct deploy *d;
	uint32_t n_control;
	uint32_t n_entries;
	uint32_t next;       ///< number of the next note
	GPtrArray *accepted; ///< names, in order
	int64_t seen[16];    ///< highest revision that each entry reported
	int64_t worst_us;    ///< longest wait of notes_in_force()
	bool ok;             ///< no invariant was violated
};

void notes_init(
    struct notes *n, struct deploy *d, uint32_t n_control, uint32_t n_entries);
void notes_clear(struct notes *n);
bool notes_submit(struct notes *n, uint32_t timeout_ms);
void notes_watch(struct notes *n);
bool notes_in_force(struct notes *n, uint32_t timeout_ms);
bool notes_kept(struct notes *n);
void notes_fail(struct notes *n, const char *what);

#endif
