#include "bench/state_size.h"

#include "base/rnd.h"
#include "state/journal.h"
#include "state/catalog.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DATA_CENTRES 13
#define CHANGES 15000
#define REQUESTS 20000
#define BODY_BYTES 1024

static const int server_counts[] = { 30, 300, 2900 };

static enum catalog_status
apply_command(struct catalog *s, const struct catalog_command *c)
{
	struct catalog_result r;
	uint8_t *bytes;
	size_t len;

	catalog_encode(c, &bytes, &len);
	catalog_apply(s, bytes, len, &r);
	if (r.status != CATALOG_ACCEPTED)
		(void)printf("refused: %s\n", r.message);
	catalog_result_clear(&r);
	free(bytes);
	return r.status;
}

static enum catalog_status
apply_note(struct catalog *s, const GString *text)
{
	const struct catalog_command c = {
		.kind = CATALOG_CMD_NOTE,
		.note = { .text = text->str, .len = text->len },
	};

	return apply_command(s, &c);
}

static void
add_server(GString *g, int i, uint64_t port)
{
	g_string_append_printf(g,
	    "{\"name\":\"s%d\",\"pool\":\"p\",\"data_centre\":\"d%d\","
	    "\"address\":\"10.%d.%d.1:%u\",\"versions\":[\"v\"]}",
	    i, i % DATA_CENTRES, i / 250, i % 250, (unsigned)port);
}

static struct catalog *
make_catalog(int servers)
{
	GString *g = g_string_new("{\"note\":\"first\",\"base\":0,"
				  "\"data_centres\":{\"add\":[");
	struct catalog *s = catalog_new();

	for (int i = 0; i < DATA_CENTRES; i++)
		g_string_append_printf(g,
		    "%s{\"name\":\"d%d\",\"region\":\"r\"}", i > 0 ? "," : "",
		    i);
	g_string_append(g,
	    "]},\"pools\":{\"add\":[{\"name\":\"p\",\"kind\":\"runner\"}]},"
	    "\"versions\":{\"add\":[{\"name\":\"v\",\"pool\":\"p\"}]},"
	    "\"backend_servers\":{\"add\":[");
	for (int i = 0; i < servers; i++) {
		g_string_append(g, i > 0 ? "," : "");
		add_server(g, i, 9000);
	}
	g_string_append(g, "]}}");
	(void)apply_note(s, g);
	g_string_free(g, TRUE);
	return s;
}

/// Applies change `i`. They take turns: a note that changes a server, a server
/// that starts draining, and the return of that server.
static void
apply_change(struct catalog *s, struct rnd *rnd, int i, int servers)
{
	GString *g = g_string_new(NULL);
	struct catalog_command c = { .kind = CATALOG_CMD_DRAINING };
	static char name[SPEC_NAME_BYTES];

	if (i % 3 == 0) {
		g_string_printf(g,
		    "{\"note\":\"n%d\",\"base\":%u,"
		    "\"backend_servers\":{\"change\":[",
		    i, (unsigned)catalog_revision(s));
		add_server(g, (int)rnd_below(rnd, (uint64_t)servers),
		    10000 + rnd_below(rnd, 50000));
		g_string_append(g, "]}}");
		(void)apply_note(s, g);
	} else if (i % 3 == 1) {
		(void)g_snprintf(name, sizeof(name), "s%u",
		    (unsigned)rnd_below(rnd, (uint64_t)servers));
		(void)g_strlcpy(c.draining.name, name, sizeof(c.draining.name));
		c.draining.incarnation = catalog_server(s, name)->incarnation;
		(void)apply_command(s, &c);
	} else {
		c.kind = CATALOG_CMD_RETURNED;
		(void)g_strlcpy(
		    c.returned.server, name, sizeof(c.returned.server));
		c.returned.incarnation = catalog_server(s, name)->incarnation;
		(void)apply_command(s, &c);
	}
	g_string_free(g, TRUE);
}

static void
measure_state(int servers, uint64_t seed)
{
	struct catalog *s = make_catalog(servers);
	struct rnd *rnd = rnd_new(seed);
	gint64 start = g_get_monotonic_time();
	gint64 applied_us;
	gint64 snapshot_us;
	struct catalog *copy;
	uint8_t *bytes;
	size_t len;

	for (int i = 0; i < CHANGES; i++)
		apply_change(s, rnd, i, servers);
	applied_us = g_get_monotonic_time() - start;
	start = g_get_monotonic_time();
	catalog_snapshot(s, &bytes, &len);
	snapshot_us = g_get_monotonic_time() - start;
	start = g_get_monotonic_time();
	if (catalog_restore(bytes, len, &copy) != STATUS_OK)
		abort();
	(void)printf("servers=%d changes=%d apply_us_each=%.1f "
		     "snapshot_bytes=%zu save_us=%ld load_us=%ld\n",
	    servers, CHANGES, (double)applied_us / CHANGES, len,
	    (long)snapshot_us, (long)(g_get_monotonic_time() - start));
	free(bytes);
	catalog_free(copy);
	catalog_free(s);
	rnd_free(rnd);
}

/// Time to apply a day's changes, and size and time of a snapshot, by the
/// number of backend servers.
int
bench_state_size(uint64_t seed)
{
	for (size_t i = 0; i < G_N_ELEMENTS(server_counts); i++)
		measure_state(server_counts[i], seed);
	return 0;
}

static void
apply_journal_command(struct journal *j, const struct journal_command *c)
{
	struct journal_result r;
	uint8_t *bytes;
	size_t len;

	journal_encode(c, &bytes, &len);
	journal_apply(j, bytes, len, &r);
	if (r.status != JOURNAL_APPLIED)
		(void)printf("refused: %s\n", r.message);
	free(bytes);
}

/// Applies the commands of one request, from its acceptance to its outcome.
static void
run_journal_request(struct journal *j, int i)
{
	static const uint8_t body[BODY_BYTES];
	const struct journal_node owner = { "e1", 1 };
	struct journal_command c = { .kind = JOURNAL_CMD_ACCEPT,
		.now_us = (uint64_t)i + 1 };

	journal_make_id((uint64_t)i, (uint64_t)i, 1, c.id);
	(void)g_snprintf(c.accept.key, sizeof(c.accept.key), "key-%d", i);
	c.accept.body = body;
	c.accept.len = sizeof(body);
	c.accept.owner = owner;
	apply_journal_command(j, &c);
	c.kind = JOURNAL_CMD_PERMIT;
	memset(&c.permit, 0, sizeof(c.permit));
	c.permit.attempt = 1;
	c.permit.holder = owner;
	apply_journal_command(j, &c);
	c.kind = JOURNAL_CMD_OUTCOME;
	memset(&c.outcome, 0, sizeof(c.outcome));
	c.outcome.attempt = 1;
	c.outcome.by = owner;
	c.outcome.verdict = VERDICT_RAN;
	c.outcome.answer = body;
	c.outcome.len = sizeof(body);
	apply_journal_command(j, &c);
}

/// Time of a request in the journal's state machine, and the size of its
/// snapshot.
int
bench_journal_rate(uint64_t seed)
{
	struct journal *j = journal_new();
	gint64 start = g_get_monotonic_time();
	gint64 elapsed_us;
	uint8_t *bytes;
	size_t len;

	(void)seed;
	for (int i = 0; i < REQUESTS; i++)
		run_journal_request(j, i);
	elapsed_us = g_get_monotonic_time() - start;
	start = g_get_monotonic_time();
	journal_snapshot(j, &bytes, &len);
	(void)printf("requests=%d us_each=%.1f snapshot_bytes_each=%.0f "
		     "save_us=%ld\n",
	    REQUESTS, (double)elapsed_us / REQUESTS, (double)len / REQUESTS,
	    (long)(g_get_monotonic_time() - start));
	free(bytes);
	journal_free(j);
	return 0;
}
