#include "back/httpc.h"
#include "base/fileio.h"
#include "base/hostport.h"
#include "base/timerq.h"
#include "cli/problems.h"
#include "cli/client.h"

#include "keys/tlsctx.h"

#include <openssl/ssl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_US (5 * USEC_PER_SEC)
#define PAUSE_US (200 * USEC_PER_MSEC)
#define HTTP_UNAVAILABLE 503
#define HTTP_TIMEOUT 504
#define AUTHORIZATION_BYTES (SPEC_NAME_BYTES + 8)

/// Takes the control processes and the token of a settings file. Mistakes
/// in it are printed.
enum status
client_from_settings(struct client *t, const char *file)
{
	struct spec_problems problems = { 0 };
	struct settings s;
	enum status st = settings_load(file, &s, &problems);

	if (st != STATUS_OK) {
		problems_print(stderr, file, &problems);
		spec_problems_free(&problems);
		return st;
	}
	for (uint32_t i = 0; i < s.n_control; i++)
		t->at[t->n++] = s.control[i].operators;
	(void)g_strlcpy(t->token, s.operator_token, sizeof(t->token));
	(void)g_strlcpy(t->authority, s.tls.authority, sizeof(t->authority));
	return STATUS_OK;
}

/// Adds a control process by the address of its operators' interface.
///
/// @param address  IP:PORT
enum status
client_add_endpoint(struct client *t, const char *address)
{
	struct settings_addr *a = &t->at[t->n];

	if (t->n == SETTINGS_MAX_PEERS)
		return status_fail(STATUS_INVALID, "more than %d addresses",
		    SETTINGS_MAX_PEERS);
	if (!hostport_split(address, a->host, sizeof(a->host), &a->port))
		return status_fail(
		    STATUS_INVALID, "'%s' is not IP:PORT", address);
	t->n++;
	return STATUS_OK;
}

/// Reads the operators' token from a file.
enum status
client_read_token(struct client *t, const char *file)
{
	char *text;
	enum status st = fileio_read(file, &text, NULL);

	if (st != STATUS_OK)
		return st;
	g_strstrip(text);
	if (g_strlcpy(t->token, text, sizeof(t->token)) >= sizeof(t->token))
		st = status_fail(
		    STATUS_INVALID, "the token in %s is too long", file);
	g_free(text);
	return st;
}

/// Asks one control process.
///
/// @return STATUS_OK: answered; STATUS_UNAVAILABLE: nothing was done;
///         STATUS_TIMEOUT: outcome unknown
static enum status
ask_one(const struct client *t, const struct settings_addr *at,
    const char *method, const char *path, const char *body,
    struct client_response *out)
{
	char authorization[AUTHORIZATION_BYTES];
	struct httpc_request call = {
		.method = method,
		.host = at->host,
		.port = at->port,
		.path = path,
		.body = (const uint8_t *)body,
		.len = body == NULL ? 0 : strlen(body),
		.timeout_us = CALL_TIMEOUT_US,
		.new_connection = true,
	};
	size_t n = 0;
	enum status st;

	if (body != NULL)
		call.headers[n++] =
		    (struct httpc_header){ "Content-Type", "application/json" };
	(void)g_snprintf(
	    authorization, sizeof(authorization), "Bearer %s", t->token);
	if (t->token[0] != '\0')
		call.headers[n++] =
		    (struct httpc_header){ "Authorization", authorization };
	if (t->authority[0] != '\0') {
		st = tlsctx_client(t->authority, &call.tls);
		if (st != STATUS_OK)
			return STATUS_UNAVAILABLE;
	}
	st = httpc_send_blocking(&call, &out->http_status, &out->body, NULL);
	SSL_CTX_free(call.tls);
	if (st == STATUS_OK && out->http_status == HTTP_UNAVAILABLE)
		st = status_fail(STATUS_UNAVAILABLE, "%s:%u: %s", at->host,
		    (unsigned)at->port, out->body);
	else if (st == STATUS_OK && out->http_status == HTTP_TIMEOUT)
		st = status_fail(STATUS_TIMEOUT, "%s:%u: outcome unknown",
		    at->host, (unsigned)at->port);
	else if (st != STATUS_OK && st != STATUS_UNAVAILABLE)
		st = STATUS_TIMEOUT;
	if (st != STATUS_OK) {
		free(out->body);
		*out = (struct client_response){ 0 };
	}
	return st;
}

/// Asks the control processes in turn until one answers or the time is
/// over. What is asked must be safe to send again.
///
/// @param body  JSON, or NULL
/// @return STATUS_OK: answered; STATUS_UNAVAILABLE: nothing was done;
///         STATUS_TIMEOUT: an outcome is unknown
enum status
client_request(const struct client *t, const char *method, const char *path,
    const char *body, struct client_response *out)
{
	const gint64 until =
	    g_get_monotonic_time() + (gint64)t->wait_ms * (gint64)USEC_PER_MSEC;
	bool unknown = false;

	*out = (struct client_response){ 0 };
	for (;;) {
		for (uint32_t i = 0; i < t->n; i++) {
			enum status st =
			    ask_one(t, &t->at[i], method, path, body, out);

			if (st == STATUS_OK)
				return STATUS_OK;
			unknown |= st == STATUS_TIMEOUT;
		}
		if (g_get_monotonic_time() >= until)
			break;
		g_usleep(PAUSE_US);
	}
	return unknown ? STATUS_TIMEOUT : STATUS_UNAVAILABLE;
}
