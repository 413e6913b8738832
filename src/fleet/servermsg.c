#include "fleet/servermsg.h"

#include <arpa/inet.h>
#include <string.h>

#include "codec/codec.h"
#include "fleet/hubmsg.h"

/// First value of the compact form, and no length that the longer form may
/// begin with.
#define MARK UINT32_MAX
/// More servers than any valid list has.
#define MAX_SERVERS 32768

enum server_flag {
	SERVER_REMOVED = 1,
	SERVER_DRAINING = 2,
	SERVER_SPOT = 4,
	SERVER_HAS_IPV4 = 8,  ///< the host is a number
	SERVER_HAS_COLD = 16, ///< it is cold for some time
	SERVER_HAS_PACE = 32, ///< its pace is known
	SERVER_FLAGS = 63,
};

/// Texts that were coded before.
struct texts {
	GHashTable *numbers; ///< text -> its number; of a writer
	GPtrArray *list;     ///< text of each number, from 1 on
};

static void
texts_init(struct texts *t)
{
	t->numbers = g_hash_table_new(g_str_hash, g_str_equal);
	t->list = g_ptr_array_new_with_free_func(g_free);
}

static void
texts_clear(struct texts *t)
{
	g_hash_table_destroy(t->numbers);
	g_ptr_array_unref(t->list);
}

static void
add_text(struct texts *t, const char *text)
{
	char *copy = g_strdup(text);

	g_ptr_array_add(t->list, copy);
	(void)g_hash_table_insert(
	    t->numbers, copy, GUINT_TO_POINTER(t->list->len));
}

/// Codes a text that many servers have: its number, or 0 and the text.
static void
code_text(struct codec *m, struct texts *t, char *text, size_t size)
{
	uint32_t number = codec_is_writer(m)
	    ? GPOINTER_TO_UINT(g_hash_table_lookup(t->numbers, text))
	    : 0;

	codec_u32(m, &number);
	if (number == 0) {
		codec_str(m, text, size);
		add_text(t, text);
		return;
	}
	if (codec_is_writer(m))
		return;
	if (number > t->list->len ||
	    g_strlcpy(text, g_ptr_array_index(t->list, number - 1), size) >=
		size)
		codec_fail(m);
}

/// The address of a host as a number, if that gives the same text again.
static bool
to_ipv4(const char *host, uint32_t *address)
{
	char text[INET_ADDRSTRLEN];
	struct in_addr in;

	if (inet_pton(AF_INET, host, &in) != 1 ||
	    inet_ntop(AF_INET, &in, text, sizeof(text)) == NULL)
		return false;
	*address = ntohl(in.s_addr);
	return strcmp(text, host) == 0;
}

static uint32_t
flags_of(const struct hubmsg_server *s)
{
	uint32_t address;

	return (s->removed ? SERVER_REMOVED : 0) |
	    (s->instance.draining ? SERVER_DRAINING : 0) |
	    (s->instance.spot ? SERVER_SPOT : 0) |
	    (to_ipv4(s->instance.host, &address) ? SERVER_HAS_IPV4 : 0) |
	    (s->instance.cold_until_ms != 0 ? SERVER_HAS_COLD : 0) |
	    (s->instance.pace_percent != 0 ? SERVER_HAS_PACE : 0);
}

static void
code_host(struct codec *m, struct instance *s, uint32_t flags)
{
	struct in_addr in;
	uint32_t address = 0;

	if ((flags & SERVER_HAS_IPV4) == 0) {
		codec_str(m, s->host, sizeof(s->host));
		return;
	}
	if (codec_is_writer(m))
		(void)to_ipv4(s->host, &address);
	codec_u32(m, &address);
	in.s_addr = htonl(address);
	if (!codec_is_writer(m))
		(void)inet_ntop(AF_INET, &in, s->host, sizeof(s->host));
}

static void
code_server(struct codec *m, struct texts *t, struct hubmsg_server *s)
{
	uint32_t flags = codec_is_writer(m) ? flags_of(s) : 0;

	codec_str(m, s->instance.id, sizeof(s->instance.id));
	codec_u32(m, &flags);
	if (flags > SERVER_FLAGS)
		codec_fail(m);
	s->removed = (flags & SERVER_REMOVED) != 0;
	if (s->removed)
		return;
	s->instance.draining = (flags & SERVER_DRAINING) != 0;
	s->instance.spot = (flags & SERVER_SPOT) != 0;
	code_text(m, t, s->instance.service, sizeof(s->instance.service));
	code_text(m, t, s->instance.zone, sizeof(s->instance.zone));
	code_text(m, t, s->instance.version, sizeof(s->instance.version));
	code_host(m, &s->instance, flags);
	codec_u16(m, &s->instance.port);
	codec_u32(m, &s->instance.slots);
	if ((flags & SERVER_HAS_COLD) != 0)
		codec_u64(m, &s->instance.cold_until_ms);
	if ((flags & SERVER_HAS_PACE) != 0)
		codec_u32(m, &s->instance.pace_percent);
}

/// Codes the servers that follow the mark.
static void
code_servers(struct codec *m, GArray *servers)
{
	uint32_t n = servers->len;
	struct texts t;

	codec_u32(m, &n);
	if (n > MAX_SERVERS) {
		codec_fail(m);
		return;
	}
	if (!codec_is_writer(m))
		g_array_set_size(servers, n);
	texts_init(&t);
	for (guint i = 0; i < n && !codec_failed(m); i++)
		code_server(
		    m, &t, &g_array_index(servers, struct hubmsg_server, i));
	texts_clear(&t);
}

/// Encodes servers of the list or its changes.
///
/// @param servers  struct hubmsg_server
/// @param bytes    gets the message, to be released with free()
void
servermsg_encode(const GArray *servers, uint8_t **bytes, size_t *len)
{
	struct codec *m = codec_writer();
	uint32_t mark = MARK;

	codec_u32(m, &mark);
	code_servers(m, (GArray *)servers);
	codec_take(m, bytes, len);
}

/// Decodes servers of the list or its changes, in the compact or the longer
/// form.
///
/// @param servers  of struct hubmsg_server; its contents are replaced
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
servermsg_decode(const uint8_t *bytes, size_t len, GArray *servers)
{
	struct codec *m = codec_reader(bytes, len);
	uint32_t mark = 0;
	bool decoded;

	codec_u32(m, &mark);
	if (codec_failed(m) || mark != MARK) {
		codec_free(m);
		return hubmsg_servers_decode(bytes, len, servers);
	}
	g_array_set_size(servers, 0);
	code_servers(m, servers);
	decoded = codec_at_end(m);
	codec_free(m);
	return decoded
	    ? STATUS_OK
	    : status_fail(STATUS_CORRUPT, "server list can't be decoded");
}
