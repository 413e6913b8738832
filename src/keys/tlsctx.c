#include "keys/tlsctx.h"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdlib.h>

struct tlsctx {
	SSL_CTX *server; ///< callers and operators: we prove who we are
	SSL_CTX *peer;   ///< own processes: both sides prove who they are
};

static enum status
fail(const char *what, const char *file)
{
	char text[160];

	ERR_error_string_n(ERR_get_error(), text, sizeof(text));
	ERR_clear_error();
	return status_fail(STATUS_INVALID, "%s %s: %s", what, file, text);
}

static enum status
load_pair(SSL_CTX *ctx, const struct settings_tls *f)
{
	if (SSL_CTX_use_certificate_chain_file(ctx, f->certificate) != 1)
		return fail("certificate", f->certificate);
	if (SSL_CTX_use_PrivateKey_file(ctx, f->key, SSL_FILETYPE_PEM) != 1)
		return fail("key", f->key);
	if (SSL_CTX_check_private_key(ctx) != 1)
		return fail("key doesn't fit the certificate:", f->key);
	return STATUS_OK;
}

static enum status
load_all(SSL_CTX *server, SSL_CTX *peer, const struct settings_tls *f)
{
	enum status status = load_pair(server, f);

	if (status == STATUS_OK)
		status = load_pair(peer, f);
	if (status != STATUS_OK)
		return status;
	if (SSL_CTX_load_verify_locations(peer, f->authority, NULL) != 1)
		return fail("authority", f->authority);
	return STATUS_OK;
}

static SSL_CTX *
new_context(int verify)
{
	SSL_CTX *ctx = SSL_CTX_new(TLS_method());

	if (ctx == NULL)
		abort();
	(void)SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION);
	SSL_CTX_set_verify(ctx, verify, NULL);
	return ctx;
}

static enum status
open_keys(const struct settings_tls *tls, struct tlsctx **out)
{
	struct tlsctx *k = calloc(1, sizeof(*k));
	enum status status;

	if (k == NULL)
		abort();
	k->server = new_context(SSL_VERIFY_NONE);
	k->peer =
	    new_context(SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT);
	status = load_all(k->server, k->peer, tls);
	if (status != STATUS_OK) {
		tlsctx_free(k);
		return status;
	}
	*out = k;
	return STATUS_OK;
}

/// Reads the files that the settings name, for the first time or again. When
/// one is wrong, the earlier keys stay.
///
/// @param keys  NULL before the first time, and always with plain settings
/// @return STATUS_OK, or STATUS_INVALID and status_last() says which file is
/// wrong
enum status
tlsctx_load(const struct settings_tls *tls, struct tlsctx **keys)
{
	struct tlsctx *fresh;
	enum status status;

	if (tls->plain)
		return STATUS_OK;
	status = open_keys(tls, &fresh);
	if (status != STATUS_OK)
		return status;
	if (*keys == NULL) {
		*keys = fresh;
		return STATUS_OK;
	}
	// Connections that stand hold on to the contexts of the first read.
	tlsctx_free(fresh);
	return load_all((*keys)->server, (*keys)->peer, tls);
}

/// Releases the keys; NULL is allowed.
void
tlsctx_free(struct tlsctx *k)
{
	if (k == NULL)
		return;
	SSL_CTX_free(k->server);
	SSL_CTX_free(k->peer);
	free(k);
}

/// Context of the ports for callers and operators.
struct ssl_ctx_st *
tlsctx_server(struct tlsctx *k)
{
	return k->server;
}

/// Context of the links between the system's own processes.
struct ssl_ctx_st *
tlsctx_peer(struct tlsctx *k)
{
	return k->peer;
}

/// Context of a command that calls the operators' port.
///
/// @param authority  PEM file, who may vouch for the server
/// @param out        to be released with SSL_CTX_free()
enum status
tlsctx_client(const char *authority, struct ssl_ctx_st **out)
{
	SSL_CTX *ctx = new_context(SSL_VERIFY_PEER);

	if (SSL_CTX_load_verify_locations(ctx, authority, NULL) != 1) {
		SSL_CTX_free(ctx);
		return fail("authority", authority);
	}
	*out = ctx;
	return STATUS_OK;
}
