#ifndef LOAD_TRACE_H
#define LOAD_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// What the callers of the two users do.
enum ld_kind {
	LD_CONTRACT, ///< A contract for review; streamed.
	LD_CHAT,     ///< A turn of a crew chat; streamed.
	LD_DOSSIER,  ///< A question on a long shared history; streamed.
	LD_QUESTION, ///< A quick question; one body.
	LD_BOOKING,  ///< Accepted for later, with an idempotency key.
	LD_CONFIRM,  ///< At once, may not be repeated.
	LD_LOOKUP,   ///< At once, idempotent.
	LD_KINDS,
};

struct ld_trace_settings {
	uint64_t seed;
	double rate_per_s;
	double duration_s;
	uint32_t mix[LD_KINDS]; ///< Relative frequency of each kind.
	uint32_t n_histories;   ///< Long histories that dossiers share.
	uint32_t history_bytes;
	uint32_t token_permille; ///< Scale of the lengths of answers.
	const char *customers;   ///< Names separated by commas.
	const char *model;       ///< "" lets the entry choose.
};

/// One request of a caller, planned.
struct ld_item {
	uint64_t at_us; ///< From the start of the trace.
	enum ld_kind kind;
	const char *path; ///< Static.
	char *customer;
	char *body;
	size_t len;
	char *key; ///< Idempotency key, or NULL.
	bool stream;
	bool completion; ///< Answered by a runner.
	uint64_t prompt_hash;
	uint32_t n_tokens;
};

struct ld_trace {
	size_t n;
	struct ld_item *items;
	/// Prompt tokens that no cache can hold yet when they come.
	uint64_t first_seen_tokens;
	uint64_t prompt_tokens;
};

const char *ld_kind_name(enum ld_kind kind);
enum status ld_mix_parse(const char *text, uint32_t mix[LD_KINDS]);
struct ld_trace *ld_trace_new(const struct ld_trace_settings *settings);
void ld_trace_free(struct ld_trace *t);

#endif
