#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHANGE_MIN_US (800 * USEC_PER_MSEC)
#define CHANGE_SPREAD_US 2000000
#define RESEND_US (500 * USEC_PER_MSEC)
#define READ_US (350 * USEC_PER_MSEC)
#define CALL_US USEC_PER_SEC
#define MAX_REDIRECTS 2
#define PORT 8229
/// One change in this many revokes the oldest key.
#define REVOKE_IN 3
/// Number of API keys in a configuration; the oldest is revoked first.
#define KEYS 5
#define PATH "/api/config"

/// One call of the operator, which follows redirects to the leader.
struct call {
	struct soak *soak;
	const struct soak_config *config; ///< NULL: a read
	uint32_t redirects;
	uint64_t sent_us;
	bool last; ///< a read after all changes
	handle_t handle;
};

static void send_call(struct call *c, const char *host);

/// Finds the newest configuration that was acknowledged before a time.
///
/// @return borrowed, or NULL
const struct soak_config *
soak_config_acked(const struct soak *s, uint64_t before_us)
{
	for (guint i = s->configs->len; i > 0; i--) {
		const struct soak_config *c =
		    g_ptr_array_index(s->configs, i - 1);

		if (c->acked_us != 0 && c->acked_us < before_us)
			return c;
	}
	return NULL;
}

static char *
config_text(uint32_t version, uint32_t first_key)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
	    "{\"version\": %u, \"services\": [{\"name\": \"app\", "
	    "\"health_path\": \"/health\"}], \"routes\": [",
	    version);
	g_string_append_printf(out,
	    "{\"name\": \"plain\", \"host\": \"desk.example\", "
	    "\"path_prefix\": \"/plain/\", \"kind\": \"idempotent\", "
	    "\"timeout_ms\": 2000, \"target_latency_ms\": 100, "
	    "\"service\": \"app\", \"max_attempts\": 2},");
	g_string_append_printf(out,
	    "{\"name\": \"book\", \"host\": \"desk.example\", "
	    "\"path_prefix\": \"/book/\", \"kind\": \"non_idempotent\", "
	    "\"timeout_ms\": 2000, \"target_latency_ms\": 100, "
	    "\"service\": \"app\", \"max_attempts\": 1},");
	g_string_append_printf(out,
	    "{\"name\": \"stream\", \"host\": \"desk.example\", "
	    "\"path_prefix\": \"/stream/\", \"kind\": \"streaming\", "
	    "\"resumable\": true, \"timeout_ms\": 2000, "
	    "\"target_latency_ms\": 100, \"gap_aim_ms\": 500, "
	    "\"service\": \"app\", \"max_attempts\": 2},");
	g_string_append_printf(out,
	    "{\"name\": \"once\", \"host\": \"desk.example\", "
	    "\"path_prefix\": \"/once/\", \"kind\": \"streaming\", "
	    "\"resumable\": false, \"timeout_ms\": 2000, "
	    "\"target_latency_ms\": 100, \"gap_aim_ms\": 500, "
	    "\"service\": \"app\", \"max_attempts\": 1}], \"tenants\": ["
	    "{\"name\": \"depot\", \"api_keys\": [");
	for (uint32_t i = 0; i < KEYS; i++)
		g_string_append_printf(
		    out, "%s\"k%u\"", i > 0 ? ", " : "", first_key + i);
	(void)g_string_append(out, "], \"rate_per_s\": 0, \"burst\": 0}]}");
	return g_string_free(out, FALSE);
}

static void
record_ack(struct call *c)
{
	struct soak *s = c->soak;
	struct soak_config *config =
	    g_ptr_array_index(s->configs, s->configs->len - 1);

	if (config != c->config || config->acked_us != 0)
		return;
	config->acked_us = soak_now_us(s);
	if (config->first_key > s->revoked) {
		s->revoked = config->first_key;
		s->revoked_us = config->acked_us;
	}
}

/// Checks that the configuration read is one that was sent, and no older than
/// the newest acknowledged SOAK_APPLY_US before.
static void
check_read(struct call *c, const struct httpc_result *result)
{
	struct soak *s = c->soak;
	const uint64_t slack = c->last ? 0 : SOAK_APPLY_US;
	const struct soak_config *acked =
	    soak_config_acked(s, c->sent_us > slack ? c->sent_us - slack : 0);

	for (guint i = 0; i < s->configs->len; i++) {
		const struct soak_config *k = g_ptr_array_index(s->configs, i);

		if (strlen(k->text) != result->len ||
		    memcmp(k->text, result->body, result->len) != 0)
			continue;
		if (acked != NULL && k->version < acked->version)
			soak_violation(s,
			    "config: version %u was read after %u was "
			    "acknowledged",
			    k->version, acked->version);
		if (c->last)
			s->n_read_back++;
		return;
	}
	soak_violation(s,
	    "config: a configuration was read that was never sent: %.80s",
	    (const char *)result->body);
}

static void
follow_redirect(struct call *c)
{
	const char *to =
	    httpc_response_header(c->soak->http, c->handle, "Location");
	char host[SOAK_HOST_BYTES] = "";

	if (to != NULL && ++c->redirects <= MAX_REDIRECTS &&
	    sscanf(to, "http://%23[0-9.]", host) == 1)
		send_call(c, host);
	else
		g_free(c);
}

static void
on_end(void *arg, const struct httpc_result *result)
{
	struct call *c = arg;
	struct soak *s = c->soak;

	if (result->status == STATUS_OK && result->http_status == 307) {
		follow_redirect(c);
		return;
	}
	if (result->status == STATUS_OK && result->http_status == 200) {
		if (c->config != NULL)
			record_ack(c);
		else
			check_read(c, result);
	} else if (result->status == STATUS_OK && c->config != NULL &&
	    result->http_status >= 400 && result->http_status < 500 &&
	    result->http_status != 408 && result->http_status != 429) {
		soak_violation(s, "config: version %u was refused with %d",
		    c->config->version, result->http_status);
	}
	g_free(c);
}

static void
send_call(struct call *c, const char *host)
{
	const struct httpc_request call = {
		.method = c->config != NULL ? "PUT" : "GET",
		.host = host,
		.port = PORT,
		.path = PATH,
		.headers = { { "Content-Type", "application/json" } },
		.body =
		    c->config != NULL ? (const uint8_t *)c->config->text : NULL,
		.len = c->config != NULL ? strlen(c->config->text) : 0,
		.timeout_us = CALL_US,
		.new_connection = true,
		.on_end = on_end,
		.arg = c,
	};

	c->handle = httpc_send(c->soak->http, &call);
	if (c->handle == HANDLE_NONE)
		g_free(c);
}

static void
send_operator_call(struct soak *s, const struct soak_config *config, bool last)
{
	struct call *c = g_new0(struct call, 1);

	c->soak = s;
	c->config = config;
	c->last = last;
	c->sent_us = soak_now_us(s);
	send_call(c, s->hubs[soak_random_below(s, s->n_hubs)].host);
}

static void
make_change(struct soak *s)
{
	const struct soak_config *last = s->configs->len == 0
	    ? NULL
	    : g_ptr_array_index(s->configs, s->configs->len - 1);
	struct soak_config *c = g_new0(struct soak_config, 1);
	const bool revokes =
	    last != NULL && soak_random_below(s, REVOKE_IN) == 0;

	c->version =
	    (last != NULL ? last->version : 0) + 1 + soak_random_below(s, 5);
	c->first_key = s->revoked + (revokes ? 1 : 0);
	c->text = config_text(c->version, c->first_key);
	g_ptr_array_add(s->configs, c);
}

/// Sends a change again until it is acknowledged, then schedules the next.
static void
on_change(void *arg, uint64_t now_us)
{
	struct soak *s = arg;
	const struct soak_config *last;

	(void)now_us;
	if (s->configs->len == 0)
		make_change(s);
	last = g_ptr_array_index(s->configs, s->configs->len - 1);
	if (last->acked_us == 0) {
		send_operator_call(s, last, false);
		timerq_arm_in(s->ticks[3], RESEND_US);
		return;
	}
	if (soak_now_us(s) < s->until_us) {
		make_change(s);
		timerq_arm_in(s->ticks[3],
		    CHANGE_MIN_US + soak_random_below(s, CHANGE_SPREAD_US));
	}
}

static void
on_read(void *arg, uint64_t now_us)
{
	struct soak *s = arg;

	(void)now_us;
	timerq_arm_in(s->ticks[4], READ_US);
	send_operator_call(s, NULL, false);
}

/// Reads the configuration after all changes, for the final check.
void
soak_operator_read_back(struct soak *s)
{
	send_operator_call(s, NULL, true);
}

static void
config_free(void *arg)
{
	struct soak_config *c = arg;

	g_free(c->text);
	g_free(c);
}

/// Starts the operator.
void
soak_operator_start(struct soak *s)
{
	s->configs = g_ptr_array_new_with_free_func(config_free);
	s->ticks[3] = timerq_timer_new(s->timers, on_change, s);
	s->ticks[4] = timerq_timer_new(s->timers, on_read, s);
	timerq_arm_in(s->ticks[3], 0);
	timerq_arm_in(s->ticks[4], READ_US);
}
