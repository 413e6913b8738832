#ifndef KEYS_TLSCTX_H
#define KEYS_TLSCTX_H

#include "base/status.h"
#include "conf/settings.h"

/// TLS keys and certificates of one process, as OpenSSL contexts. They can be
/// reloaded while the process runs: connections made later use the new ones.
/// Contexts are owned by struct tlsctx unless a function says otherwise.

struct ssl_ctx_st;
struct tlsctx;

enum status tlsctx_load(const struct settings_tls *tls, struct tlsctx **keys);
void tlsctx_free(struct tlsctx *k);
struct ssl_ctx_st *tlsctx_server(struct tlsctx *k);
struct ssl_ctx_st *tlsctx_peer(struct tlsctx *k);
enum status tlsctx_client(const char *ca_file, struct ssl_ctx_st **out);

#endif
