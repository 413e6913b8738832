#include "control/control_internal.h"

#include <jansson.h>
#include <string.h>

#include "back/jsonlist.h"

#define CONTROL_POLL_EVERY_US (500 * USEC_PER_MSEC)
#define CONTROL_POLL_TIMEOUT_US (2 * USEC_PER_SEC)

/// Proposes that a server, or all servers of a data centre, are draining. The
/// log line precedes the commit.
static void
propose_draining(struct control *c, const struct catalog_command *command)
{
	logger_event(LOGGER_INFO, "server.leaving",
	    "name=%s data_centre=%d source=%s", command->draining.name,
	    command->draining.data_centre,
	    catalog_source_name(command->draining.source));
	control_propose_config(c, command, control_ignore_result, NULL);
}

/// Proposes the draining that a reclaim notice calls for. The configuration
/// records the notice's sequence number, so that it is processed once, also
/// across a change of the leader.
static void
process_notice(struct control *c, const json_t *notice)
{
	const char *scope = json_string_value(json_object_get(notice, "scope"));
	const char *name = json_string_value(json_object_get(notice, "name"));
	const json_int_t in_ms =
	    json_integer_value(json_object_get(notice, "in_ms"));
	const json_int_t number =
	    json_integer_value(json_object_get(notice, "sequence"));
	struct catalog_command command = { .kind = CATALOG_CMD_DRAINING };
	const struct catalog_server *s;

	if (scope == NULL || name == NULL || in_ms < 0 || number <= 0 ||
	    (uint64_t)number <= catalog_notice(c->config))
		return;
	s = catalog_server(c->config, name);
	(void)g_strlcpy(command.draining.name, name, SPEC_NAME_BYTES);
	command.draining.data_centre = strcmp(scope, "data_centre") == 0;
	command.draining.incarnation = s == NULL ? 0 : s->incarnation;
	command.draining.source = CATALOG_SOURCE_NOTICE;
	command.draining.deadline_ms =
	    loop_wall_us() / USEC_PER_MSEC + (uint64_t)in_ms;
	command.draining.notice = (uint64_t)number;
	propose_draining(c, &command);
}

/// Reads a list; entries that can't be parsed are logged and left out.
static json_t *
load_list(const struct httpc_result *result)
{
	size_t n_invalid = 0;
	json_t *o;

	if (result->status != STATUS_OK || result->http_status != 200)
		return NULL;
	o = jsonlist_load((const char *)result->body, result->len, &n_invalid);
	if (n_invalid > 0)
		logger_event(
		    LOGGER_DEBUG, "list.bad_entries", "n=%zu", n_invalid);
	return o;
}

static void
on_notices(void *arg, const struct httpc_result *result)
{
	struct control *c = arg;
	json_t *o = load_list(result);
	json_t *notices = json_object_get(o, "notices");
	json_t *notice;
	size_t i;

	c->polling_notices = false;
	json_array_foreach(notices, i, notice)
	{
		process_notice(c, notice);
	}
	json_decref(o);
}

/// Proposes a command that follows from the VM list: a server is draining, or a
/// draining one has returned. Logged and proposed again with each list until it
/// is committed.
static void
propose_liveness(void *arg, const struct catalog_command *command)
{
	struct control *c = arg;

	if (command->kind == CATALOG_CMD_DRAINING) {
		propose_draining(c, command);
		return;
	}
	logger_event(LOGGER_INFO, "server.returned", "name=%s",
	    command->returned.server);
	control_propose_config(c, command, control_ignore_result, NULL);
}

/// Proposes the liveness changes that the VM list shows. A VM in any state but
/// "leaving" is live.
static void
handle_vm_list(struct control *c, const json_t *vms)
{
	struct liveness_item *items =
	    g_new(struct liveness_item, json_array_size(vms));
	size_t n = 0;
	const json_t *vm;
	size_t i;

	json_array_foreach(vms, i, vm)
	{
		const char *name =
		    json_string_value(json_object_get(vm, "name"));
		const char *state =
		    json_string_value(json_object_get(vm, "state"));

		if (name == NULL || state == NULL)
			continue;
		items[n].name = name;
		items[n++].state = strcmp(state, "leaving") == 0
		    ? LIVENESS_DRAINING
		    : LIVENESS_LIVE;
	}
	liveness_update(c->vm_list, c->config, items, n, propose_liveness, c);
	g_free(items);
}

static void
on_vm_list(void *arg, const struct httpc_result *result)
{
	struct control *c = arg;
	json_t *o = load_list(result);
	const json_t *vms = json_object_get(o, "vms");

	c->polling_vm_list = false;
	// A failed poll must not be taken for an empty list.
	if (json_is_array(vms))
		handle_vm_list(c, vms);
	json_decref(o);
}

/// Starts a poll.
///
/// @return false when there is no such address in the settings, or it failed
static bool
start_poll(struct control *c, const struct settings_addr *address,
    const char *path, httpc_end_cb done)
{
	const struct httpc_request call = {
		.method = "GET",
		.host = address->host,
		.port = address->port,
		.path = path,
		.timeout_us = CONTROL_POLL_TIMEOUT_US,
		.on_end = done,
		.arg = c,
	};

	return address->port != 0 && httpc_send(c->http, &call) != HANDLE_NONE;
}

/// Polls the cloud for reclaim notices and the VM list for the liveness of VMs
/// (leader only).
void
control_platform_tick(struct control *c, uint64_t now_us)
{
	char path[64];

	if (now_us < c->next_poll_us)
		return;
	c->next_poll_us = now_us + CONTROL_POLL_EVERY_US;
	(void)g_snprintf(path, sizeof(path),
	    "/notices?after=%" G_GUINT64_FORMAT, catalog_notice(c->config));
	if (!c->polling_notices)
		c->polling_notices =
		    start_poll(c, &c->settings.cloud, path, on_notices);
	if (!c->polling_vm_list)
		c->polling_vm_list =
		    start_poll(c, &c->settings.vm_list, "/vms", on_vm_list);
}
