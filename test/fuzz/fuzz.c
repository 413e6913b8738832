#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/inv.h"
#include "conf/bootstrap.h"
#include "fleet/evstream.h"
#include "fleet/hubmsg.h"
#include "fleet/limitmsg.h"
#include "hub/hubstate.h"
#include "platform/api_cloud.h"
#include "platform/api_manifest.h"
#include "conf/settings.h"
#include "conf/spec.h"
#include "replog/raft_codec.h"
#include "request/assembler.h"
#include "rollout/rollout_codec.h"
#include "state/journal.h"
#include "state/catalog.h"
#include "wire/wire.h"

/// Fuzzes all parsers of bytes from outside the process. The first byte of the
/// input selects the parser: settings, notes, peer frames, messages of the
/// replicated log, rollout stats, event streams, commands and snapshots of the
/// state.

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
fuzz_settings(const uint8_t *data, size_t size)
{
	struct spec_problems problems = { 0 };
	struct settings settings;

	(void)settings_parse((const char *)data, size, &settings, &problems);
	spec_problems_free(&problems);
}

/// Parses a note and checks that the canonical form of a valid note is valid
/// too.
static void
fuzz_note(const uint8_t *data, size_t size)
{
	struct spec_problems problems = { 0 };
	struct spec_note *note = NULL;
	struct spec_note *reparsed = NULL;
	char *canonical;

	if (spec_parse_note((const char *)data, size, &note, &problems) ==
	    STATUS_OK) {
		canonical = spec_canonical_json(note);
		inv_check(spec_parse_note(canonical, strlen(canonical),
			      &reparsed, &problems) == STATUS_OK,
		    "fuzz.canonical", "form=%s", canonical);
		free(canonical);
		spec_note_free(reparsed);
		spec_note_free(note);
	}
	spec_problems_free(&problems);
}

static void
drop_event(void *arg, const struct assembler_event *event)
{
	(void)arg;
	(void)event;
}

static void
fuzz_stream(const uint8_t *data, size_t size)
{
	struct assembler *s = assembler_new("q1");

	(void)assembler_begin_attempt(s, 1);
	assembler_feed(s, 1, data, size / 2, drop_event, NULL);
	assembler_feed(
	    s, 1, data + size / 2, size - size / 2, drop_event, NULL);
	(void)assembler_end_attempt(s, 1);
	assembler_free(s);
}

static void
fuzz_config(const uint8_t *data, size_t size)
{
	struct catalog *s = catalog_new();
	struct catalog *loaded = NULL;
	struct catalog_result result;

	catalog_apply(s, data, size, &result);
	catalog_result_clear(&result);
	(void)catalog_apply_changes(s, data, size);
	if (catalog_restore(data, size, &loaded) == STATUS_OK)
		catalog_free(loaded);
	catalog_free(s);
}

static void
fuzz_journal(const uint8_t *data, size_t size)
{
	struct journal *j = journal_new();
	struct journal *loaded = NULL;
	struct journal_result result;

	journal_apply(j, data, size, &result);
	if (journal_restore(data, size, &loaded) == STATUS_OK)
		journal_free(loaded);
	journal_free(j);
}

static void
fuzz_messages(const uint8_t *data, size_t size)
{
	static struct rollout_message rollout_stats;
	struct wire_msg frame;
	struct raft_msg message;

	(void)wire_decode(data, size, &frame);
	(void)rollout_report_decode(data, size, &rollout_stats);
	if (raft_msg_decode(data, size, &message) == STATUS_OK)
		raft_msg_clear(&message);
}

static void
drop_text(void *arg, const char *text, size_t len)
{
	(void)arg;
	(void)text;
	(void)len;
}

/// Parsers of the messages between gateways and control.
static void
fuzz_fleet(const uint8_t *data, size_t size)
{
	struct hubstate *state = hubstate_new();
	struct hubstate *loaded;
	struct hubmsg_report report;
	struct limitmsg limits;
	struct hubmsg_state decoded_state;
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));

	(void)hubstate_apply(state, 1, data, size);
	if (hubstate_load(data, size, &loaded) == STATUS_OK)
		hubstate_free(loaded);
	hubstate_free(state);
	limitmsg_init(&limits);
	(void)limitmsg_decode(data, size, &limits);
	limitmsg_clear(&limits);
	hubmsg_report_init(&report);
	(void)hubmsg_report_decode(data, size, &report);
	hubmsg_report_clear(&report);
	hubmsg_state_init(&decoded_state);
	(void)hubmsg_state_decode(data, size, &decoded_state);
	hubmsg_state_clear(&decoded_state);
	(void)hubmsg_servers_decode(data, size, list);
	g_array_unref(list);
}

/// Parsers of bytes from operators, the platform and backend servers.
static void
fuzz_platform(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	struct spec_problems problems = { 0 };
	GArray *servers = g_array_new(FALSE, TRUE, sizeof(struct instance));
	struct evstream *events = evstream_new();
	struct bootstrap_settings settings;
	struct api_rollout order;
	struct fleetcfg *config;
	char *next;
	size_t n_bad;

	if (api_manifest_read(text, size, &config) == STATUS_OK)
		fleetcfg_unref(config);
	if (api_list_read(text, size, servers, &next, &n_bad) == STATUS_OK)
		g_free(next);
	(void)api_rollout_read(text, size, &order);
	(void)bootstrap_parse(text, size, &settings, &problems);
	spec_problems_free(&problems);
	evstream_restart(events, 0);
	if (evstream_feed(events, data, size / 2, drop_text, NULL) ==
	    EVSTREAM_OK)
		(void)evstream_feed(
		    events, data + size / 2, size - size / 2, drop_text, NULL);
	evstream_free(events);
	g_array_unref(servers);
}

/// Runs one input of the fuzzer; returns 0 always.
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size == 0)
		return 0;
	switch (data[0] % 8) {
	case 0:
		fuzz_settings(data + 1, size - 1);
		break;
	case 1:
		fuzz_note(data + 1, size - 1);
		break;
	case 2:
		fuzz_messages(data + 1, size - 1);
		break;
	case 3:
		fuzz_stream(data + 1, size - 1);
		break;
	case 4:
		fuzz_config(data + 1, size - 1);
		break;
	case 5:
		fuzz_fleet(data + 1, size - 1);
		break;
	case 6:
		fuzz_platform(data + 1, size - 1);
		break;
	default:
		fuzz_journal(data + 1, size - 1);
		break;
	}
	return 0;
}
