#include "common/deploy_settings.h"

#include "common/first_note.h"

#include <glib.h>
#include <jansson.h>

const char *const deploy_kind_names[DEPLOY_KINDS] = {
	[DEPLOY_CONTROL] = "control",
	[DEPLOY_ENTRY] = "entry",
	[DEPLOY_RUNNER] = "runner",
	[DEPLOY_SERVICE] = "service",
	[DEPLOY_CLOUD] = "cloud",
	[DEPLOY_VM_LIST] = "vm_list",
	[DEPLOY_WEIGHT_STORE] = "weight_store",
};

static const char *const data_centres[] = {
	"csepel",
	"angyalfold",
	"kelenfold",
	"koper-a",
	"koper-b",
	"sezana",
};

/// Data centre of process `i` of any kind.
const char *
deploy_data_centre(const struct deploy *d, uint32_t i)
{
	return data_centres[i % d->shape.data_centres];
}

/// Index of the link from a process to a control process.
size_t
deploy_link_index(
    const struct deploy *d, enum deploy_kind kind, uint32_t from, uint32_t to)
{
	const uint32_t row =
	    kind == DEPLOY_CONTROL ? from : d->shape.n[DEPLOY_CONTROL] + from;

	return (size_t)row * d->shape.n[DEPLOY_CONTROL] + to;
}

static char *
address(uint16_t port)
{
	return g_strdup_printf("127.0.0.1:%u", port);
}

static void
set_address(json_t *o, const char *key, uint16_t port)
{
	char *a = address(port);

	(void)json_object_set_new(o, key, json_string(a));
	g_free(a);
}

/// The list of control processes in the settings of one process: with relays,
/// each process has its own addresses of the others.
static json_t *
control_list(const struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	json_t *list = json_array();

	for (uint32_t c = 0; c < d->shape.n[DEPLOY_CONTROL]; c++) {
		char *name = g_strdup_printf("control-%u", c);
		const bool standby =
		    c + d->shape.standby >= d->shape.n[DEPLOY_CONTROL];
		json_t *o = json_pack("{s:i,s:s,s:s,s:b}", "id", (int)c + 1,
		    "name", name, "data_centre", deploy_data_centre(d, c),
		    "standby", standby);
		uint16_t peer = deploy_port(d, DEPLOY_CONTROL, c);

		if (d->relay != NULL && !(kind == DEPLOY_CONTROL && i == c))
			peer = d->links[deploy_link_index(d, kind, i, c)]
				   .listen_port;
		set_address(o, "peer", peer);
		set_address(o, "operators",
		    deploy_operators_port(d, DEPLOY_CONTROL, c));
		(void)json_array_append_new(list, o);
		g_free(name);
	}
	return list;
}

/// Adds the settings of a process of the system under test.
static void
own_settings(
    const struct deploy *d, enum deploy_kind kind, uint32_t i, json_t *o)
{
	char *name = g_strdup_printf("%s-%u", deploy_kind_names[kind], i);
	char *data = g_strdup_printf("%s/data-%u", d->folder, i);

	(void)json_object_set_new(
	    o, "role", json_string(deploy_kind_names[kind]));
	(void)json_object_set_new(o, "node", json_string(name));
	(void)json_object_set_new(
	    o, "data_centre", json_string(deploy_data_centre(d, i)));
	(void)json_object_set_new(o, "deployment", json_string("budapest"));
	(void)json_object_set_new(o, "tls", json_pack("{s:b}", "plain", 1));
	(void)json_object_set_new(o, "control", control_list(d, kind, i));
	set_address(o, "operators", deploy_operators_port(d, kind, i));
	set_address(o, kind == DEPLOY_ENTRY ? "callers" : "peer",
	    deploy_port(d, kind, i));
	if (kind == DEPLOY_CONTROL)
		(void)json_object_set_new(o, "data_folder", json_string(data));
	for (enum deploy_kind k = DEPLOY_CLOUD; k <= DEPLOY_WEIGHT_STORE; k++) {
		if (d->shape.n[k] > 0)
			set_address(
			    o, deploy_kind_names[k], deploy_port(d, k, 0));
	}
	g_free(name);
	g_free(data);
}

/// Adds the settings of a stand-in.
static void
standin_settings(
    const struct deploy *d, enum deploy_kind kind, uint32_t i, json_t *o)
{
	char *name = g_strdup_printf("%s-%u", deploy_kind_names[kind], i);

	(void)json_object_set_new(
	    o, "kind", json_string(deploy_kind_names[kind]));
	(void)json_object_set_new(o, "name", json_string(name));
	(void)json_object_set_new(o, "seed", json_integer(i + 1));
	set_address(o, "address", deploy_port(d, kind, i));
	if (kind == DEPLOY_RUNNER)
		(void)json_object_set_new(
		    o, "versions", json_pack("[{s:s}]", "name", "v1"));
	if (kind == DEPLOY_RUNNER && d->shape.n[DEPLOY_WEIGHT_STORE] > 0)
		(void)json_object_set_new(o, "weight_store_port",
		    json_integer(deploy_port(d, DEPLOY_WEIGHT_STORE, 0)));
	if (kind == DEPLOY_VM_LIST && d->shape.n[DEPLOY_CLOUD] > 0)
		(void)json_object_set_new(o, "cloud_port",
		    json_integer(deploy_port(d, DEPLOY_CLOUD, 0)));
	g_free(name);
}

/// Path of the settings file of a process; the caller frees it.
char *
deploy_settings_file(const struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	return g_strdup_printf(
	    "%s/%s-%u.json", d->folder, deploy_kind_names[kind], i);
}

/// Writes the settings file of a process.
void
deploy_write_settings(const struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	char *file = deploy_settings_file(d, kind, i);
	json_t *o = json_object();
	json_t *extra;

	if (kind <= DEPLOY_ENTRY)
		own_settings(d, kind, i, o);
	else
		standin_settings(d, kind, i, o);
	if (d->shape.extra[kind] != NULL) {
		extra = json_loads(d->shape.extra[kind], 0, NULL);
		(void)json_object_update(o, extra);
		json_decref(extra);
	}
	(void)json_dump_file(o, file, JSON_INDENT(2));
	json_decref(o);
	g_free(file);
}

static void
add_servers(const struct deploy *d, enum deploy_kind kind, GArray *servers)
{
	for (uint32_t i = 0; i < d->shape.n[kind]; i++) {
		const struct first_note_server s = {
			.name = g_strdup_printf(
			    "%s-%u", deploy_kind_names[kind], i),
			.pool = kind == DEPLOY_RUNNER ? FIRST_NOTE_RUNNERS
						      : FIRST_NOTE_SERVICES,
			.data_centre = deploy_data_centre(d, i),
			.address = address(deploy_port(d, kind, i)),
			.version = kind == DEPLOY_RUNNER ? "v1" : NULL,
		};

		g_array_append_val(servers, s);
	}
}

/// The first release note of this deployment as JSON text; the caller frees
/// it.
char *
deploy_first_note(const struct deploy *d)
{
	GArray *servers =
	    g_array_new(FALSE, FALSE, sizeof(struct first_note_server));
	char *note;

	if (!d->shape.spare) {
		add_servers(d, DEPLOY_RUNNER, servers);
		add_servers(d, DEPLOY_SERVICE, servers);
	}
	note = first_note(data_centres, d->shape.data_centres,
	    (const struct first_note_server *)(void *)servers->data,
	    servers->len);
	for (guint i = 0; i < servers->len; i++) {
		struct first_note_server *s =
		    &g_array_index(servers, struct first_note_server, i);

		g_free((gpointer)s->name);
		g_free((gpointer)s->address);
	}
	g_array_free(servers, TRUE);
	return note;
}
