#ifndef WIRE_LK_H
#define WIRE_LK_H

#include "base/hd.h"
#include "base/tm.h"
#include "wire/wr.h"

/// Links: connections between the system's own processes. A dialled link
/// comes back by itself; an accepted one ends when it is cut. On each the
/// first message either way is WR_HELLO; another deployment is refused.

struct event_base;
struct ssl_ctx_st;
struct lk;

/// What a link tells its owner. `hello` is the peer's; `link` is the handle
/// to answer on.
struct lk_callbacks {
	void (*up)(void *arg, hd_t link, const struct wr_hello *hello);
	void (*message)(void *arg, hd_t link, const struct wr_hello *hello,
	    const struct wr_msg *msg);
	void (*down)(void *arg, hd_t link, const struct wr_hello *hello);
	void *arg;
};

struct lk_config {
	struct event_base *base;
	struct tm_service *timers;
	struct wr_hello self;
	struct ssl_ctx_st *tls; ///< NULL: plain
	size_t max_queue_bytes; ///< a link with more unsent is cut
	struct lk_callbacks callbacks;
};

struct lk *lk_new(const struct lk_config *config);
void lk_free(struct lk *l);
enum st lk_listen(struct lk *l, const char *host, uint16_t port);
hd_t lk_dial(struct lk *l, const char *host, uint16_t port);
bool lk_send(struct lk *l, hd_t link, const struct wr_msg *msg);
bool lk_is_up(const struct lk *l, hd_t link);
void lk_close(struct lk *l, hd_t link);
uint64_t lk_bytes_sent(const struct lk *l);
uint64_t lk_bytes_received(const struct lk *l);
uint64_t lk_dials(const struct lk *l);

#endif
