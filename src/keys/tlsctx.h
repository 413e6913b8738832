#ifndef KEYS_TLSCTX_H
#define KEYS_TLSCTX_H

#include "base/status.h"
#include "conf/settings.h"

/// Keys and certificates of one process, for OpenSSL. They are read again
/// without a stop: connections made later use the new ones.

struct ssl_ctx_st;
struct tlsctx;

enum status tlsctx_load(const struct settings_tls *tls, struct tlsctx **keys);
void tlsctx_free(struct tlsctx *k);
struct ssl_ctx_st *tlsctx_server(struct tlsctx *k);
struct ssl_ctx_st *tlsctx_peer(struct tlsctx *k);
enum status tlsctx_client(const char *authority, struct ssl_ctx_st **out);

#endif
