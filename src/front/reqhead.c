#include "front/reqhead.h"

#include <glib.h>
#include <string.h>

#include "base/http1.h"

/// Methods that are forwarded; the HTTP client knows no others.
static const char *const methods[] = { "GET", "HEAD", "POST", "PUT", "DELETE",
	"OPTIONS", "PATCH" };

/// Progress of reqhead_parse().
struct parse {
	struct reqhead *head;
	bool has_length;
	bool is_http_1_0;
};

static void
refuse(struct reqhead *h, int status, const char *why)
{
	if (h->refusal != 0)
		return;
	h->refusal = status;
	h->why = why;
}

static void
clear_field(gpointer p)
{
	struct reqhead_field *f = p;

	g_free(f->name);
	g_free(f->value);
}

/// Makes an empty head, to be released with reqhead_clear().
void
reqhead_init(struct reqhead *h)
{
	*h = (struct reqhead){
		.text = g_string_new(NULL),
		.kept_fields =
		    g_array_new(FALSE, FALSE, sizeof(struct reqhead_field)),
	};
	g_array_set_clear_func(h->kept_fields, clear_field);
}

/// Releases what a head holds.
void
reqhead_clear(struct reqhead *h)
{
	g_free(h->target);
	(void)g_string_free(h->text, TRUE);
	g_array_unref(h->kept_fields);
}

static bool
is_known_method(const char *line, size_t len)
{
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (strlen(methods[i]) == len &&
		    strncmp(methods[i], line, len) == 0)
			return true;
	}
	return false;
}

/// Checks "METHOD TARGET HTTP/1.x".
static void
parse_request_line(struct parse *p, const char *line)
{
	struct reqhead *h = p->head;
	const char *target = strchr(line, ' ');
	const char *version = target != NULL ? strchr(target + 1, ' ') : NULL;

	if (version == NULL || strchr(version + 1, ' ') != NULL) {
		refuse(h, 400, "the request line isn't one");
		return;
	}
	p->is_http_1_0 = strcmp(version, " HTTP/1.0") == 0;
	if (!is_known_method(line, (size_t)(target - line)))
		refuse(h, 501, "the method isn't served");
	else if (target[1] != '/')
		refuse(h, 400, "the target isn't a path");
	else if (version - target > REQHEAD_MAX_TARGET_BYTES)
		refuse(h, 414, "the target is too long");
	else if (!p->is_http_1_0 && strcmp(version, " HTTP/1.1") != 0)
		refuse(h, 505, "the HTTP version isn't served");
	g_string_append_printf(h->text, "%s\r\n", line);
	h->target = g_strndup(target + 1, (gsize)(version - target - 1));
}

static void
parse_length(struct parse *p, const char *value)
{
	struct reqhead *h = p->head;

	if (p->has_length || !http1_read_length(value, &h->length))
		refuse(h, 400, "the length isn't one number");
	p->has_length = true;
}

static void
keep_field(struct reqhead *h, char *line, size_t name_len)
{
	struct reqhead_field field;

	// The library takes the body of a form for a query, and parses it with
	// copies of it on the stack.
	if (http1_field_value(line, name_len, "Content-Type") == NULL &&
	    strlen(line) <= REQHEAD_MAX_LIBRARY_FIELD_BYTES) {
		g_string_append_printf(h->text, "%s\r\n", line);
		return;
	}
	field.name = g_strndup(line, name_len);
	field.value = g_strstrip(g_strdup(line + name_len + 1));
	g_array_append_val(h->kept_fields, field);
}

static void
parse_field(struct parse *p, char *line)
{
	struct reqhead *h = p->head;
	const size_t name_len = http1_name_length(line);
	const char *value;

	h->n_fields++;
	if (name_len == 0) {
		refuse(h, 400, "a header line has no name");
		return;
	}
	if ((value = http1_field_value(line, name_len, "Content-Length")) !=
	    NULL) {
		parse_length(p, value);
	} else if ((value = http1_field_value(
			line, name_len, "Transfer-Encoding")) != NULL) {
		if (h->is_chunked || g_ascii_strcasecmp(value, "chunked") != 0)
			refuse(
			    h, 400, "a transfer encoding other than chunked");
		h->is_chunked = true;
	} else if ((value = http1_field_value(line, name_len, "Expect")) !=
	    NULL) {
		if (g_ascii_strcasecmp(value, "100-continue") != 0)
			refuse(h, 417, "an expectation that isn't met");
		h->expects_continue = true;
	} else {
		keep_field(h, line, name_len);
	}
}

static bool
has_text_only(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		const bool ends_line = text[i] == '\n' ||
		    (text[i] == '\r' && i + 1 < len && text[i + 1] == '\n');

		if (!ends_line && !http1_is_text((uint8_t)text[i]))
			return false;
	}
	return true;
}

/// Parses a head up to the empty line that ends it.
///
/// @param h  as of reqhead_init()
void
reqhead_parse(struct reqhead *h, const char *text, size_t len)
{
	struct parse p = { .head = h };
	gchar **lines;

	if (!has_text_only(text, len)) {
		refuse(h, 400, "a control character in the head");
		return;
	}
	lines = g_strsplit(text, "\n", -1);
	for (gchar **l = lines; *l != NULL && h->refusal == 0; l++) {
		const size_t n = strlen(*l);

		if (n > 0 && (*l)[n - 1] == '\r')
			(*l)[n - 1] = '\0';
		if (l == lines)
			parse_request_line(&p, *l);
		else if ((*l)[0] != '\0')
			parse_field(&p, *l);
	}
	g_strfreev(lines);
	if (h->is_chunked && (p.has_length || p.is_http_1_0))
		refuse(h, 400, "a length, or HTTP/1.0, beside chunks");
}
