#include "replog/raft_codec.h"

#include "base/validate.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

#define MSG_VERSION 1
#define MSG_FIELDS 18
#define ENTRY_FIELDS 3
#define MAX_ENTRIES 65535

static void
pack_bin(msgpack_packer *pk, const uint8_t *bytes, size_t len)
{
	(void)msgpack_pack_bin(pk, len);
	if (len > 0)
		(void)msgpack_pack_bin_body(pk, bytes, len);
}

static void
pack_ids(msgpack_packer *pk, const uint32_t *ids, uint32_t n)
{
	(void)msgpack_pack_array(pk, n);
	for (uint32_t i = 0; i < n; i++)
		(void)msgpack_pack_uint32(pk, ids[i]);
}

static void
pack_members(msgpack_packer *pk, const struct raft_members *m)
{
	(void)msgpack_pack_array(pk, 3);
	(void)msgpack_pack_uint64(pk, m->index);
	pack_ids(pk, m->voters, m->n_voters);
	pack_ids(pk, m->learners, m->n_learners);
}

static uint8_t *
take_buffer(msgpack_sbuffer *sb, size_t *len)
{
	uint8_t *bytes = g_memdup2(sb->data, sb->size);

	*len = sb->size;
	msgpack_sbuffer_destroy(sb);
	return bytes;
}

/// Encodes a message.
///
/// @param len  receives the length in bytes
/// @return the bytes, to be released with g_free()
uint8_t *
raft_msg_encode(const struct raft_msg *m, size_t *len)
{
	const uint64_t flags = (m->ok ? 1U : 0U) |
	    (m->leader_transfer ? 2U : 0U) | (m->heartbeat ? 4U : 0U);
	const uint64_t numbers[] = { MSG_VERSION, m->kind, m->group, m->from,
		m->to, m->term, m->index, m->log_term, m->commit, m->round,
		m->at_us, m->hint, m->offset, m->total, flags };
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	(void)msgpack_pack_array(&pk, MSG_FIELDS);
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		(void)msgpack_pack_uint64(&pk, numbers[i]);
	pack_members(&pk, &m->members);
	(void)msgpack_pack_array(&pk, m->n_entries);
	for (size_t i = 0; i < m->n_entries; i++) {
		const struct raft_entry *e = &m->entries[i];

		(void)msgpack_pack_array(&pk, ENTRY_FIELDS);
		(void)msgpack_pack_uint64(&pk, e->term);
		(void)msgpack_pack_uint64(&pk, e->kind);
		pack_bin(&pk, e->data, e->len);
	}
	pack_bin(&pk, m->data, m->len);
	return take_buffer(&sb, len);
}

static bool
get_u64(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static bool
get_ids(const msgpack_object *o, uint32_t *ids, uint32_t *n)
{
	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size > RAFT_MAX_MEMBERS)
		return false;
	*n = o->via.array.size;
	for (uint32_t i = 0; i < *n; i++) {
		uint64_t id;

		if (!get_u64(&o->via.array.ptr[i], &id))
			return false;
		if (id == 0 || id > UINT32_MAX)
			return false;
		ids[i] = (uint32_t)id;
	}
	return true;
}

static bool
get_members(const msgpack_object *o, struct raft_members *m)
{
	const msgpack_object *fields;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3)
		return false;
	fields = o->via.array.ptr;
	return get_u64(&fields[0], &m->index) &&
	    get_ids(&fields[1], m->voters, &m->n_voters) &&
	    get_ids(&fields[2], m->learners, &m->n_learners);
}

static bool
get_entry(const msgpack_object *o, uint64_t index, struct raft_entry *e)
{
	const msgpack_object *fields;
	uint64_t kind;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != ENTRY_FIELDS)
		return false;
	fields = o->via.array.ptr;
	if (!get_u64(&fields[0], &e->term) || !get_u64(&fields[1], &kind))
		return false;
	if (kind > RAFT_EMPTY || fields[2].type != MSGPACK_OBJECT_BIN)
		return false;
	e->kind = (enum raft_entry_kind)kind;
	e->index = index;
	e->len = fields[2].via.bin.size;
	e->data = (uint8_t *)(uintptr_t)fields[2].via.bin.ptr;
	return true;
}

static bool
get_entries(const msgpack_object *o, struct raft_msg *m)
{
	size_t n;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	n = o->via.array.size;
	if (n == 0)
		return true;
	m->decoded = g_new0(struct raft_entry, n);
	m->entries = m->decoded;
	m->n_entries = n;
	for (size_t i = 0; i < n; i++) {
		if (!get_entry(
			&o->via.array.ptr[i], m->index + 1 + i, &m->decoded[i]))
			return false;
	}
	return true;
}

static bool
get_numbers(const msgpack_object *fields, struct raft_msg *m)
{
	uint64_t version = 0;
	uint64_t kind = 0;
	uint64_t group = 0;
	uint64_t from = 0;
	uint64_t to = 0;
	uint64_t flags = 0;
	uint64_t *targets[] = { &version, &kind, &group, &from, &to, &m->term,
		&m->index, &m->log_term, &m->commit, &m->round, &m->at_us,
		&m->hint, &m->offset, &m->total, &flags };

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		if (!get_u64(&fields[i], targets[i]))
			return false;
	}
	if (version != MSG_VERSION || kind == 0 || kind > RAFT_MSG_LAST)
		return false;
	if (group > UINT32_MAX || from > UINT32_MAX || to > UINT32_MAX)
		return false;
	if (m->index > UINT64_MAX / 2 || flags > 7)
		return false;
	m->kind = (enum raft_msg_kind)kind;
	m->group = (uint32_t)group;
	m->from = (uint32_t)from;
	m->to = (uint32_t)to;
	m->ok = (flags & 1) != 0;
	m->leader_transfer = (flags & 2) != 0;
	m->heartbeat = (flags & 4) != 0;
	return true;
}

static bool
get_message(const msgpack_object *o, struct raft_msg *m)
{
	const msgpack_object *fields;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != MSG_FIELDS)
		return false;
	fields = o->via.array.ptr;
	if (!get_numbers(fields, m) || !get_members(&fields[15], &m->members))
		return false;
	if (!get_entries(&fields[16], m) ||
	    fields[17].type != MSGPACK_OBJECT_BIN)
		return false;
	m->data = (const uint8_t *)fields[17].via.bin.ptr;
	m->len = fields[17].via.bin.size;
	return true;
}

/// Decodes a message from a peer.
///
/// @param out  to be cleared with raft_msg_clear() on STATUS_OK
/// @return STATUS_OK, or STATUS_CORRUPT with nothing to clear
enum status
raft_msg_decode(const uint8_t *bytes, size_t len, struct raft_msg *out)
{
	msgpack_unpacked *un;

	memset(out, 0, sizeof(*out));
	if (!validate_msgpack(bytes, len))
		return status_fail(
		    STATUS_CORRUPT, "raft message: not valid msgpack");
	un = g_new0(msgpack_unpacked, 1);
	msgpack_unpacked_init(un);
	out->owned = un;
	if (msgpack_unpack_next(un, (const char *)bytes, len, NULL) !=
		MSGPACK_UNPACK_SUCCESS ||
	    !get_message(&un->data, out)) {
		raft_msg_clear(out);
		return status_fail(STATUS_CORRUPT,
		    "raft message: a field is missing or invalid");
	}
	return STATUS_OK;
}

/// Releases the memory of a decoded message and zeroes it.
void
raft_msg_clear(struct raft_msg *m)
{
	if (m->owned != NULL) {
		msgpack_unpacked_destroy(m->owned);
		g_free(m->owned);
	}
	g_free(m->decoded);
	memset(m, 0, sizeof(*m));
}

/// Encodes a set of members.
///
/// @param len  receives the length in bytes
/// @return the bytes, to be released with g_free()
uint8_t *
raft_members_encode(const struct raft_members *m, size_t *len)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	pack_members(&pk, m);
	return take_buffer(&sb, len);
}

/// Decodes a set of members.
///
/// @return STATUS_OK or STATUS_CORRUPT
enum status
raft_members_decode(const uint8_t *bytes, size_t len, struct raft_members *out)
{
	msgpack_unpacked un;
	bool decoded_ok = false;

	memset(out, 0, sizeof(*out));
	if (!validate_msgpack(bytes, len))
		return status_fail(
		    STATUS_CORRUPT, "raft members: not valid msgpack");
	msgpack_unpacked_init(&un);
	if (msgpack_unpack_next(&un, (const char *)bytes, len, NULL) ==
	    MSGPACK_UNPACK_SUCCESS)
		decoded_ok = get_members(&un.data, out);
	msgpack_unpacked_destroy(&un);
	if (!decoded_ok)
		return status_fail(STATUS_CORRUPT,
		    "raft members: a field is missing or invalid");
	return STATUS_OK;
}
