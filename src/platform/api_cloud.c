#include "platform/api_cloud.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "back/jsonlist.h"
#include "base/hostport.h"
#include "base/logger.h"
#include "platform/api_names.h"

#define MAX_COLD_MS 600000

static bool
copy_text(const json_t *o, const char *key, char *out, size_t size)
{
	const char *text = json_string_value(json_object_get(o, key));

	return text != NULL && text[0] != '\0' &&
	    g_strlcpy(out, text, size) < size;
}

static bool
read_address(const json_t *o, struct instance *out)
{
	const char *text = json_string_value(json_object_get(o, "address"));

	return text != NULL &&
	    hostport_split(text, out->host, sizeof(out->host), &out->port);
}

static bool
read_state(const json_t *o, struct instance *out)
{
	const char *state = json_string_value(json_object_get(o, "state"));

	if (state == NULL)
		return false;
	out->draining = strcmp(state, "draining") == 0;
	return out->draining || strcmp(state, "ready") == 0;
}

static bool
read_server(const json_t *o, struct instance *out)
{
	const json_t *slots = json_object_get(o, "slots");
	const json_t *cold = json_object_get(o, "cold_left_ms");

	memset(out, 0, sizeof(*out));
	if (!json_is_object(o) ||
	    !copy_text(o, "id", out->id, sizeof(out->id)) ||
	    !copy_text(o, "service", out->service, sizeof(out->service)) ||
	    !copy_text(o, "zone", out->zone, sizeof(out->zone)) ||
	    !read_address(o, out) || !read_state(o, out))
		return false;
	if (!copy_text(o, "version", out->version, sizeof(out->version)))
		return false;
	if (!json_is_integer(slots) || json_integer_value(slots) < 0 ||
	    json_integer_value(slots) > UINT32_MAX)
		return false;
	out->slots = (uint32_t)json_integer_value(slots);
	out->spot = json_is_true(json_object_get(o, "spot"));
	if (json_is_number(cold))
		out->cold_left_ms =
		    (uint32_t)CLAMP(json_number_value(cold), 0, MAX_COLD_MS);
	return true;
}

/// Reads one page of the cloud's list of servers. An invalid entry is counted
/// and adds no server, whatever it holds.
///
/// @param servers    struct instance are appended
/// @param next       receives the token of the next page, to be released with
///                   g_free(), or NULL on the last page
/// @param n_invalid  receives the number of invalid entries
/// @return STATUS_OK, or STATUS_CORRUPT when the page has no list
enum status
api_list_read(const char *text, size_t len, GArray *servers, char **next,
    size_t *n_invalid)
{
	json_t *root = jsonlist_load(text, len, n_invalid);
	const json_t *list = json_object_get(root, "instances");
	const char *token = json_string_value(json_object_get(root, "next"));
	const json_t *o;
	size_t i;

	*next = NULL;
	if (!json_is_array(list)) {
		json_decref(root);
		return status_fail(STATUS_CORRUPT,
		    "page of servers is not JSON or has no list of instances");
	}
	json_array_foreach(list, i, o)
	{
		struct instance s;

		if (read_server(o, &s))
			g_array_append_val(servers, s);
		else
			(*n_invalid)++;
	}
	*next = g_strdup(token);
	json_decref(root);
	return STATUS_OK;
}

/// Returns the path of a page of the list of servers, to be released with
/// g_free().
///
/// @param zone   data centre; NULL: all of them
/// @param token  of the page; NULL: the first page
char *
api_list_path(const char *zone, const char *token)
{
	GString *path = g_string_new(API_PATH_INSTANCES);

	if (zone != NULL) {
		g_string_append(path, "?zone=");
		g_string_append_uri_escaped(path, zone, NULL, FALSE);
	}
	if (token != NULL) {
		g_string_append(
		    path, zone != NULL ? "&page_token=" : "?page_token=");
		g_string_append_uri_escaped(path, token, NULL, FALSE);
	}
	return g_string_free(path, FALSE);
}

static char *
dump_and_release(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);

	json_decref(o);
	return text;
}

/// Returns the body that reports the usage of a window, to be released with
/// free().
///
/// @param window  sequence number of the window
/// @param n       number of elements of `usage`
char *
api_usage_body(uint64_t window, const struct api_usage *usage, size_t n)
{
	json_t *counts = json_object();

	for (size_t i = 0; i < n; i++)
		(void)json_object_set_new(counts, usage[i].customer,
		    json_integer((json_int_t)usage[i].n));
	return dump_and_release(json_pack(
	    "{s:I, s:o}", "window_seq", (json_int_t)window, "counts", counts));
}

/// Returns the body of a scale order, to be released with free().
///
/// @param servers  wanted number of servers of the service in the zone
/// @param spot     orders spot servers, not on-demand ones
char *
api_scale_body(
    const char *service, const char *zone, uint32_t servers, bool spot)
{
	json_t *o = json_pack("{s:s, s:s, s:i}", "service", service, "zone",
	    zone, "desired_count", (int)servers);

	if (spot)
		(void)json_object_set_new(o, "spot", json_true());
	return dump_and_release(o);
}

/// Sends a request as the holder of a duty, with the holder's name and the
/// fencing number in headers.
///
/// @param call  may be released on return
/// @return handle of the request; HANDLE_NONE when it could not be started, and
///         on_end is not called
handle_t
api_duty_call_send(struct httpc *c, const struct api_duty_call *call)
{
	char fence[32];
	const struct httpc_request out = {
		.method = "POST",
		.host = call->host,
		.port = call->port,
		.path = call->path,
		.headers = {
			{ "Content-Type", "application/json" },
			{ API_HDR_DUTY_HOLDER, call->holder },
			{ API_HDR_FENCE, fence },
		},
		.body = (const uint8_t *)call->body,
		.len = strlen(call->body),
		.timeout_us = call->timeout_us,
		.expires = true,
		.expires_from_us = call->checked_us,
		.on_end = call->on_end,
		.arg = call->arg,
	};

	(void)g_snprintf(
	    fence, sizeof(fence), "%" G_GUINT64_FORMAT, (guint64)call->fence);
	return httpc_send(c, &out);
}

/// Reads the body of an operator's rollout request.
///
/// @return STATUS_OK or STATUS_INVALID
enum status
api_rollout_read(const char *text, size_t len, struct api_rollout *out)
{
	json_t *o = json_loadb(text, len, 0, NULL);
	const json_t *duration = json_object_get(o, "duration_s");
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = copy_text(o, "service", out->service, sizeof(out->service)) &&
	    copy_text(o, "target", out->target, sizeof(out->target)) &&
	    json_is_number(duration) && json_number_value(duration) > 0;
	if (ok)
		out->duration_s = json_number_value(duration);
	json_decref(o);
	return ok ? STATUS_OK
		  : status_fail(STATUS_INVALID, "the order can't be read");
}

/// Returns the body that shows operators the state of a rollout, to be released
/// with free().
char *
api_rollout_body(const char *state, const char *target)
{
	return dump_and_release(
	    json_pack("{s:s, s:s}", "state", state, "target", target));
}
