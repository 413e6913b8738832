#include "proof/state_proofs.h"

#include "base/rnd.h"
#include "conf/settings.h"
#include "state/journal.h"
#include "state/catalog.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS 20000
#define MAX_FLIPS 4

static const char *const note_text =
    "{\"note\":\"n\",\"base\":0,\"data_centres\":{\"add\":[{\"name\":\"d\","
    "\"region\":\"r\"}]},\"pools\":{\"add\":[{\"name\":\"p\",\"kind\":"
    "\"runner\"}]},\"versions\":{\"add\":[{\"name\":\"v1\",\"pool\":\"p\"},"
    "{\"name\":\"v2\",\"pool\":\"p\",\"replaces\":\"v1\",\"complete_by\":"
    "\"2026-12-04T18:00:00Z\"}]},\"backend_servers\":{\"add\":[{\"name\":"
    "\"s\",\"pool\":\"p\",\"data_centre\":\"d\",\"address\":\"[::1]:9\","
    "\"versions\":[\"v1\"]}]},\"routes\":{\"add\":[{\"path\":\"/a\",\"pool\":"
    "\"p\",\"mode\":\"later\",\"idempotent\":false}]}}";

static const char *const settings_text =
    "{\"role\":\"control\",\"node\":\"c\",\"data_centre\":\"d\","
    "\"deployment\":\"b\",\"data_folder\":\"/d\",\"operators\":"
    "\"127.0.0.1:1\",\"peer\":\"127.0.0.1:2\",\"control\":[{\"id\":1,"
    "\"name\":\"c\",\"data_centre\":\"d\",\"peer\":\"127.0.0.1:2\","
    "\"operators\":\"127.0.0.1:1\"}],\"tls\":{\"plain\":true}}";

/// Kinds of valid bytes; each has a parser that accepts them undamaged.
enum sample {
	SAMPLE_NOTE,
	SAMPLE_SETTINGS,
	SAMPLE_COMMAND,
	SAMPLE_CHANGES,
	SAMPLE_STATE,
	SAMPLE_JOURNAL_COMMAND,
	SAMPLE_JOURNAL,
	SAMPLE_COUNT,
};

struct samples {
	uint8_t *bytes[SAMPLE_COUNT];
	size_t len[SAMPLE_COUNT];
	uint64_t n_accepted; ///< Damaged samples that a parser accepted.
};

static void
make_state_samples(struct samples *s)
{
	const struct catalog_command c = {
		.kind = CATALOG_CMD_NOTE,
		.note = { .text = note_text, .len = strlen(note_text) },
	};
	struct catalog *state = catalog_new();
	struct catalog_result r;
	uint64_t to;

	catalog_encode(&c, &s->bytes[SAMPLE_COMMAND], &s->len[SAMPLE_COMMAND]);
	catalog_apply(
	    state, s->bytes[SAMPLE_COMMAND], s->len[SAMPLE_COMMAND], &r);
	catalog_result_clear(&r);
	catalog_snapshot(state, &s->bytes[SAMPLE_STATE], &s->len[SAMPLE_STATE]);
	if (catalog_changes(state, 0, SIZE_MAX, &s->bytes[SAMPLE_CHANGES],
		&s->len[SAMPLE_CHANGES], &to) != STATUS_OK)
		abort();
	catalog_free(state);
}

static void
make_journal_samples(struct samples *s)
{
	const struct journal_command c = {
		.kind = JOURNAL_CMD_ACCEPT,
		.now_us = 1,
		.id = "1-a",
		.accept = { .key = "k",
		    .customer = "c",
		    .body = (const uint8_t *)"body",
		    .len = 4 },
	};
	const int kind = SAMPLE_JOURNAL_COMMAND;
	struct journal *j = journal_new();
	struct journal_result r;

	journal_encode(&c, &s->bytes[kind], &s->len[kind]);
	journal_apply(j, s->bytes[kind], s->len[kind], &r);
	journal_snapshot(j, &s->bytes[SAMPLE_JOURNAL], &s->len[SAMPLE_JOURNAL]);
	journal_free(j);
}

static void
make_samples(struct samples *s)
{
	s->bytes[SAMPLE_NOTE] = (uint8_t *)strdup(note_text);
	s->len[SAMPLE_NOTE] = strlen(note_text);
	s->bytes[SAMPLE_SETTINGS] = (uint8_t *)strdup(settings_text);
	s->len[SAMPLE_SETTINGS] = strlen(settings_text);
	make_state_samples(s);
	make_journal_samples(s);
}

static bool
parse_note(const uint8_t *bytes, size_t len)
{
	struct spec_problems problems = { 0 };
	struct spec_note *note;
	const enum status st =
	    spec_parse_note((const char *)bytes, len, &note, &problems);

	spec_note_free(note);
	spec_problems_free(&problems);
	return st == STATUS_OK;
}

static bool
parse_settings_text(const uint8_t *bytes, size_t len)
{
	struct spec_problems problems = { 0 };
	struct settings settings;
	const enum status st =
	    settings_parse((const char *)bytes, len, &settings, &problems);

	spec_problems_free(&problems);
	return st == STATUS_OK;
}

static bool
restore_catalog(enum sample kind, const uint8_t *bytes, size_t len)
{
	struct catalog *state = NULL;
	struct catalog_result r = { 0 };
	enum status st;

	if (kind == SAMPLE_STATE) {
		st = catalog_restore(bytes, len, &state);
		catalog_free(state);
		return st == STATUS_OK;
	}
	state = catalog_new();
	if (kind == SAMPLE_CHANGES) {
		st = catalog_apply_changes(state, bytes, len);
	} else {
		catalog_apply(state, bytes, len, &r);
		st = r.status == CATALOG_ACCEPTED ? STATUS_OK : STATUS_INVALID;
		catalog_result_clear(&r);
	}
	catalog_free(state);
	return st == STATUS_OK;
}

static bool
restore_journal(enum sample kind, const uint8_t *bytes, size_t len)
{
	struct journal_result r = { .status = JOURNAL_REFUSED };
	struct journal *j = NULL;
	bool accepted;

	if (kind == SAMPLE_JOURNAL) {
		accepted = journal_restore(bytes, len, &j) == STATUS_OK;
	} else {
		j = journal_new();
		journal_apply(j, bytes, len, &r);
		accepted = r.status == JOURNAL_APPLIED;
	}
	journal_free(j);
	return accepted;
}

static bool
parse_sample(enum sample kind, const uint8_t *bytes, size_t len)
{
	switch (kind) {
	case SAMPLE_NOTE:
		return parse_note(bytes, len);
	case SAMPLE_SETTINGS:
		return parse_settings_text(bytes, len);
	case SAMPLE_COMMAND:
	case SAMPLE_CHANGES:
	case SAMPLE_STATE:
		return restore_catalog(kind, bytes, len);
	case SAMPLE_JOURNAL_COMMAND:
	case SAMPLE_JOURNAL:
		return restore_journal(kind, bytes, len);
	case SAMPLE_COUNT:
		break;
	}
	abort();
}

/// Parses a copy of a random sample with a few bytes changed, and in one case
/// of four truncated.
static void
parse_damaged(struct samples *s, struct rnd *rnd)
{
	const enum sample kind = (enum sample)rnd_below(rnd, SAMPLE_COUNT);
	const uint64_t flips = 1 + rnd_below(rnd, MAX_FLIPS);
	size_t len = s->len[kind];
	uint8_t *bytes = g_memdup2(s->bytes[kind], len);

	for (uint64_t i = 0; i < flips; i++)
		bytes[rnd_below(rnd, len)] = (uint8_t)rnd_u64(rnd);
	if (rnd_below(rnd, 4) == 0)
		len = rnd_below(rnd, len);
	// With an allocation of the exact length a sanitizer detects a read
	// beyond its end.
	bytes = g_realloc(bytes, MAX(len, 1));
	s->n_accepted += parse_sample(kind, bytes, len) ? 1 : 0;
	g_free(bytes);
}

/// Settings, notes, commands, changes and snapshots with random damage
/// are accepted or refused, but never crash the process. Undamaged ones are
/// accepted.
int
proof_state_bytes_random(uint64_t seed)
{
	struct rnd *rnd = rnd_new(seed);
	struct samples s = { 0 };
	int n_violations = 0;

	make_samples(&s);
	for (int kind = 0; kind < SAMPLE_COUNT; kind++) {
		if (!parse_sample(
			(enum sample)kind, s.bytes[kind], s.len[kind])) {
			(void)printf("breach=whole_is_read sample=%d\n", kind);
			n_violations++;
		}
	}
	for (int i = 0; i < ROUNDS; i++)
		parse_damaged(&s, rnd);
	for (int kind = 0; kind < SAMPLE_COUNT; kind++)
		free(s.bytes[kind]);
	rnd_free(rnd);
	(void)printf("rounds=%d taken=%" G_GUINT64_FORMAT " breaches=%d\n",
	    ROUNDS, s.n_accepted, n_violations);
	return n_violations == 0 ? 0 : 1;
}
