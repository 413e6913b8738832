#include "runner.h"

#include <string.h>

#define ORDER_PATH_BYTES 96
#define KEPT_ORDERS 1024

/// A load order in progress: the weights are fetched, then loaded.
struct order {
	struct runner *r;
	struct evhttp_request *req;
	json_t *body;
};

static void
set_loaded(struct runner *r, const char *name, bool loaded)
{
	json_t *v = runner_version(r, name);

	if (v == NULL) {
		v = json_pack("{s:s}", "name", name);
		(void)json_array_append_new(
		    json_object_get(r->env->settings, "versions"), v);
	}
	(void)json_object_set_new(v, "loaded", json_boolean(loaded));
}

static void
apply_order(struct runner *r, const json_t *body)
{
	const char *order = standin_get_str(body, "order", "");
	const char *adapter = standin_get_str(body, "adapter", "");
	const bool load = strcmp(order, "load") == 0;

	if (strcmp(order, "role") == 0) {
		(void)json_object_set_new(r->env->settings, "role",
		    json_string(standin_get_str(body, "role", "")));
		return;
	}
	if (adapter[0] != '\0' && load)
		(void)json_array_append_new(r->adapters, json_string(adapter));
	else if (adapter[0] == '\0')
		set_loaded(r, standin_get_str(body, "version", ""), load);
}

static void
order_end(struct order *o, int status, bool done)
{
	standin_reply(o->req, status, json_pack("{s:b}", "done", (int)done));
	json_decref(o->body);
	g_free(o);
}

static void
on_loaded(void *arg)
{
	struct order *o = arg;

	apply_order(o->r, o->body);
	order_end(o, 200, true);
}

static void
on_weights(void *arg, int status, const char *bytes, size_t len)
{
	struct order *o = arg;

	(void)bytes;
	(void)len;
	if (status != 200) {
		order_end(o, 503, false);
		return;
	}
	standin_call_after(o->r->env,
	    (uint64_t)standin_get_int(o->r->env->settings, "load_ms", 50) *
		1000,
	    on_loaded, o);
}

/// Fetches the weights when a weight store is set, then loads them.
static void
start_load(struct order *o)
{
	const json_t *settings = o->r->env->settings;
	const int64_t port = standin_get_int(settings, "weight_store_port", 0);
	const char *adapter = standin_get_str(o->body, "adapter", "");
	char path[ORDER_PATH_BYTES];

	if (port == 0) {
		on_weights(o, 200, "", 0);
		return;
	}
	(void)g_snprintf(path, sizeof(path), "/weights/%s",
	    adapter[0] != '\0' ? adapter
			       : standin_get_str(o->body, "version", ""));
	runner_fetch(o->r, "127.0.0.1", (uint16_t)port, path, on_weights, o);
}

/// Whether the engine refuses an order by its fencing number or deadline.
static bool
order_refused(struct runner *r, const json_t *body)
{
	const uint64_t fence = (uint64_t)standin_get_int(body, "fence", 0);
	const int64_t deadline = standin_get_int(body, "deadline_ms", 0);

	if (!standin_get_int(r->env->settings, "fenced", 1))
		return false;
	if (deadline > 0 && g_get_real_time() / 1000 > deadline)
		return true;
	return fence < r->fence;
}

/// POST /orders: load, unload or role. A fenced engine refuses an order whose
/// fencing number is lower than one it has seen; the others carry out every
/// order.
void
orders_handle(struct runner *r, struct evhttp_request *req)
{
	json_t *body = standin_body_json(req);
	const bool refuse = body == NULL || order_refused(r, body);
	struct order *o;

	if (body == NULL) {
		standin_reply_error(req, 400, "a JSON object is expected");
		return;
	}
	(void)json_object_set_new(body, "refused", json_boolean(refuse));
	if (json_array_size(r->orders) < KEPT_ORDERS)
		(void)json_array_append(r->orders, body);
	if (refuse) {
		standin_reply_error(
		    req, 409, "old fencing number or deadline passed");
		json_decref(body);
		return;
	}
	r->fence = MAX(r->fence, (uint64_t)standin_get_int(body, "fence", 0));
	o = g_new0(struct order, 1);
	*o = (struct order){ .r = r, .req = req, .body = body };
	if (strcmp(standin_get_str(body, "order", ""), "load") == 0) {
		start_load(o);
		return;
	}
	apply_order(r, body);
	order_end(o, 200, true);
}

/// GET /state: what is loaded, and the highest fencing number seen.
void
orders_reply_state(struct runner *r, struct evhttp_request *req)
{
	standin_reply(req, 200,
	    json_pack("{s:o,s:O,s:s,s:I}", "versions", runner_versions(r, true),
		"adapters", r->adapters, "role",
		standin_get_str(r->env->settings, "role", "both"), "fence",
		(json_int_t)r->fence));
}
