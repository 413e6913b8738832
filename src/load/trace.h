#ifndef LOAD_TRACE_H
#define LOAD_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// Kinds of requests that callers send.
enum loadgen_kind {
	LOADGEN_CONTRACT, ///< A contract for review; streamed.
	LOADGEN_CHAT,     ///< A chat's turn, with all earlier turns; streamed.
	LOADGEN_DOSSIER,  ///< A question after a long shared history; streamed.
	LOADGEN_QUESTION, ///< A short question; not streamed.
	LOADGEN_BOOKING,  ///< Accepted to run later, with an idempotency key.
	LOADGEN_CONFIRM,  ///< Runs at once, not idempotent; has a key.
	LOADGEN_LOOKUP,   ///< Runs at once, idempotent.
	LOADGEN_KINDS,
};

struct loadgen_trace_settings {
	uint64_t seed;
	double rate_per_s;
	double duration_s;
	uint32_t mix[LOADGEN_KINDS]; ///< Relative frequency of each kind.
	uint32_t n_histories;        ///< Long histories that dossiers share.
	uint32_t history_bytes;
	uint32_t token_permille; ///< Scale of the lengths of responses.
	const char *customers;   ///< Separated by commas, busiest first.
	const char *model;       ///< "" lets the entry choose.
};

/// One planned request of a caller.
struct loadgen_request {
	uint64_t at_us; ///< From the start of the trace.
	enum loadgen_kind kind;
	const char *path; ///< Static.
	char *customer;
	char *body;
	size_t len; ///< Of body, in bytes.
	char *key;  ///< Idempotency key, or NULL.
	bool stream;
	bool completion; ///< Served by a runner.
	uint64_t prompt_hash;
	uint32_t n_tokens; ///< Of the response of a stand-in runner.
};

/// The requests of a run, in the order in which they are sent.
struct loadgen_trace {
	size_t n;
	struct loadgen_request *requests;
	/// Prompt tokens that no cache can hold when their request is sent,
	/// as no earlier prompt or response began with the same text.
	uint64_t uncacheable_tokens;
	uint64_t prompt_tokens;
};

const char *loadgen_kind_name(enum loadgen_kind kind);
enum status loadgen_mix_parse(const char *text, uint32_t mix[LOADGEN_KINDS]);
struct loadgen_trace *loadgen_trace_new(
    const struct loadgen_trace_settings *settings);
void loadgen_trace_free(struct loadgen_trace *t);

#endif
