#include "codec/codec.h"

#include <assert.h>
#include <limits.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/// First bytes of lists and maps in msgpack.
#define FIXMAP 0x80
#define FIXARRAY_LAST 0x9f
#define ARRAY16 0xdc
#define MAP32 0xdf

struct codec {
	bool writing;
	bool bad;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	const char *in;
	size_t len;
	size_t at;
	msgpack_unpacked value;
};

/// Starts a sequence to be written.
struct codec *
codec_writer(void)
{
	struct codec *m = calloc(1, sizeof(*m));

	if (m == NULL)
		abort();
	m->writing = true;
	msgpack_sbuffer_init(&m->buffer);
	msgpack_packer_init(&m->packer, &m->buffer, msgpack_sbuffer_write);
	return m;
}

/// Starts to read a sequence.
///
/// @param bytes  must stay as long as the reader and what codec_bytes() gave
struct codec *
codec_reader(const uint8_t *bytes, size_t len)
{
	struct codec *m = calloc(1, sizeof(*m));

	if (m == NULL)
		abort();
	m->in = (const char *)bytes;
	m->len = len;
	msgpack_unpacked_init(&m->value);
	return m;
}

/// Releases a reader or writer; NULL is allowed.
void
codec_free(struct codec *m)
{
	if (m == NULL)
		return;
	if (m->writing)
		msgpack_sbuffer_destroy(&m->buffer);
	else
		msgpack_unpacked_destroy(&m->value);
	free(m);
}

/// Hands over what was written and releases the writer.
///
/// @param bytes  to be released with free()
void
codec_take(struct codec *m, uint8_t **bytes, size_t *len)
{
	assert(m->writing);
	*len = m->buffer.size;
	*bytes = (uint8_t *)msgpack_sbuffer_release(&m->buffer);
	codec_free(m);
}

/// Whether this is a writer.
bool
codec_is_writer(const struct codec *m)
{
	return m->writing;
}

/// Marks a reader as bad: a value breaks a rule of the caller.
void
codec_fail(struct codec *m)
{
	m->bad = true;
}

/// Whether a value did not fit.
bool
codec_failed(const struct codec *m)
{
	return m->bad;
}

/// Whether a reader has read all and every value did fit.
bool
codec_at_end(const struct codec *m)
{
	return !m->bad && m->at == m->len;
}

/// Whether a value begins with the mark of a list or map. These never stand
/// in a sequence, and the library would allocate whatever they claim to hold.
static bool
is_container(uint8_t first)
{
	return (first >= FIXMAP && first <= FIXARRAY_LAST) ||
	    (first >= ARRAY16 && first <= MAP32);
}

/// Reads the next value of a type.
static const msgpack_object *
next(struct codec *m, msgpack_object_type type)
{
	if (m->bad)
		return NULL;
	if (m->at >= m->len || is_container((uint8_t)m->in[m->at])) {
		m->bad = true;
		return NULL;
	}
	if (msgpack_unpack_next(&m->value, m->in, m->len, &m->at) !=
		MSGPACK_UNPACK_SUCCESS ||
	    m->value.data.type != type) {
		m->bad = true;
		return NULL;
	}
	return &m->value.data;
}

static uint64_t
number(struct codec *m, uint64_t value, uint64_t max)
{
	const msgpack_object *o;

	if (m->writing) {
		(void)msgpack_pack_uint64(&m->packer, value);
		return value;
	}
	o = next(m, MSGPACK_OBJECT_POSITIVE_INTEGER);
	if (o == NULL)
		return 0;
	if (o->via.u64 > max) {
		m->bad = true;
		return 0;
	}
	return o->via.u64;
}

/// A number.
void
codec_u64(struct codec *m, uint64_t *value)
{
	*value = number(m, *value, UINT64_MAX);
}

/// A number.
void
codec_u32(struct codec *m, uint32_t *value)
{
	*value = (uint32_t)number(m, *value, UINT32_MAX);
}

/// A number.
void
codec_u16(struct codec *m, uint16_t *value)
{
	*value = (uint16_t)number(m, *value, UINT16_MAX);
}

/// A truth value.
void
codec_bool(struct codec *m, bool *value)
{
	*value = number(m, *value ? 1 : 0, 1) == 1;
}

/// A number that is not negative.
void
codec_int(struct codec *m, int *value)
{
	assert(*value >= 0 || !m->writing);
	*value = (int)number(m, (uint64_t)*value, INT_MAX);
}

/// An enum.
///
/// @param value  address of the enum
/// @param limit  number of its values
void
codec_enum(struct codec *m, void *value, unsigned limit)
{
	unsigned n = 0;

	if (m->writing)
		memcpy(&n, value, sizeof(n));
	n = (unsigned)number(m, n, limit - 1);
	memcpy(value, &n, sizeof(n));
}

/// Text in a fixed buffer.
///
/// @param size  bytes of the buffer, with the final zero
void
codec_str(struct codec *m, char *text, size_t size)
{
	const msgpack_object *o;

	if (m->writing) {
		const size_t len = strnlen(text, size);

		(void)msgpack_pack_str(&m->packer, len);
		(void)msgpack_pack_str_body(&m->packer, text, len);
		return;
	}
	memset(text, 0, size);
	o = next(m, MSGPACK_OBJECT_STR);
	if (o == NULL || o->via.str.size == 0)
		return;
	if (o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		m->bad = true;
		return;
	}
	memcpy(text, o->via.str.ptr, o->via.str.size);
}

/// Bytes; a reader points into what it reads.
void
codec_bytes(struct codec *m, const uint8_t **bytes, size_t *len)
{
	const msgpack_object *o;

	if (m->writing) {
		(void)msgpack_pack_bin(&m->packer, *len);
		if (*len > 0)
			(void)msgpack_pack_bin_body(&m->packer, *bytes, *len);
		return;
	}
	*bytes = NULL;
	*len = 0;
	o = next(m, MSGPACK_OBJECT_BIN);
	if (o == NULL)
		return;
	*bytes = (const uint8_t *)o->via.bin.ptr;
	*len = o->via.bin.size;
}
