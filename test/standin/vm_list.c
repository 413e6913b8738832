#include "standin.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <glib.h>

#define POLL_US 100000ULL

struct vm_list {
	struct standin_env *env;
	json_t *shown; ///< The list as it is served now.
	uint64_t requests;
};

/// A new list that is served once the lag has passed.
struct pending {
	struct vm_list *l;
	json_t *vms;
};

static void
on_lag(void *arg)
{
	struct pending *p = arg;

	json_decref(p->l->shown);
	p->l->shown = p->vms;
	g_free(p);
}

/// Serves a new list after the lag; takes over the reference to `vms`.
static void
show_later(struct vm_list *l, json_t *vms)
{
	struct pending *p = g_new0(struct pending, 1);

	p->l = l;
	p->vms = vms;
	standin_call_after(l->env,
	    (uint64_t)standin_get_int(l->env->settings, "lag_ms", 1000) * 1000,
	    on_lag, p);
}

static void
on_vms(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in;
	json_t *body;

	if (req == NULL || evhttp_request_get_response_code(req) != 200)
		return;
	in = evhttp_request_get_input_buffer(req);
	body = json_loadb((const char *)evbuffer_pullup(in, -1),
	    evbuffer_get_length(in), 0, NULL);
	if (json_is_array(json_object_get(body, "vms")))
		show_later(arg, json_incref(json_object_get(body, "vms")));
	json_decref(body);
}

static void
poll_cloud(void *arg)
{
	struct vm_list *l = arg;
	const int64_t port = standin_get_int(l->env->settings, "cloud_port", 0);
	struct evhttp_connection *conn;

	if (port == 0)
		return;
	conn = evhttp_connection_base_new(
	    l->env->base, NULL, "127.0.0.1", (uint16_t)port);
	evhttp_connection_free_on_completion(conn);
	(void)evhttp_make_request(
	    conn, evhttp_request_new(on_vms, l), EVHTTP_REQ_GET, "/vms");
	standin_call_after(l->env, POLL_US, poll_cloud, l);
}

static void
vm_list_changed(void *self)
{
	struct vm_list *l = self;
	json_t *vms = json_object_get(l->env->settings, "vms");

	if (!json_is_array(vms))
		return;
	show_later(l, json_deep_copy(vms));
	(void)json_object_del(l->env->settings, "vms");
}

static void *
vm_list_start(struct standin_env *env)
{
	struct vm_list *l = g_new0(struct vm_list, 1);

	l->env = env;
	l->shown = json_array();
	vm_list_changed(l);
	poll_cloud(l);
	return l;
}

static void
vm_list_request(void *self, struct evhttp_request *req)
{
	struct vm_list *l = self;

	if (!standin_request_is(req, EVHTTP_REQ_GET, "/vms")) {
		standin_reply_error(req, 404, "no such call");
		return;
	}
	l->requests++;
	standin_reply(req, 200, json_pack("{s:O}", "vms", l->shown));
}

static json_t *
vm_list_stats(void *self, struct evhttp_request *req)
{
	const struct vm_list *l = self;

	(void)req;
	return json_pack("{s:I}", "asked", (json_int_t)l->requests);
}

/// A list of VMs that lags behind the cloud's, or behind the one given with
/// POST /test/set {"vms": [...]}.
const struct standin_kind standin_vm_list = {
	.name = "vm_list",
	.start = vm_list_start,
	.request = vm_list_request,
	.changed = vm_list_changed,
	.stats = vm_list_stats,
};
