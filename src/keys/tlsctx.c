#include "keys/tlsctx.h"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdlib.h>

struct tlsctx {
	SSL_CTX *server; ///< for callers and operators: server certificate only
	SSL_CTX *peer;   ///< between own processes: mutual authentication
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

/// @param verify_mode  SSL_VERIFY_* flags
static SSL_CTX *
new_context(int verify_mode)
{
	SSL_CTX *ctx = SSL_CTX_new(TLS_method());

	if (ctx == NULL)
		abort();
	(void)SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION);
	SSL_CTX_set_verify(ctx, verify_mode, NULL);
	return ctx;
}

/// Creates the contexts of a process and loads the files into them.
///
/// @param out  receives them, to be released with tlsctx_free()
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

/// Loads or reloads the files that the settings name. When one is invalid, the
/// earlier keys stay in use.
///
/// @param keys  points to NULL before the first load, and always with plain
///              settings; receives the keys, to be released with
///              tlsctx_free()
/// @return STATUS_OK, or STATUS_INVALID and status_last() says which file is
///         invalid
enum status
tlsctx_load(const struct settings_tls *tls, struct tlsctx **keys)
{
	struct tlsctx *reloaded;
	enum status status;

	if (tls->plain)
		return STATUS_OK;
	status = open_keys(tls, &reloaded);
	if (status != STATUS_OK)
		return status;
	if (*keys == NULL) {
		*keys = reloaded;
		return STATUS_OK;
	}
	// Servers and links keep references to the contexts of the first load,
	// so the checked files are loaded into these.
	tlsctx_free(reloaded);
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

/// Context for the ports of callers and operators.
struct ssl_ctx_st *
tlsctx_server(struct tlsctx *k)
{
	return k->server;
}

/// Context for the links between the system's own processes.
struct ssl_ctx_st *
tlsctx_peer(struct tlsctx *k)
{
	return k->peer;
}

/// Creates a context for a command that connects to the operators' port.
///
/// @param ca_file  PEM file with the CA certificates that the server's
///                 certificate is verified against
/// @param out      receives the context, to be released with SSL_CTX_free()
/// @return STATUS_OK, or STATUS_INVALID and status_last() names the file
enum status
tlsctx_client(const char *ca_file, struct ssl_ctx_st **out)
{
	SSL_CTX *ctx = new_context(SSL_VERIFY_PEER);

	if (SSL_CTX_load_verify_locations(ctx, ca_file, NULL) != 1) {
		SSL_CTX_free(ctx);
		return fail("authority", ca_file);
	}
	*out = ctx;
	return STATUS_OK;
}
