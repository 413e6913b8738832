#include "wire/wire.h"

#include "base/validate.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

static void
put_u64(msgpack_packer *p, uint64_t v)
{
	(void)msgpack_pack_uint64(p, v);
}

static void
put_str(msgpack_packer *p, const char *s)
{
	(void)msgpack_pack_str_with_body(p, s, strlen(s));
}

static void
put_bytes(msgpack_packer *p, struct wire_bytes b)
{
	(void)msgpack_pack_bin_with_body(p, b.data, b.len);
}

/// Opens the array of a message and writes its kind.
///
/// @param fields  number of fields that follow the kind
static void
put_kind(msgpack_packer *p, enum wire_kind kind, size_t fields)
{
	(void)msgpack_pack_array(p, fields + 1);
	put_u64(p, kind);
}

/// Writes the deployment of a hello, and behind its terminating zero the
/// address.
static void
put_deployment_and_host(msgpack_packer *p, const struct wire_hello *h)
{
	char text[2 * WIRE_NAME_BYTES];
	const size_t n = strlen(h->deployment) + 1;
	const size_t len = n + strlen(h->host);

	(void)g_strlcpy(text, h->deployment, WIRE_NAME_BYTES);
	(void)g_strlcpy(text + n, h->host, WIRE_NAME_BYTES);
	// A longer one would be refused; the peer can do without the address.
	(void)msgpack_pack_str_with_body(
	    p, text, len < WIRE_NAME_BYTES ? len : n - 1);
}

static void
put_hello(msgpack_packer *p, const struct wire_hello *h)
{
	const bool has_host = h->host[0] != '\0';
	const bool has_field = has_host && !h->hides_host;

	put_kind(p, WIRE_HELLO, has_field ? 7 : 6);
	put_u64(p, h->role);
	put_u64(p, h->id);
	put_u64(p, h->incarnation);
	if (has_host && h->hides_host)
		put_deployment_and_host(p, h);
	else
		put_str(p, h->deployment);
	put_str(p, h->node);
	put_str(p, h->data_centre);
	if (has_field)
		put_str(p, h->host);
}

static void
put_lease(msgpack_packer *p, const struct wire_lease *l)
{
	put_kind(p, WIRE_LEASE, 5);
	put_u64(p, l->leader);
	put_u64(p, l->term);
	put_u64(p, l->sequence);
	put_u64(p, l->valid_ms);
	put_u64(p, l->echo_us);
}

static void
put_msg(msgpack_packer *p, const struct wire_msg *m)
{
	switch (m->kind) {
	case WIRE_HELLO:
		put_hello(p, &m->hello);
		break;
	case WIRE_RAFT:
		put_kind(p, m->kind, 2);
		put_u64(p, m->raft.group);
		put_bytes(p, m->raft.bytes);
		break;
	case WIRE_SUBSCRIBE:
		put_kind(p, m->kind, 1);
		put_u64(p, m->subscribe.sequence);
		break;
	case WIRE_CONFIG:
		put_kind(p, m->kind, 3);
		put_u64(p, m->config.first_sequence);
		put_u64(p, m->config.last_sequence);
		put_bytes(p, m->config.commands);
		break;
	case WIRE_SNAPSHOT:
		put_kind(p, m->kind, 2);
		put_u64(p, m->snapshot.sequence);
		put_bytes(p, m->snapshot.bytes);
		break;
	case WIRE_LEASE:
		put_lease(p, &m->lease);
		break;
	case WIRE_ACK:
		put_kind(p, m->kind, 3);
		put_u64(p, m->ack.sequence);
		put_u64(p, m->ack.sent_us);
		put_u64(p, m->ack.in_service);
		break;
	case WIRE_PROPOSE:
	case WIRE_QUERY:
		put_kind(p, m->kind, 3);
		put_u64(p, m->propose.tag);
		put_u64(p, m->propose.group);
		put_bytes(p, m->propose.bytes);
		break;
	case WIRE_OUTCOME:
		put_kind(p, m->kind, 4);
		put_u64(p, m->outcome.tag);
		put_u64(p, m->outcome.status);
		put_u64(p, m->outcome.leader);
		put_bytes(p, m->outcome.bytes);
		break;
	case WIRE_ROLLOUT_STATS:
	case WIRE_SLO_COUNTERS:
	case WIRE_GATEWAY_REPORT:
	case WIRE_CONTROL_STATUS:
	case WIRE_QUOTA_ASK:
	case WIRE_QUOTA_ANSWER:
	case WIRE_CRASH:
	case WIRE_PARTS:
	case WIRE_PARTS_ANSWER:
	case WIRE_LIMITS:
	case WIRE_FEED_ASK:
	case WIRE_FEED:
		put_kind(p, m->kind, 1);
		put_bytes(p, m->payload);
		break;
	case WIRE_EXECUTE:
		put_kind(p, m->kind, 1);
		put_bytes(p, m->execute);
		break;
	case WIRE_KIND_COUNT:
		g_assert_not_reached();
	}
}

/// Encodes a message as a frame: a 4-byte length and the msgpack array.
///
/// @param bytes  receives the frame, to be released with g_free()
/// @param len    receives its size in bytes, including the 4 of the length
void
wire_encode(const struct wire_msg *msg, uint8_t **bytes, size_t *len)
{
	msgpack_sbuffer buf;
	msgpack_packer packer;
	uint8_t *out;
	uint32_t be;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&packer, &buf, msgpack_sbuffer_write);
	put_msg(&packer, msg);
	out = g_malloc(buf.size + sizeof(be));
	be = g_htonl((uint32_t)buf.size);
	memcpy(out, &be, sizeof(be));
	memcpy(out + sizeof(be), buf.data, buf.size);
	*bytes = out;
	*len = buf.size + sizeof(be);
	msgpack_sbuffer_destroy(&buf);
}

/// Reads the fields of an array one after another. `failed` is set by a missing
/// field or one of the wrong type or range, and stays set.
struct reader {
	const msgpack_object_array *array;
	uint32_t next;
	bool failed;
};

/// Returns the next field, or NULL when it is missing or of another type.
static const msgpack_object *
next_field(struct reader *r, msgpack_object_type type)
{
	const msgpack_object *o;

	if (r->failed || r->next >= r->array->size) {
		r->failed = true;
		return NULL;
	}
	o = &r->array->ptr[r->next++];
	if (o->type != type) {
		r->failed = true;
		return NULL;
	}
	return o;
}

static uint64_t
get_u64(struct reader *r)
{
	const msgpack_object *o =
	    next_field(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o == NULL ? 0 : o->via.u64;
}

static uint32_t
get_u32(struct reader *r)
{
	const uint64_t v = get_u64(r);

	if (v > UINT32_MAX)
		r->failed = true;
	return (uint32_t)v;
}

static void
get_str(struct reader *r, char *out, size_t size)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_STR);

	if (o == NULL)
		return;
	if (o->via.str.size >= size) {
		r->failed = true;
		return;
	}
	if (o->via.str.size > 0)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

/// The unpacked objects are freed before the message is used, but the
/// result stays valid as long as the frame: unpacking doesn't copy the bytes of
/// a bin field.
static struct wire_bytes
get_bytes(struct reader *r)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_BIN);
	struct wire_bytes b = { 0 };

	if (o == NULL)
		return b;
	b.data = (const uint8_t *)o->via.bin.ptr;
	b.len = o->via.bin.size;
	return b;
}

/// Reads the deployment of a hello, and the address if it follows.
static void
get_deployment_and_host(struct reader *r, struct wire_hello *h)
{
	char text[WIRE_NAME_BYTES] = "";
	size_t n;

	get_str(r, text, sizeof(text));
	n = strlen(text) + 1;
	(void)g_strlcpy(h->deployment, text, sizeof(h->deployment));
	if (n < sizeof(text) && text[n] != '\0') {
		(void)g_strlcpy(h->host, text + n, sizeof(h->host));
		h->hides_host = true;
	}
}

static void
get_hello(struct reader *r, struct wire_hello *h)
{
	const uint32_t role = get_u32(r);

	if (role > WIRE_ROLE_CONTROL)
		r->failed = true;
	h->role = (enum wire_role)role;
	h->id = get_u32(r);
	h->incarnation = get_u64(r);
	get_deployment_and_host(r, h);
	get_str(r, h->node, sizeof(h->node));
	get_str(r, h->data_centre, sizeof(h->data_centre));
	if (!r->failed && r->next < r->array->size)
		get_str(r, h->host, sizeof(h->host));
}

static void
get_outcome(struct reader *r, struct wire_outcome *o)
{
	uint32_t status;

	o->tag = get_u64(r);
	status = get_u32(r);
	if (status > STATUS_INTERNAL)
		r->failed = true;
	o->status = (enum status)status;
	o->leader = get_u32(r);
	o->bytes = get_bytes(r);
}

static void
get_msg(struct reader *r, struct wire_msg *m)
{
	switch (m->kind) {
	case WIRE_HELLO:
		get_hello(r, &m->hello);
		break;
	case WIRE_RAFT:
		m->raft.group = get_u32(r);
		m->raft.bytes = get_bytes(r);
		break;
	case WIRE_SUBSCRIBE:
		m->subscribe.sequence = get_u64(r);
		break;
	case WIRE_CONFIG:
		m->config.first_sequence = get_u64(r);
		m->config.last_sequence = get_u64(r);
		m->config.commands = get_bytes(r);
		break;
	case WIRE_SNAPSHOT:
		m->snapshot.sequence = get_u64(r);
		m->snapshot.bytes = get_bytes(r);
		break;
	case WIRE_LEASE:
		m->lease.leader = get_u32(r);
		m->lease.term = get_u64(r);
		m->lease.sequence = get_u64(r);
		m->lease.valid_ms = get_u32(r);
		m->lease.echo_us = get_u64(r);
		break;
	case WIRE_ACK:
		m->ack.sequence = get_u64(r);
		m->ack.sent_us = get_u64(r);
		m->ack.in_service = get_u64(r) != 0;
		break;
	case WIRE_PROPOSE:
	case WIRE_QUERY:
		m->propose.tag = get_u64(r);
		m->propose.group = get_u32(r);
		m->propose.bytes = get_bytes(r);
		break;
	case WIRE_OUTCOME:
		get_outcome(r, &m->outcome);
		break;
	case WIRE_ROLLOUT_STATS:
	case WIRE_SLO_COUNTERS:
	case WIRE_GATEWAY_REPORT:
	case WIRE_CONTROL_STATUS:
	case WIRE_QUOTA_ASK:
	case WIRE_QUOTA_ANSWER:
	case WIRE_CRASH:
	case WIRE_PARTS:
	case WIRE_PARTS_ANSWER:
	case WIRE_LIMITS:
	case WIRE_FEED_ASK:
	case WIRE_FEED:
		m->payload = get_bytes(r);
		break;
	case WIRE_EXECUTE:
		m->execute = get_bytes(r);
		break;
	case WIRE_KIND_COUNT:
		r->failed = true;
		break;
	}
}

static enum status
read_array(const msgpack_object *o, struct wire_msg *out)
{
	struct reader r = { 0 };
	uint64_t kind;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return status_fail(
		    STATUS_CORRUPT, "frame is not a msgpack array");
	r.array = &o->via.array;
	kind = get_u64(&r);
	if (r.failed || kind < WIRE_HELLO || kind >= WIRE_KIND_COUNT)
		return status_fail(STATUS_CORRUPT,
		    "frame has no message kind, or an unknown one");
	out->kind = (enum wire_kind)kind;
	get_msg(&r, out);
	if (r.failed || r.next != r.array->size)
		return status_fail(STATUS_CORRUPT,
		    "frame has missing, extra or invalid fields for "
		    "message kind %d",
		    (int)kind);
	return STATUS_OK;
}

/// Name of a message kind in metrics.
const char *
wire_kind_name(enum wire_kind kind)
{
	static const char *const names[WIRE_KIND_COUNT] = {
		[WIRE_HELLO] = "hello",
		[WIRE_RAFT] = "raft",
		[WIRE_SUBSCRIBE] = "subscribe",
		[WIRE_CONFIG] = "config",
		[WIRE_SNAPSHOT] = "snapshot",
		[WIRE_LEASE] = "lease",
		[WIRE_ACK] = "ack",
		[WIRE_PROPOSE] = "propose",
		[WIRE_QUERY] = "query",
		[WIRE_OUTCOME] = "outcome",
		[WIRE_ROLLOUT_STATS] = "rollout_stats",
		[WIRE_SLO_COUNTERS] = "slo_counters",
		[WIRE_EXECUTE] = "execute",
		[WIRE_GATEWAY_REPORT] = "gateway_report",
		[WIRE_CONTROL_STATUS] = "control_status",
		[WIRE_QUOTA_ASK] = "quota_ask",
		[WIRE_QUOTA_ANSWER] = "quota_answer",
		[WIRE_CRASH] = "crash",
		[WIRE_PARTS] = "parts",
		[WIRE_PARTS_ANSWER] = "parts_answer",
		[WIRE_LIMITS] = "limits",
		[WIRE_FEED_ASK] = "feed_ask",
		[WIRE_FEED] = "feed",
	};

	if (kind <= 0 || kind >= WIRE_KIND_COUNT || names[kind] == NULL)
		return "unknown";
	return names[kind];
}

/// Decodes a message from a frame without its 4-byte length.
///
/// @param bytes  must outlive `out`, which points into it
/// @return STATUS_OK, or STATUS_CORRUPT with the reason in status_last()
enum status
wire_decode(const uint8_t *bytes, size_t len, struct wire_msg *out)
{
	msgpack_unpacked unpacked;
	msgpack_unpack_return result;
	size_t consumed = 0;
	enum status status;

	memset(out, 0, sizeof(*out));
	if (!validate_msgpack(bytes, len))
		return status_fail(STATUS_CORRUPT,
		    "frame is truncated, has an unsupported type or declares "
		    "a size beyond the bytes that follow");
	msgpack_unpacked_init(&unpacked);
	result =
	    msgpack_unpack_next(&unpacked, (const char *)bytes, len, &consumed);
	if (result != MSGPACK_UNPACK_SUCCESS || consumed != len)
		status = status_fail(STATUS_CORRUPT,
		    "frame does not hold exactly one msgpack value");
	else
		status = read_array(&unpacked.data, out);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
