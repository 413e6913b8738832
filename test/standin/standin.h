#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/rnd.h"

/// Environment of a stand-in, the same for every kind.
struct standin_env {
	struct event_base *base;
	struct evhttp *http;
	json_t *settings; ///< Changed at run time by POST /test/set.
	struct rnd *rnd;
};

/// One kind of stand-in, that is, a fake of an outside service for the tests.
struct standin_kind {
	const char *name;
	void *(*start)(struct standin_env *env); ///< Returns `self`.
	void (*request)(void *self, struct evhttp_request *req);
	void (*changed)(void *self); ///< After a change of the settings.
	/// Body of GET /test/stats, a new reference.
	json_t *(*stats)(void *self, struct evhttp_request *req);
};

extern const struct standin_kind standin_runner;
extern const struct standin_kind standin_service;
extern const struct standin_kind standin_cloud;
extern const struct standin_kind standin_vm_list;
extern const struct standin_kind standin_weight_store;
extern const struct standin_kind standin_platform;
extern const struct standin_kind standin_backend;
extern const struct standin_kind standin_raw;

typedef void (*standin_callback)(void *arg);

uint64_t standin_now_us(void);
int64_t standin_get_int(
    const json_t *object, const char *key, int64_t fallback);
const char *standin_get_str(
    const json_t *object, const char *key, const char *fallback);
bool standin_chance(struct standin_env *env, int64_t permille);
void standin_call_after(
    struct standin_env *env, uint64_t in_us, standin_callback cb, void *arg);

const char *standin_request_path(struct evhttp_request *req);
bool standin_request_is(
    struct evhttp_request *req, enum evhttp_cmd_type method, const char *path);
const char *standin_path_tail(struct evhttp_request *req,
    enum evhttp_cmd_type method, const char *prefix);
const char *standin_request_header(
    struct evhttp_request *req, const char *name, const char *fallback);
uint64_t standin_query_number(
    struct evhttp_request *req, const char *key, uint64_t fallback);
json_t *standin_body_json(struct evhttp_request *req);
void standin_reply(struct evhttp_request *req, int status, json_t *body);
void standin_reply_error(
    struct evhttp_request *req, int status, const char *why);
void standin_no_delay(struct evhttp_request *req);
void standin_disconnect(struct evhttp_request *req);
void standin_watch_close(struct evhttp_request *req,
    void (*closed)(struct evhttp_connection *, void *), void *arg);
void standin_unwatch_close(struct evhttp_request *req);

#endif
