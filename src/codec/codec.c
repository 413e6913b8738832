#include "codec/codec.h"

#include <assert.h>
#include <limits.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/// Bounds of the first bytes that mark an array or a map in msgpack.
#define FIXMAP 0x80
#define FIXARRAY_LAST 0x9f
#define ARRAY16 0xdc
#define MAP32 0xdf

struct codec {
	bool writing;
	bool failed;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	const char *input;      ///< reader's input, not owned
	size_t len;             ///< bytes of `input`
	size_t offset;          ///< offset of the next value in `input`
	msgpack_unpacked value; ///< value read last
};

/// Creates a writer.
///
/// @return writer, to be released with codec_take() or codec_free()
struct codec *
codec_writer(void)
{
	struct codec *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	c->writing = true;
	msgpack_sbuffer_init(&c->buffer);
	msgpack_packer_init(&c->packer, &c->buffer, msgpack_sbuffer_write);
	return c;
}

/// Creates a reader.
///
/// @param bytes  must outlive the reader and the results of codec_bytes()
/// @return reader, to be released with codec_free()
struct codec *
codec_reader(const uint8_t *bytes, size_t len)
{
	struct codec *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	c->input = (const char *)bytes;
	c->len = len;
	msgpack_unpacked_init(&c->value);
	return c;
}

/// Releases a reader or writer; NULL is allowed.
void
codec_free(struct codec *c)
{
	if (c == NULL)
		return;
	if (c->writing)
		msgpack_sbuffer_destroy(&c->buffer);
	else
		msgpack_unpacked_destroy(&c->value);
	free(c);
}

/// Returns the written bytes and releases the writer.
///
/// @param bytes  receives the bytes, to be released with free()
void
codec_take(struct codec *c, uint8_t **bytes, size_t *len)
{
	assert(c->writing);
	*len = c->buffer.size;
	*bytes = (uint8_t *)msgpack_sbuffer_release(&c->buffer);
	codec_free(c);
}

/// Whether this is a writer, not a reader.
bool
codec_is_writer(const struct codec *c)
{
	return c->writing;
}

/// Marks a reader as failed because a value violates a rule of the caller.
void
codec_fail(struct codec *c)
{
	c->failed = true;
}

/// Whether the reader has failed: a value was missing, of another type or out
/// of range, or codec_fail() was called.
bool
codec_failed(const struct codec *c)
{
	return c->failed;
}

/// Whether a reader has read its whole input without a failure.
bool
codec_at_end(const struct codec *c)
{
	return !c->failed && c->offset == c->len;
}

/// Whether the first byte of a value marks an array or a map. A sequence never
/// contains these, and the library would allocate whatever size they declare.
static bool
is_container(uint8_t first)
{
	return (first >= FIXMAP && first <= FIXARRAY_LAST) ||
	    (first >= ARRAY16 && first <= MAP32);
}

/// Reads the next value.
///
/// @return valid until the next read; NULL when the reader has failed or the
///         value is missing or of another type
static const msgpack_object *
read_value(struct codec *c, msgpack_object_type type)
{
	if (c->failed)
		return NULL;
	if (c->offset >= c->len || is_container((uint8_t)c->input[c->offset])) {
		c->failed = true;
		return NULL;
	}
	if (msgpack_unpack_next(&c->value, c->input, c->len, &c->offset) !=
		MSGPACK_UNPACK_SUCCESS ||
	    c->value.data.type != type) {
		c->failed = true;
		return NULL;
	}
	return &c->value.data;
}

/// Writes an unsigned number, or reads one of at most `max`.
///
/// @return the number; 0 when reading failed
static uint64_t
transfer_uint(struct codec *c, uint64_t value, uint64_t max)
{
	const msgpack_object *o;

	if (c->writing) {
		(void)msgpack_pack_uint64(&c->packer, value);
		return value;
	}
	o = read_value(c, MSGPACK_OBJECT_POSITIVE_INTEGER);
	if (o == NULL)
		return 0;
	if (o->via.u64 > max) {
		c->failed = true;
		return 0;
	}
	return o->via.u64;
}

/// Writes or reads an unsigned number of 64 bits.
void
codec_u64(struct codec *c, uint64_t *value)
{
	*value = transfer_uint(c, *value, UINT64_MAX);
}

/// Writes or reads an unsigned number of 32 bits.
void
codec_u32(struct codec *c, uint32_t *value)
{
	*value = (uint32_t)transfer_uint(c, *value, UINT32_MAX);
}

/// Writes or reads an unsigned number of 16 bits.
void
codec_u16(struct codec *c, uint16_t *value)
{
	*value = (uint16_t)transfer_uint(c, *value, UINT16_MAX);
}

/// Writes or reads a boolean, encoded as the number 0 or 1.
void
codec_bool(struct codec *c, bool *value)
{
	*value = transfer_uint(c, *value ? 1 : 0, 1) == 1;
}

/// Writes or reads an int that is not negative.
void
codec_int(struct codec *c, int *value)
{
	assert(*value >= 0 || !c->writing);
	*value = (int)transfer_uint(c, (uint64_t)*value, INT_MAX);
}

/// Writes or reads an enum, encoded as a number.
///
/// @param value  address of the enum, which must have the size of an unsigned
/// @param limit  number of its values; a reader fails on a value beyond them
void
codec_enum(struct codec *c, void *value, unsigned limit)
{
	unsigned n = 0;

	if (c->writing)
		memcpy(&n, value, sizeof(n));
	n = (unsigned)transfer_uint(c, n, limit - 1);
	memcpy(value, &n, sizeof(n));
}

/// Writes or reads a string in a fixed buffer. A reader fails on a string that
/// contains a zero byte or doesn't fit.
///
/// @param size  bytes of the buffer, including the terminating zero
void
codec_str(struct codec *c, char *text, size_t size)
{
	const msgpack_object *o;

	if (c->writing) {
		const size_t len = strnlen(text, size);

		(void)msgpack_pack_str(&c->packer, len);
		(void)msgpack_pack_str_body(&c->packer, text, len);
		return;
	}
	memset(text, 0, size);
	o = read_value(c, MSGPACK_OBJECT_STR);
	if (o == NULL || o->via.str.size == 0)
		return;
	if (o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		c->failed = true;
		return;
	}
	memcpy(text, o->via.str.ptr, o->via.str.size);
}

/// Writes or reads bytes.
///
/// @param bytes  a reader sets it to point into its input, or to NULL when
///               reading failed
void
codec_bytes(struct codec *c, const uint8_t **bytes, size_t *len)
{
	const msgpack_object *o;

	if (c->writing) {
		(void)msgpack_pack_bin(&c->packer, *len);
		if (*len > 0)
			(void)msgpack_pack_bin_body(&c->packer, *bytes, *len);
		return;
	}
	*bytes = NULL;
	*len = 0;
	o = read_value(c, MSGPACK_OBJECT_BIN);
	if (o == NULL)
		return;
	*bytes = (const uint8_t *)o->via.bin.ptr;
	*len = o->via.bin.size;
}
