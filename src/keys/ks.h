#ifndef KEYS_KS_H
#define KEYS_KS_H

#include "base/status.h"
#include "conf/cf.h"

/// Keys and certificates of one process, for OpenSSL. They are read again
/// without a stop: connections made later use the new ones.

struct ssl_ctx_st;
struct ks;

enum status ks_read(const struct cf_tls *tls, struct ks **keys);
void ks_free(struct ks *k);
struct ssl_ctx_st *ks_server(struct ks *k);
struct ssl_ctx_st *ks_peer(struct ks *k);
enum status ks_client(const char *authority, struct ssl_ctx_st **out);

#endif
