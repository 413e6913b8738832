#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/inv.h"
#include "conf/ds.h"
#include "fleet/es.h"
#include "fleet/lm.h"
#include "hub/hs.h"
#include "platform/pf_cloud.h"
#include "platform/pf_manifest.h"
#include "conf/cf.h"
#include "conf/nt.h"
#include "replog/raft_codec.h"
#include "request/sr.h"
#include "rollout/vo_codec.h"
#include "state/jr.h"
#include "state/sm.h"
#include "wire/wire.h"

/// What takes bytes from outside, by the first byte of the input: settings,
/// notes, peer frames, messages of the log, evidence, event streams, commands
/// and snapshots of the state.

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
fuzz_settings(const uint8_t *data, size_t size)
{
	struct nt_problems problems = { 0 };
	struct cf_settings settings;

	(void)cf_parse((const char *)data, size, &settings, &problems);
	nt_problems_free(&problems);
}

/// A note that is good has a canonical form that is good, too.
static void
fuzz_note(const uint8_t *data, size_t size)
{
	struct nt_problems problems = { 0 };
	struct nt_note *note = NULL;
	struct nt_note *again = NULL;
	char *form;

	if (nt_parse((const char *)data, size, &note, &problems) == STATUS_OK) {
		form = nt_canonical(note);
		inv_check(nt_parse(form, strlen(form), &again, &problems) ==
			STATUS_OK,
		    "fuzz.canonical", "form=%s", form);
		free(form);
		nt_note_free(again);
		nt_note_free(note);
	}
	nt_problems_free(&problems);
}

static void
drop_event(void *arg, const struct sr_event *event)
{
	(void)arg;
	(void)event;
}

static void
fuzz_stream(const uint8_t *data, size_t size)
{
	struct sr *s = sr_new("q1");

	(void)sr_begin(s, 1);
	sr_feed(s, 1, data, size / 2, drop_event, NULL);
	sr_feed(s, 1, data + size / 2, size - size / 2, drop_event, NULL);
	(void)sr_end(s, 1);
	sr_free(s);
}

static void
fuzz_config(const uint8_t *data, size_t size)
{
	struct sm *s = sm_new();
	struct sm *loaded = NULL;
	struct sm_result result;

	sm_apply(s, data, size, &result);
	sm_result_clear(&result);
	(void)sm_follow(s, data, size);
	if (sm_load(data, size, &loaded) == STATUS_OK)
		sm_free(loaded);
	sm_free(s);
}

static void
fuzz_journal(const uint8_t *data, size_t size)
{
	struct jr *j = jr_new();
	struct jr *loaded = NULL;
	struct jr_result result;

	jr_apply(j, data, size, &result);
	if (jr_load(data, size, &loaded) == STATUS_OK)
		jr_free(loaded);
	jr_free(j);
}

static void
fuzz_messages(const uint8_t *data, size_t size)
{
	static struct vo_message evidence;
	struct wire_msg frame;
	struct raft_msg message;

	(void)wire_decode(data, size, &frame);
	(void)vo_decode(data, size, &evidence);
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

/// What gateways and control take from each other.
static void
fuzz_fleet(const uint8_t *data, size_t size)
{
	struct hs *state = hs_new();
	struct hs *loaded;
	struct lm_report report;
	struct lm_state told;
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct lm_server));

	(void)hs_apply(state, 1, data, size);
	if (hs_load(data, size, &loaded) == STATUS_OK)
		hs_free(loaded);
	hs_free(state);
	lm_report_init(&report);
	(void)lm_report_decode(data, size, &report);
	lm_report_clear(&report);
	lm_state_init(&told);
	(void)lm_state_decode(data, size, &told);
	lm_state_clear(&told);
	(void)lm_list_decode(data, size, list);
	g_array_unref(list);
}

/// What comes from operators, the platform and backend servers.
static void
fuzz_platform(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	struct nt_problems problems = { 0 };
	GArray *servers = g_array_new(FALSE, TRUE, sizeof(struct sv));
	struct es *events = es_new();
	struct ds_settings settings;
	struct pf_rollout order;
	struct fc *config;
	char *next;
	size_t n_bad;

	if (pf_manifest_read(text, size, &config) == STATUS_OK)
		fc_unref(config);
	if (pf_list_read(text, size, servers, &next, &n_bad) == STATUS_OK)
		g_free(next);
	(void)pf_rollout_read(text, size, &order);
	(void)ds_parse(text, size, &settings, &problems);
	nt_problems_free(&problems);
	es_begin(events, 0);
	if (es_feed(events, data, size / 2, drop_text, NULL) == ES_GOOD)
		(void)es_feed(
		    events, data + size / 2, size - size / 2, drop_text, NULL);
	es_free(events);
	g_array_unref(servers);
}

/// One input of the fuzzer.
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
