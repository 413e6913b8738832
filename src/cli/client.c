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
#define RETRY_PAUSE_US (200 * USEC_PER_MSEC)
#define HTTP_UNAVAILABLE 503
#define HTTP_TIMEOUT 504
#define AUTHORIZATION_BYTES (SPEC_NAME_BYTES + 8)

/// Adds the control processes of a settings file and sets the token and CA file
/// from it. Problems in the file are printed to standard error.
///
/// @return STATUS_OK, or why the settings could not be loaded
enum status
client_from_settings(struct client *c, const char *file)
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
		c->endpoints[c->n_endpoints++] = s.control[i].operators;
	(void)g_strlcpy(c->token, s.operator_token, sizeof(c->token));
	(void)g_strlcpy(c->ca_file, s.tls.authority, sizeof(c->ca_file));
	return STATUS_OK;
}

/// Adds a control process by the address of its operators' interface.
///
/// @param address  IP:PORT
/// @return STATUS_OK or STATUS_INVALID
enum status
client_add_endpoint(struct client *c, const char *address)
{
	struct settings_addr *a = &c->endpoints[c->n_endpoints];

	if (c->n_endpoints == SETTINGS_MAX_PEERS)
		return status_fail(STATUS_INVALID, "more than %d addresses",
		    SETTINGS_MAX_PEERS);
	if (!hostport_split(address, a->host, sizeof(a->host), &a->port))
		return status_fail(
		    STATUS_INVALID, "'%s' is not IP:PORT", address);
	c->n_endpoints++;
	return STATUS_OK;
}

/// Reads the operators' token from a file, without spaces around it.
///
/// @return STATUS_OK, STATUS_INVALID when it is too long, or why the file could
///         not be read
enum status
client_read_token(struct client *c, const char *file)
{
	char *text;
	enum status st = fileio_read(file, &text, NULL);

	if (st != STATUS_OK)
		return st;
	g_strstrip(text);
	if (g_strlcpy(c->token, text, sizeof(c->token)) >= sizeof(c->token))
		st = status_fail(
		    STATUS_INVALID, "the token in %s is too long", file);
	g_free(text);
	return st;
}

/// Sends a request to one control process.
///
/// @return STATUS_OK: a response arrived; STATUS_UNAVAILABLE: nothing was done;
///         STATUS_TIMEOUT: outcome unknown
static enum status
request_one(const struct client *c, const struct settings_addr *endpoint,
    const char *method, const char *path, const char *body,
    struct client_response *out)
{
	char authorization[AUTHORIZATION_BYTES];
	struct httpc_request call = {
		.method = method,
		.host = endpoint->host,
		.port = endpoint->port,
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
	    authorization, sizeof(authorization), "Bearer %s", c->token);
	if (c->token[0] != '\0')
		call.headers[n++] =
		    (struct httpc_header){ "Authorization", authorization };
	if (c->ca_file[0] != '\0') {
		st = tlsctx_client(c->ca_file, &call.tls);
		if (st != STATUS_OK)
			return STATUS_UNAVAILABLE;
	}
	st = httpc_send_blocking(&call, &out->http_status, &out->body, NULL);
	SSL_CTX_free(call.tls);
	if (st == STATUS_OK && out->http_status == HTTP_UNAVAILABLE)
		st = status_fail(STATUS_UNAVAILABLE, "%s:%u: %s",
		    endpoint->host, (unsigned)endpoint->port, out->body);
	else if (st == STATUS_OK && out->http_status == HTTP_TIMEOUT)
		st = status_fail(STATUS_TIMEOUT, "%s:%u: outcome unknown",
		    endpoint->host, (unsigned)endpoint->port);
	else if (st != STATUS_OK && st != STATUS_UNAVAILABLE)
		st = STATUS_TIMEOUT;
	if (st != STATUS_OK) {
		free(out->body);
		*out = (struct client_response){ 0 };
	}
	return st;
}

/// Sends a request to the control processes in turn until one responds or the
/// retry timeout is over. The request must be idempotent.
///
/// @param body  JSON, or NULL
/// @param out   receives the response; its body is to be released with free()
/// @return STATUS_OK: a response arrived; STATUS_UNAVAILABLE: nothing was done;
///         STATUS_TIMEOUT: the outcome of a request is unknown
enum status
client_request(const struct client *c, const char *method, const char *path,
    const char *body, struct client_response *out)
{
	const gint64 until = g_get_monotonic_time() +
	    (gint64)c->retry_timeout_ms * (gint64)USEC_PER_MSEC;
	bool unknown = false;

	*out = (struct client_response){ 0 };
	for (;;) {
		for (uint32_t i = 0; i < c->n_endpoints; i++) {
			enum status st = request_one(
			    c, &c->endpoints[i], method, path, body, out);

			if (st == STATUS_OK)
				return STATUS_OK;
			unknown |= st == STATUS_TIMEOUT;
		}
		if (g_get_monotonic_time() >= until)
			break;
		g_usleep(RETRY_PAUSE_US);
	}
	return unknown ? STATUS_TIMEOUT : STATUS_UNAVAILABLE;
}
