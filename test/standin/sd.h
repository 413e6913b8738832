#ifndef STANDIN_SD_H
#define STANDIN_SD_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/rnd.h"

/// Environment of a stand-in, the same for every kind.
struct sd_env {
	struct event_base *base;
	struct evhttp *http;
	json_t *settings; ///< Changed at run time by POST /test/set.
	struct rnd *rnd;
};

/// One kind of stand-in, that is, a fake of an outside service for the tests.
struct sd_kind {
	const char *name;
	void *(*start)(struct sd_env *env); ///< Returns `self`.
	void (*request)(void *self, struct evhttp_request *req);
	void (*changed)(void *self); ///< After a change of the settings.
	/// Body of GET /test/stats, a new reference.
	json_t *(*stats)(void *self, struct evhttp_request *req);
};

extern const struct sd_kind sd_runner;
extern const struct sd_kind sd_service;
extern const struct sd_kind sd_cloud;
extern const struct sd_kind sd_vm_list;
extern const struct sd_kind sd_weight_store;
extern const struct sd_kind sd_platform;
extern const struct sd_kind sd_backend;

typedef void (*sd_cb)(void *arg);

uint64_t sd_now_us(void);
int64_t sd_int(const json_t *object, const char *key, int64_t fallback);
const char *sd_str(const json_t *object, const char *key, const char *fallback);
bool sd_chance(struct sd_env *env, int64_t permille);
void sd_after(struct sd_env *env, uint64_t in_us, sd_cb cb, void *arg);

const char *sd_path(struct evhttp_request *req);
bool sd_is(
    struct evhttp_request *req, enum evhttp_cmd_type method, const char *path);
const char *sd_tail(struct evhttp_request *req, enum evhttp_cmd_type method,
    const char *prefix);
const char *sd_header(
    struct evhttp_request *req, const char *name, const char *fallback);
uint64_t sd_query(
    struct evhttp_request *req, const char *key, uint64_t fallback);
json_t *sd_body(struct evhttp_request *req);
void sd_reply(struct evhttp_request *req, int status, json_t *body);
void sd_refuse(struct evhttp_request *req, int status, const char *why);
void sd_no_delay(struct evhttp_request *req);
void sd_cut(struct evhttp_request *req);
void sd_watch(struct evhttp_request *req,
    void (*closed)(struct evhttp_connection *, void *), void *arg);
void sd_unwatch(struct evhttp_request *req);

#endif
