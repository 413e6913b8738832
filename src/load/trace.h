#ifndef LOAD_TRACE_H
#define LOAD_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// What the callers of the two users do.
enum loadgen_kind {
	LOADGEN_CONTRACT, ///< A contract for review; streamed.
	LOADGEN_CHAT,     ///< A turn of a crew chat; streamed.
	LOADGEN_DOSSIER,  ///< A question on a long shared history; streamed.
	LOADGEN_QUESTION, ///< A quick question; one body.
	LOADGEN_BOOKING,  ///< Accepted for later, with an idempotency key.
	LOADGEN_CONFIRM,  ///< At once, may not be repeated.
	LOADGEN_LOOKUP,   ///< At once, idempotent.
	LOADGEN_KINDS,
};

struct loadgen_trace_settings {
	uint64_t seed;
	double rate_per_s;
	double duration_s;
	uint32_t mix[LOADGEN_KINDS]; ///< Relative frequency of each kind.
	uint32_t n_histories;        ///< Long histories that dossiers share.
	uint32_t history_bytes;
	uint32_t token_permille; ///< Scale of the lengths of answers.
	const char *customers;   ///< Names separated by commas.
	const char *model;       ///< "" lets the entry choose.
};

/// One request of a caller, planned.
struct loadgen_request {
	uint64_t at_us; ///< From the start of the trace.
	enum loadgen_kind kind;
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

struct loadgen_trace {
	size_t n;
	struct loadgen_request *items;
	/// Prompt tokens that no cache can hold yet when they come.
	uint64_t uncacheable_tokens;
	uint64_t prompt_tokens;
};

const char *loadgen_kind_name(enum loadgen_kind kind);
enum status loadgen_mix_parse(const char *text, uint32_t mix[LOADGEN_KINDS]);
struct loadgen_trace *loadgen_trace_new(
    const struct loadgen_trace_settings *settings);
void loadgen_trace_free(struct loadgen_trace *t);

#endif
