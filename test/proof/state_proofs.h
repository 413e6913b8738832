#ifndef PROOF_STATE_PROOFS_H
#define PROOF_STATE_PROOFS_H

#include <stdint.h>

/// Each runs one proof with a seed, prints its figures, and returns 0 when no
/// invariant was violated, else 1.
int proof_state_notes_random(uint64_t seed);
int proof_journal_random(uint64_t seed);
int proof_state_bytes_random(uint64_t seed);
int proof_leaving_vm(uint64_t seed);

#endif
