#include "replog/replica_hello.h"

#include "base/validate.h"

#include "replog/raft_codec.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

#define HEAD_FIELDS 5

/// Encodes a hello.
///
/// @param len  receives the length in bytes
/// @return the bytes, to be released with g_free()
uint8_t *
replica_hello_encode(const struct replica_hello *h, size_t *len)
{
	const uint64_t head[HEAD_FIELDS] = { h->group, h->id, h->incarnation,
		h->origin, h->is_reply };
	msgpack_sbuffer sb;
	msgpack_packer pk;
	uint8_t *bytes;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	(void)msgpack_sbuffer_write(
	    &sb, (const char[]){ REPLICA_HELLO_MARK }, 1);
	(void)msgpack_pack_array(&pk, HEAD_FIELDS + h->n_disks);
	for (size_t i = 0; i < HEAD_FIELDS; i++)
		(void)msgpack_pack_uint64(&pk, head[i]);
	for (uint32_t i = 0; i < h->n_disks; i++)
		(void)msgpack_pack_uint64(&pk, h->disks[i]);
	*len = sb.size;
	bytes = g_memdup2(sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
	return bytes;
}

static bool
get_hello(const msgpack_object *o, struct replica_hello *h)
{
	uint64_t numbers[HEAD_FIELDS + RAFT_MAX_MEMBERS] = { 0 };
	uint32_t size;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	size = o->via.array.size;
	if (size < HEAD_FIELDS || size > G_N_ELEMENTS(numbers))
		return false;
	for (uint32_t i = 0; i < size; i++) {
		if (o->via.array.ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		numbers[i] = o->via.array.ptr[i].via.u64;
	}
	if (numbers[0] > UINT32_MAX || numbers[1] == 0 ||
	    numbers[1] > UINT32_MAX || numbers[3] > LOGSTORE_ORIGIN_LATE ||
	    numbers[4] > 1)
		return false;
	h->group = (uint32_t)numbers[0];
	h->id = (uint32_t)numbers[1];
	h->incarnation = numbers[2];
	h->origin = (enum logstore_origin)numbers[3];
	h->is_reply = numbers[4] != 0;
	h->n_disks = size - HEAD_FIELDS;
	memcpy(h->disks, &numbers[HEAD_FIELDS], sizeof(h->disks));
	return true;
}

/// Decodes a hello from another process.
///
/// @return STATUS_OK or STATUS_CORRUPT
enum status
replica_hello_decode(
    const uint8_t *bytes, size_t len, struct replica_hello *out)
{
	msgpack_unpacked un;
	bool decoded_ok = false;

	memset(out, 0, sizeof(*out));
	if (len < 2 || bytes[0] != REPLICA_HELLO_MARK ||
	    !validate_msgpack(bytes + 1, len - 1))
		return status_fail(
		    STATUS_CORRUPT, "hello message: not valid msgpack");
	msgpack_unpacked_init(&un);
	if (msgpack_unpack_next(&un, (const char *)bytes + 1, len - 1, NULL) ==
	    MSGPACK_UNPACK_SUCCESS)
		decoded_ok = get_hello(&un.data, out);
	msgpack_unpacked_destroy(&un);
	if (!decoded_ok)
		return status_fail(STATUS_CORRUPT,
		    "hello message: a field is missing or invalid");
	return STATUS_OK;
}
