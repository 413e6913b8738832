#include "soak.h"

#include <stdlib.h>
#include <string.h>

#define MEAN_GAP_US 20000.0
#define PROBE_US (400 * USEC_PER_MSEC)
#define PROBE_TIMEOUT_US (350 * USEC_PER_MSEC)
#define DEADLINE_US (2 * USEC_PER_SEC)
#define CONNECT_US USEC_PER_SEC
#define MAX_MISSES 2
#define MAX_EVENTS 24
#define CALLERS_PORT 8221
#define READY_PORT 8224
/// One request in this many carries a revoked key.
#define OLD_KEY_IN 12

/// One stream in this many is asked for by a caller that has a part of it.
#define RESUMED_IN 8

static const char *const paths[SOAK_N_KINDS] = { "/plain/", "/book/",
	"/stream/", "/once/" };

static void
request_free(void *arg)
{
	struct soak_request *q = arg;

	(void)g_string_free(q->text, TRUE);
	g_free(q);
}

static struct soak_process *
choose_gateway(struct soak *s)
{
	struct soak_process *in[SOAK_MAX_GATEWAYS];
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_gateways; i++) {
		if (!s->gateways[i].out)
			in[n++] = &s->gateways[i];
	}
	return n > 0 ? in[soak_random_below(s, n)]
		     : &s->gateways[soak_random_below(s, s->n_gateways)];
}

/// Records that a server began to run a request, and checks that it was
/// allowed to.
void
soak_request_record_run(
    struct soak *s, struct soak_request *q, struct soak_server *v)
{
	const uint64_t now = soak_now_us(s);

	q->runs++;
	if ((q->kind == SOAK_BOOK || q->kind == SOAK_ONCE) && q->runs > 1)
		soak_violation(s, "twice: %s ran again, at %s", q->id, v->id);
	if (q->refused)
		soak_violation(s, "refused: %s ran after it was refused, at %s",
		    q->id, v->id);
	if (q->key < s->revoked && q->sent_us > s->revoked_us + SOAK_REVOKE_US)
		soak_violation(s,
		    "revoked: %s with key %u ran %.1f s after the key was "
		    "revoked",
		    q->id, q->key,
		    (double)(now - s->revoked_us) / (double)USEC_PER_SEC);
}

static bool
is_stream(const struct soak_request *q)
{
	return q->kind == SOAK_STREAM || q->kind == SOAK_ONCE;
}

/// Checks that a stream's events came each once and in order, and all of them
/// unless the stream broke off; and that none followed those that the caller
/// has where another run may not.
static bool
stream_is_sound(struct soak *s, const struct soak_request *q, bool is_complete)
{
	GString *expected = g_string_new(NULL);
	bool same;

	for (uint32_t i = q->after + 1; i <= q->events; i++)
		g_string_append_printf(
		    expected, "id: %u\ndata: %s %u\n\n", i, q->id, i);
	same = is_complete ? g_string_equal(expected, q->text)
			   : g_str_has_prefix(expected->str, q->text->str);
	if (q->kind == SOAK_ONCE && q->after > 0)
		same = false;
	if (!same)
		soak_violation(
		    s, "order: %s got '%.300s'", q->id, q->text->str);
	(void)g_string_free(expected, TRUE);
	return same;
}

/// Checks that a response belongs to its request and to the server that its
/// stamp names.
static bool
plain_is_correct(
    struct soak *s, const struct soak_request *q, const char *stamp)
{
	char *expected = g_strdup_printf("%s at %s", q->id, stamp);
	const bool same = strcmp(expected, q->text->str) == 0;

	if (!same)
		soak_violation(s, "mixed: %s got '%.100s' stamped '%s'", q->id,
		    q->text->str, stamp);
	g_free(expected);
	return same;
}

/// Whether a request was sent after the recovery time, with a valid key.
static bool
is_late(const struct soak_request *q)
{
	return q->key != q->soak->revoked - 1 &&
	    q->sent_us > q->soak->until_us + SOAK_RECOVER_US;
}

static void
check_success(struct soak *s, struct soak_request *q)
{
	const char *stamp = httpc_response_header(
	    s->http, q->call, "X-Acaciahinge-Server-Stamp");

	if (stamp == NULL || q->runs == 0)
		soak_violation(s, "mixed: %s succeeded, stamp %s, %u runs",
		    q->id, stamp != NULL ? stamp : "none", q->runs);
	else if (is_stream(q) ? stream_is_sound(s, q, true)
			      : plain_is_correct(s, q, stamp)) {
		s->n_complete++;
		s->last_complete_us = soak_now_us(s);
		s->n_late_complete += is_late(q);
	}
}

/// Checks that planned work alone (stops, reloads, draining) cuts off no
/// request that a server had begun to run.
static void
check_cut(struct soak *s, const struct soak_request *q, const char *how)
{
	const struct soak_process *g = &s->gateways[q->gateway];

	if (q->runs == 0 || q->sent_us < s->any_fault_us + SOAK_CONTACT_US ||
	    q->sent_us < g->last_fault_us + SOAK_CONTACT_US ||
	    soak_now_us(s) > q->sent_us + DEADLINE_US * 7 / 10)
		return;
	soak_violation(s, "lost: %s at %s was ended by %s during planned work",
	    q->id, g->name, how);
}

static void
on_data(void *arg, const uint8_t *bytes, size_t len)
{
	struct soak_request *q = arg;

	(void)g_string_append_len(q->text, (const char *)bytes, (gssize)len);
}

static void
on_end(void *arg, const struct httpc_result *result)
{
	struct soak_request *q = arg;
	struct soak *s = q->soak;
	const int status = result->http_status;

	q->ended_us = soak_now_us(s);
	if (result->status != STATUS_OK) {
		s->n_failed++;
		if (status == 200 && is_stream(q))
			(void)stream_is_sound(s, q, false);
		if (result->status == STATUS_IO)
			check_cut(s, q, "a closed connection");
	} else if (status == 200) {
		check_success(s, q);
	} else if (status == 429 || status == 503) {
		s->n_refused++;
		q->refused = true;
		if (q->runs > 0)
			soak_violation(s,
			    "refused: %s got %d and had run %u times", q->id,
			    status, q->runs);
	} else {
		s->n_failed++;
		if ((status == 401 || status == 404) && q->key > s->revoked)
			soak_violation(s, "denied: %s at %s got %d", q->id,
			    s->gateways[q->gateway].name, status);
	}
	q->call = HANDLE_NONE;
}

/// Most requests carry a key that stays valid in the next configuration too,
/// some a revoked one.
static uint32_t
choose_key(struct soak *s)
{
	if (s->revoked > 0 && soak_random_below(s, OLD_KEY_IN) == 0)
		return s->revoked - 1;
	return s->revoked + 1;
}

static void
send_request(struct soak *s)
{
	const struct soak_process *g = choose_gateway(s);
	struct soak_request *q = g_new0(struct soak_request, 1);
	char key[SOAK_ID_BYTES];
	char after[SOAK_ID_BYTES];
	char *path;
	struct httpc_request call = {
		.method = "GET",
		.host = g->host,
		.port = CALLERS_PORT,
		.connect_us = CONNECT_US,
		.timeout_us = DEADLINE_US,
		.new_connection = soak_random_below(s, 3) == 0,
		.on_data = on_data,
		.on_end = on_end,
		.arg = q,
	};

	q->soak = s;
	q->kind = (enum soak_request_kind)soak_random_below(s, SOAK_N_KINDS);
	q->gateway = g->number;
	q->key = choose_key(s);
	q->sent_us = soak_now_us(s);
	q->events = 1 + soak_random_below(s, MAX_EVENTS);
	if (is_stream(q) && soak_random_below(s, RESUMED_IN) == 0)
		q->after = soak_random_below(s, q->events);
	q->text = g_string_new(NULL);
	(void)g_snprintf(q->id, sizeof(q->id), "q%u", ++s->n_requests);
	(void)g_snprintf(key, sizeof(key), "Bearer k%u", q->key);
	(void)g_hash_table_insert(s->requests, q->id, q);
	path = g_strdup_printf("%s%u", paths[q->kind], s->n_requests);
	call.path = path;
	call.headers[0] = (struct httpc_header){ "Host", "desk.example" };
	call.headers[1] =
	    (struct httpc_header){ "X-Acaciahinge-Request-Id", q->id };
	call.headers[2] =
	    (struct httpc_header){ "X-Acaciahinge-Deadline-Ms", "2000" };
	call.headers[3] = (struct httpc_header){ "Authorization", key };
	// A caller must not be able to choose its customer or a reservation:
	// the gateway has to replace both headers.
	call.headers[4] =
	    (struct httpc_header){ "X-Acaciahinge-Tenant", "other" };
	call.headers[5] = (struct httpc_header){ "X-Acaciahinge-Hold", "h" };
	(void)g_snprintf(after, sizeof(after), "%u", q->after);
	if (q->after > 0)
		call.headers[6] =
		    (struct httpc_header){ "Last-Event-Id", after };
	s->n_late += is_late(q);
	q->call = httpc_send(s->http, &call);
	g_free(path);
}

static void
on_send(void *arg, uint64_t now_us)
{
	struct soak *s = arg;

	(void)now_us;
	timerq_arm_in(
	    s->ticks[1], (uint64_t)rnd_exponential(s->rnd, MEAN_GAP_US));
	if (s->configs->len > 0)
		send_request(s);
}

static void
on_probed(void *arg, const struct httpc_result *result)
{
	struct soak_process *p = arg;
	const bool ok =
	    result->status == STATUS_OK && result->http_status == 200;

	p->misses = ok ? 0 : p->misses + 1;
	p->out = p->misses >= MAX_MISSES;
}

/// Probes the readiness of each gateway, as a load balancer does.
static void
on_probe(void *arg, uint64_t now_us)
{
	struct soak *s = arg;

	(void)now_us;
	timerq_arm_in(s->ticks[2], PROBE_US);
	for (uint32_t i = 0; i < s->n_gateways; i++) {
		const struct httpc_request call = {
			.method = "GET",
			.host = s->gateways[i].host,
			.port = READY_PORT,
			.path = "/api/readiness",
			.timeout_us = PROBE_TIMEOUT_US,
			.new_connection = true,
			.on_end = on_probed,
			.arg = &s->gateways[i],
		};

		(void)httpc_send(s->http, &call);
	}
}

/// Starts the callers and the load balancer that chooses their gateways.
void
soak_callers_start(struct soak *s)
{
	s->requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, request_free);
	s->ticks[1] = timerq_timer_new(s->timers, on_send, s);
	s->ticks[2] = timerq_timer_new(s->timers, on_probe, s);
	timerq_arm_in(s->ticks[1], 0);
	timerq_arm_in(s->ticks[2], 0);
}
