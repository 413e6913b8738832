#include "standin.h"

#include <glib.h>
#include <string.h>

/// A VM. Its address is an item of the setting "addresses": {"host","port",
/// "class","data_centre"}.
struct vm {
	char *name;
	char *vm_class;
	char *data_centre;
	json_t *address;
	bool draining;
};

struct cloud {
	struct standin_env *env;
	GHashTable *vms;   ///< name -> struct vm
	json_t *notices;   ///< All reclaim notices so far.
	uint64_t sequence; ///< Number of the newest notice.
	uint64_t started;
	uint64_t refused;
	uint64_t deleted;
};

/// A VM that is being started; the response waits for the start time.
struct start {
	struct cloud *c;
	struct evhttp_request *req;
	struct vm *vm;
};

/// A reclaim notice whose time is running.
struct reclaim {
	struct cloud *c;
	char *name;
	bool data_centre; ///< `name` is a data centre's, not a VM's.
};

static void
vm_free(gpointer item)
{
	struct vm *v = item;

	g_free(v->name);
	g_free(v->vm_class);
	g_free(v->data_centre);
	json_decref(v->address);
	g_free(v);
}

static void
cloud_changed(void *self)
{
	(void)self;
}

static void
add_existing_vm(struct cloud *c, const json_t *item)
{
	struct vm *v = g_new0(struct vm, 1);

	v->name = g_strdup(standin_get_str(item, "name", ""));
	v->vm_class = g_strdup(standin_get_str(item, "class", ""));
	v->data_centre = g_strdup(standin_get_str(item, "data_centre", ""));
	v->address = json_deep_copy(item);
	(void)g_hash_table_insert(c->vms, v->name, v);
}

static void *
cloud_start(struct standin_env *env)
{
	struct cloud *c = g_new0(struct cloud, 1);
	json_t *item;
	size_t i;

	c->env = env;
	c->vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vm_free);
	c->notices = json_array();
	json_array_foreach(json_object_get(env->settings, "vms"), i, item)
	{
		add_existing_vm(c, item);
	}
	return c;
}

/// Removes an unused address that fits class and data centre from the setting
/// "addresses".
///
/// @return a reference that the caller owns, or NULL when none fits
static json_t *
take_address(struct cloud *c, const char *vm_class, const char *data_centre)
{
	json_t *list = json_object_get(c->env->settings, "addresses");
	json_t *a;
	size_t i;

	json_array_foreach(list, i, a)
	{
		if (strcmp(standin_get_str(a, "data_centre", data_centre),
			data_centre) != 0 ||
		    strcmp(standin_get_str(a, "class", vm_class), vm_class) !=
			0)
			continue;
		a = json_incref(a);
		(void)json_array_remove(list, i);
		return a;
	}
	return NULL;
}

/// Whether to refuse a start: always for the classes in "refuse_classes",
/// else with the odds "refuse_permille".
static bool
refuses_start(struct cloud *c, const char *vm_class)
{
	json_t *list = json_object_get(c->env->settings, "refuse_classes");
	json_t *name;
	size_t i;

	json_array_foreach(list, i, name)
	{
		if (strcmp(json_string_value(name), vm_class) == 0)
			return true;
	}
	return standin_chance(
	    c->env, standin_get_int(c->env->settings, "refuse_permille", 0));
}

static void
on_started(void *arg)
{
	struct start *s = arg;
	struct vm *v = s->vm;

	s->c->started++;
	standin_reply(s->req, 201,
	    json_pack("{s:s,s:s,s:I}", "name", v->name, "host",
		standin_get_str(v->address, "host", "127.0.0.1"), "port",
		(json_int_t)standin_get_int(v->address, "port", 0)));
	(void)g_hash_table_replace(s->c->vms, v->name, v);
	g_free(s);
}

/// POST /vms
static void
start_vm(struct cloud *c, struct evhttp_request *req)
{
	json_t *body = standin_body_json(req);
	const char *vm_class = standin_get_str(body, "class", "");
	const char *data_centre = standin_get_str(body, "data_centre", "");
	const char *name = standin_get_str(body, "name", "");
	json_t *address = NULL;
	struct start *s;

	if (!g_hash_table_contains(c->vms, name) && !refuses_start(c, vm_class))
		address = take_address(c, vm_class, data_centre);
	if (address == NULL) {
		c->refused++;
		standin_reply_error(req, 503, "start refused");
		json_decref(body);
		return;
	}
	s = g_new0(struct start, 1);
	*s = (struct start){ .c = c, .req = req, .vm = g_new0(struct vm, 1) };
	*s->vm = (struct vm){
		.name = g_strdup(name),
		.vm_class = g_strdup(vm_class),
		.data_centre = g_strdup(data_centre),
		.address = address,
	};
	json_decref(body);
	standin_call_after(c->env,
	    (uint64_t)standin_get_int(c->env->settings, "start_ms", 100) * 1000,
	    on_started, s);
}

/// Deletes a VM and returns its address to the setting "addresses".
static void
delete_vm(struct cloud *c, const char *name)
{
	const struct vm *v = g_hash_table_lookup(c->vms, name);

	if (v == NULL)
		return;
	(void)json_array_append(
	    json_object_get(c->env->settings, "addresses"), v->address);
	c->deleted++;
	(void)g_hash_table_remove(c->vms, name);
}

static bool
reclaim_covers(const struct reclaim *r, const struct vm *v)
{
	return strcmp(r->data_centre ? v->data_centre : v->name, r->name) == 0;
}

static void
on_reclaimed(void *arg)
{
	struct reclaim *r = arg;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, r->c->vms);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (reclaim_covers(r, v))
			g_hash_table_iter_remove(&it);
	}
	g_free(r->name);
	g_free(r);
}

/// POST /test/notice {"scope","name","in_ms"}: issues a reclaim notice. The
/// VMs are draining at once and gone from the list after `in_ms`; the test
/// ends their processes itself.
static void
issue_notice(struct cloud *c, struct evhttp_request *req)
{
	json_t *body = standin_body_json(req);
	struct reclaim *r;
	GHashTableIter it;
	gpointer v;

	if (body == NULL) {
		standin_reply_error(req, 400, "a JSON object is expected");
		return;
	}
	r = g_new0(struct reclaim, 1);
	r->c = c;
	r->name = g_strdup(standin_get_str(body, "name", ""));
	r->data_centre =
	    strcmp(standin_get_str(body, "scope", "vm"), "vm") != 0;
	(void)json_object_set_new(
	    body, "sequence", json_integer((json_int_t)++c->sequence));
	(void)json_array_append(c->notices, body);
	g_hash_table_iter_init(&it, c->vms);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (reclaim_covers(r, v))
			((struct vm *)v)->draining = true;
	}
	standin_call_after(c->env,
	    (uint64_t)standin_get_int(body, "in_ms", 0) * 1000, on_reclaimed,
	    r);
	standin_reply(
	    req, 200, json_pack("{s:I}", "sequence", (json_int_t)c->sequence));
	json_decref(body);
}

/// GET /notices?after=N
static void
send_notices(struct cloud *c, struct evhttp_request *req)
{
	const uint64_t after = standin_query_number(req, "after", 0);
	json_t *list = json_array();
	json_t *n;
	size_t i;

	json_array_foreach(c->notices, i, n)
	{
		if ((uint64_t)standin_get_int(n, "sequence", 0) > after)
			(void)json_array_append(list, n);
	}
	standin_reply(req, 200,
	    json_pack("{s:I,s:o}", "sequence", (json_int_t)c->sequence,
		"notices", list));
}

/// GET /vms: the VMs as they are now, which the VM list copies.
static void
send_vms(struct cloud *c, struct evhttp_request *req)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, c->vms);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct vm *v = item;

		(void)json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:I}", "name", v->name,
			"data_centre", v->data_centre, "class", v->vm_class,
			"state", v->draining ? "leaving" : "live", "host",
			standin_get_str(v->address, "host", "127.0.0.1"),
			"port",
			(json_int_t)standin_get_int(v->address, "port", 0)));
	}
	standin_reply(req, 200, json_pack("{s:o}", "vms", list));
}

static void
cloud_request(void *self, struct evhttp_request *req)
{
	struct cloud *c = self;
	const char *name = standin_path_tail(req, EVHTTP_REQ_DELETE, "/vms/");

	if (name != NULL) {
		delete_vm(c, name);
		standin_reply(req, 200, json_pack("{s:b}", "done", 1));
	} else if (standin_request_is(req, EVHTTP_REQ_POST, "/vms")) {
		start_vm(c, req);
	} else if (standin_request_is(req, EVHTTP_REQ_GET, "/vms")) {
		send_vms(c, req);
	} else if (standin_request_is(req, EVHTTP_REQ_GET, "/notices")) {
		send_notices(c, req);
	} else if (standin_request_is(req, EVHTTP_REQ_POST, "/test/notice")) {
		issue_notice(c, req);
	} else {
		standin_reply_error(req, 404, "no such call");
	}
}

static json_t *
cloud_stats(void *self, struct evhttp_request *req)
{
	const struct cloud *c = self;

	(void)req;
	return json_pack("{s:I,s:I,s:I,s:I}", "started", (json_int_t)c->started,
	    "refused", (json_int_t)c->refused, "let_go", (json_int_t)c->deleted,
	    "vms", (json_int_t)g_hash_table_size(c->vms));
}

/// A cloud that starts VMs, refuses_start starts and sends reclaim notices.
const struct standin_kind standin_cloud = {
	.name = "cloud",
	.start = cloud_start,
	.request = cloud_request,
	.changed = cloud_changed,
	.stats = cloud_stats,
};
