#include "platform/api_request.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "platform/api_names.h"

#define HEX_BASE 16
#define DECIMAL_BASE 10

struct api_headers {
	GArray *list; ///< struct httpc_header
};

/// Headers that concern one connection, or that the HTTP client sets itself.
static const char *const hop_by_hop_headers[] = { "Connection", "Keep-Alive",
	"Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "TE",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	NULL };

/// Request headers that this system sets itself; those of a caller are not
/// forwarded.
static const char *const internal_headers[] = { API_HDR_CUSTOMER,
	API_HDR_EXPECT_INSTANCE, API_HDR_EXPECT_VERSION, API_HDR_PRIORITY,
	API_HDR_HOLD, API_HDR_PIN, API_HDR_KV_BACKUP, API_HDR_KV_FROM,
	API_HDR_KV_FETCH, API_HDR_DEADLINE, API_HDR_LAST_EVENT, API_HDR_RELAY,
	NULL };

/// Headers between two gateways.
static const char *const relay_headers[] = { API_HDR_RELAY,
	API_HDR_RELAY_REFUSED, API_HDR_RELAY_UNFRAMED, NULL };

static bool
contains_name(const char *const *names, const char *name)
{
	for (; *names != NULL; names++) {
		if (g_ascii_strcasecmp(*names, name) == 0)
			return true;
	}
	return false;
}

static bool
read_u32(const char *text, char **end, uint32_t *out)
{
	guint64 v;

	if (!g_ascii_isdigit(*text))
		return false;
	v = g_ascii_strtoull(text, end, DECIMAL_BASE);
	if (v > UINT32_MAX)
		return false;
	*out = (uint32_t)v;
	return true;
}

/// Reads milliseconds; a fraction is ignored.
static bool
read_ms(const char *text, uint32_t *out)
{
	char *end;

	if (!read_u32(text, &end, out))
		return false;
	return *end == '\0' || *end == '.';
}

/// Reads API_HDR_TOKENS: "P,O", the number of prompt tokens and the most output
/// tokens.
static bool
read_tokens(const char *text, struct api_request *out)
{
	char *end;

	if (!read_u32(text, &end, &out->prompt_tokens) || *end != ',')
		return false;
	for (end++; *end == ' '; end++)
		;
	if (!read_u32(end, &end, &out->output_tokens) || *end != '\0')
		return false;
	out->quota_tokens = (uint64_t)out->prompt_tokens + out->output_tokens;
	return true;
}

/// Reads API_HDR_PROMPT_PREFIX: "ID:TOKENS,...", ids in hexadecimal; parts
/// after the first API_MAX_PROMPT_PARTS are ignored.
static bool
read_prompt_parts(const char *text, struct api_request *out)
{
	out->n_parts = 0;
	while (*text != '\0') {
		struct api_prompt_part p;
		char *end;

		while (*text == ' ')
			text++;
		if (!g_ascii_isxdigit(*text))
			return false;
		p.id = g_ascii_strtoull(text, &end, HEX_BASE);
		if (*end != ':' || !read_u32(end + 1, &end, &p.tokens))
			return false;
		if (out->n_parts < API_MAX_PROMPT_PARTS)
			out->parts[out->n_parts++] = p;
		if (*end != ',' && *end != '\0')
			return false;
		text = *end == ',' ? end + 1 : end;
	}
	return true;
}

/// Reads a Host header: lower case, without the port.
static void
read_host(const char *text, char *out, size_t size)
{
	const char *colon = strchr(text, ':');
	const size_t len =
	    colon != NULL ? (size_t)(colon - text) : strlen(text);

	(void)g_strlcpy(out, text, MIN(size, len + 1));
	for (; *out != '\0'; out++)
		*out = g_ascii_tolower(*out);
}

static void
read_key(const char *text, struct api_request *out)
{
	static const char bearer[] = "Bearer ";

	if (g_ascii_strncasecmp(text, bearer, strlen(bearer)) != 0)
		return;
	out->key = text + strlen(bearer);
}

/// Reads one header into a struct api_request; other headers are ignored.
static void
read_request_header(void *arg, const char *name, const char *value)
{
	struct api_request *out = arg;
	char *end;

	if (g_ascii_strcasecmp(name, API_HDR_REQUEST_ID) == 0)
		(void)g_strlcpy(out->id, value, sizeof(out->id));
	else if (g_ascii_strcasecmp(name, "Host") == 0)
		read_host(value, out->host, sizeof(out->host));
	else if (g_ascii_strcasecmp(name, "Authorization") == 0)
		read_key(value, out);
	else if (g_ascii_strcasecmp(name, API_HDR_DEADLINE) == 0)
		out->bad |=
		    !(out->has_deadline = read_ms(value, &out->deadline_ms));
	else if (g_ascii_strcasecmp(name, API_HDR_TOKENS) == 0)
		out->bad |= !(out->has_tokens = read_tokens(value, out));
	else if (g_ascii_strcasecmp(name, API_HDR_LENGTH_HINT) == 0)
		(void)read_u32(value, &end, &out->length_hint);
	else if (g_ascii_strcasecmp(name, API_HDR_PROMPT_PREFIX) == 0)
		out->bad |= !read_prompt_parts(value, out);
	else if (g_ascii_strcasecmp(name, API_HDR_LAST_EVENT) == 0) {
		out->resumes = g_ascii_isdigit(value[0]);
		out->bad |= !out->resumes;
		out->last_event = g_ascii_strtoull(value, NULL, DECIMAL_BASE);
	}
}

/// Makes the numbers of tokens in a request's headers agree. A prompt has at
/// least the tokens of its parts, whether API_HDR_TOKENS says less, says more
/// than any server holds, or is missing. Where a request is sent to depends on
/// that; a request whose headers disagree is still served. Its customer's quota
/// counts what the caller says.
void
api_request_settle_tokens(struct api_request *request)
{
	uint64_t parts = 0;

	for (uint32_t i = 0; i < request->n_parts; i++) {
		struct api_prompt_part *p = &request->parts[i];

		p->tokens = MIN(p->tokens, API_MAX_TOKENS);
		parts += p->tokens;
	}
	request->prompt_tokens = MIN(request->prompt_tokens, API_MAX_TOKENS);
	request->output_tokens = MIN(request->output_tokens, API_MAX_TOKENS);
	request->length_hint = MIN(request->length_hint, API_MAX_TOKENS);
	request->prompt_tokens = (uint32_t)MAX(request->prompt_tokens, parts);
}

/// Reads the headers of a caller's request.
///
/// @param out  overwritten; a malformed header sets `bad`; the key is valid as
///             long as the caller's request
void
api_request_read(struct httpd *f, handle_t handle, struct api_request *out)
{
	memset(out, 0, sizeof(*out));
	httpd_foreach_header(f, handle, read_request_header, out);
	api_request_settle_tokens(out);
}

static const char *
skip_spaces(const char *text)
{
	while (*text == ' ')
		text++;
	return text;
}

/// Reads API_HDR_SERVER_LOAD: "RUNNING,WAITING,SLOTS" and, from some servers,
/// ",PACE". A pace that can't be read counts as not given.
static void
read_load(const char *value, struct api_response *out)
{
	char *end;

	out->pace_percent = 0;
	out->has_load = read_u32(value, &end, &out->running) && *end == ',' &&
	    read_u32(skip_spaces(end + 1), &end, &out->waiting) &&
	    *end == ',' && read_u32(skip_spaces(end + 1), &end, &out->slots);
	if (!out->has_load || *end != ',')
		return;
	if (!read_u32(skip_spaces(end + 1), &end, &out->pace_percent) ||
	    (*end != '\0' && *end != '.') ||
	    out->pace_percent > API_MAX_PACE_PERCENT)
		out->pace_percent = 0;
}

/// Reads one header into a struct api_response; other headers are ignored.
static void
read_response_header(void *arg, const char *name, const char *value)
{
	struct api_response *out = arg;

	if (g_ascii_strcasecmp(name, API_HDR_REQUEST_ID) == 0)
		(void)g_strlcpy(out->id, value, sizeof(out->id));
	else if (g_ascii_strcasecmp(name, API_HDR_INSTANCE_ID) == 0)
		(void)g_strlcpy(out->instance, value, sizeof(out->instance));
	else if (g_ascii_strcasecmp(name, API_HDR_SERVER_STAMP) == 0)
		out->stamped = true;
	else if (g_ascii_strcasecmp(name, API_HDR_NOT_RUN) == 0)
		out->not_run = true;
	else if (g_ascii_strcasecmp(name, API_HDR_SERVER_LOAD) == 0)
		read_load(value, out);
	else if (g_ascii_strcasecmp(name, API_HDR_COLD) == 0)
		out->has_cold = read_ms(value, &out->cold_ms);
	else if (g_ascii_strcasecmp(name, "Content-Encoding") == 0)
		out->encoded = g_ascii_strcasecmp(value, "identity") != 0;
	else
		(void)api_signals_read(&out->signals, name, value);
}

/// Reads the headers of a backend server's response; only within on_head or
/// on_end of the request.
///
/// @param out  overwritten
void
api_response_read(struct httpc *c, handle_t handle, struct api_response *out)
{
	memset(out, 0, sizeof(*out));
	httpc_foreach_response_header(c, handle, read_response_header, out);
}

static struct api_headers *
new_headers(void)
{
	struct api_headers *h = g_new0(struct api_headers, 1);

	h->list = g_array_new(FALSE, FALSE, sizeof(struct httpc_header));
	return h;
}

/// Whether a Connection header lists a header's name, which makes that header
/// concern one connection, too.
///
/// @param list  value of the Connection header, or NULL
static bool
is_named_in(const char *list, const char *name)
{
	gchar **names;
	bool found = false;

	if (list == NULL)
		return false;
	names = g_strsplit(list, ",", -1);
	for (gchar **n = names; *n != NULL && !found; n++)
		found = g_ascii_strcasecmp(g_strstrip(*n), name) == 0;
	g_strfreev(names);
	return found;
}

struct header_filter {
	struct api_headers *out;
	const char *connection;
	bool drop_key;
};

static void
copy_request_header(void *arg, const char *name, const char *value)
{
	const struct header_filter *p = arg;

	if (contains_name(hop_by_hop_headers, name) ||
	    contains_name(internal_headers, name) ||
	    is_named_in(p->connection, name))
		return;
	if (p->drop_key && g_ascii_strcasecmp(name, "Authorization") == 0)
		return;
	api_headers_add(p->out, name, value);
}

/// Returns the headers of a caller's request to forward to the backend server,
/// to be released with api_headers_free().
///
/// @param drop_key  omits the Authorization header, which has the API key
struct api_headers *
api_headers_from_request(struct httpd *f, handle_t handle, bool drop_key)
{
	struct header_filter p = {
		.out = new_headers(),
		.connection = httpd_header(f, handle, "Connection"),
		.drop_key = drop_key,
	};

	httpd_foreach_header(f, handle, copy_request_header, &p);
	return p.out;
}

static void
copy_relayed_header(void *arg, const char *name, const char *value)
{
	const struct header_filter *p = arg;

	if (!contains_name(hop_by_hop_headers, name) &&
	    !contains_name(relay_headers, name))
		api_headers_add(p->out, name, value);
}

/// Returns the headers of another gateway's attempt to forward to the backend
/// server, to be released with api_headers_free().
struct api_headers *
api_headers_from_relay(struct httpd *f, handle_t handle)
{
	struct header_filter p = { .out = new_headers() };

	httpd_foreach_header(f, handle, copy_relayed_header, &p);
	return p.out;
}

static void
copy_response_header(void *arg, const char *name, const char *value)
{
	const struct header_filter *p = arg;

	if (contains_name(hop_by_hop_headers, name) ||
	    contains_name(relay_headers, name) ||
	    is_named_in(p->connection, name))
		return;
	api_headers_add(p->out, name, value);
}

/// Returns the headers of a backend server's response to forward to the caller,
/// to be released with api_headers_free().
struct api_headers *
api_headers_from_response(struct httpc *c, handle_t handle)
{
	struct header_filter p = {
		.out = new_headers(),
		.connection = httpc_response_header(c, handle, "Connection"),
	};

	httpc_foreach_response_header(c, handle, copy_response_header, &p);
	return p.out;
}

/// Appends a header; name and value are copied.
void
api_headers_add(struct api_headers *h, const char *name, const char *value)
{
	const struct httpc_header copy = { g_strdup(name), g_strdup(value) };

	g_array_append_val(h->list, copy);
}

/// Appends a header with a formatted value; the name is copied.
void
api_headers_addf(struct api_headers *h, const char *name, const char *fmt, ...)
{
	struct httpc_header copy = { .name = g_strdup(name) };
	va_list ap;

	va_start(ap, fmt);
	copy.value = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_array_append_val(h->list, copy);
}

static void
free_header(const struct httpc_header *h)
{
	g_free((char *)h->name);
	g_free((char *)h->value);
}

/// Releases all headers but the first n.
void
api_headers_truncate(struct api_headers *h, size_t n)
{
	for (guint i = (guint)n; i < h->list->len; i++)
		free_header(&g_array_index(h->list, struct httpc_header, i));
	if (h->list->len > n)
		g_array_set_size(h->list, (guint)n);
}

/// Returns the number of headers.
size_t
api_headers_count(const struct api_headers *h)
{
	return h->list->len;
}

/// Returns all headers, valid until the list is next changed.
const struct httpc_header *
api_headers_array(const struct api_headers *h)
{
	return (const struct httpc_header *)(const void *)h->list->data;
}

/// Returns the value of the first header with a name, in any case, or NULL;
/// valid while the header is in the list.
const char *
api_headers_find(const struct api_headers *h, const char *name)
{
	for (guint i = 0; i < h->list->len; i++) {
		const struct httpc_header *header =
		    &g_array_index(h->list, struct httpc_header, i);

		if (g_ascii_strcasecmp(header->name, name) == 0)
			return header->value;
	}
	return NULL;
}

/// Releases a list of headers; NULL is allowed.
void
api_headers_free(struct api_headers *h)
{
	if (h == NULL)
		return;
	api_headers_truncate(h, 0);
	g_array_unref(h->list);
	g_free(h);
}
