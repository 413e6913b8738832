#include "base/validate.h"

/// Sizes that the header of a msgpack value declares.
struct header {
	size_t header_bytes;
	size_t body_bytes; ///< of a string or bytes, else 0
	size_t n_items;    ///< of an array, else 0
};

/// Reads the big-endian number of `n` bytes that follows the type byte; 0 when
/// bytes are missing.
static size_t
read_big_endian(const uint8_t *p, size_t left, size_t n)
{
	size_t value = 0;

	if (left < n + 1)
		return 0;
	for (size_t i = 1; i <= n; i++)
		value = (value << 8) + p[i];
	return value;
}

/// Fills the header of a string or bytes whose size is in the `n` bytes after
/// the type byte.
static void
set_body_size(struct header *h, const uint8_t *p, size_t left, size_t n)
{
	h->header_bytes = 1 + n;
	h->body_bytes = read_big_endian(p, left, n);
}

/// Parses a header whose type takes the whole first byte, as parse_header()
/// does.
///
/// @return false when the type is not allowed
static bool
parse_typed_header(const uint8_t *p, size_t left, struct header *h)
{
	switch (p[0]) {
	case 0xc0: // nil, false, true
	case 0xc2:
	case 0xc3:
		return true;
	case 0xc4: // bytes
	case 0xd9: // string
		set_body_size(h, p, left, 1);
		return true;
	case 0xc5:
	case 0xda:
		set_body_size(h, p, left, 2);
		return true;
	case 0xc6:
	case 0xdb:
		set_body_size(h, p, left, 4);
		return true;
	case 0xcc: // unsigned numbers of 1, 2, 4 and 8 bytes
	case 0xcd:
	case 0xce:
	case 0xcf:
		h->header_bytes = 1 + ((size_t)1 << (p[0] - 0xcc));
		return true;
	case 0xdc: // array
		h->header_bytes = 3;
		h->n_items = read_big_endian(p, left, 2);
		return true;
	case 0xdd:
		h->header_bytes = 5;
		h->n_items = read_big_endian(p, left, 4);
		return true;
	default:
		return false;
	}
}

/// Parses the header of the value at `p`. The caller checks that the header and
/// the body fit into the input.
///
/// @param left  bytes from `p` to the end of the input, at least 1
/// @return false when the type is not allowed
static bool
parse_header(const uint8_t *p, size_t left, struct header *h)
{
	const uint8_t first = p[0];

	*h = (struct header){ .header_bytes = 1 };
	if (first <= 0x7f) // unsigned number
		return true;
	if ((first & 0xf0) == 0x90) { // array
		h->n_items = first & 0x0f;
		return true;
	}
	if ((first & 0xe0) == 0xa0) { // string
		h->body_bytes = first & 0x1f;
		return true;
	}
	return parse_typed_header(p, left, h);
}

/// Checks that bytes are exactly one msgpack value of the types that are sent
/// between processes (nil, booleans, unsigned numbers, strings, bytes, arrays),
/// and that no declared size exceeds the bytes that follow. The library would
/// allocate whatever size is declared.
bool
validate_msgpack(const uint8_t *bytes, size_t len)
{
	const uint8_t *p = bytes;
	size_t left = len;
	size_t pending = 1; // values still to be parsed

	while (pending > 0) {
		struct header h;

		if (left == 0 || !parse_header(p, left, &h))
			return false;
		if (h.header_bytes > left ||
		    h.body_bytes > left - h.header_bytes)
			return false;
		p += h.header_bytes + h.body_bytes;
		left -= h.header_bytes + h.body_bytes;
		if (h.n_items > left)
			return false;
		pending += h.n_items;
		pending--;
		if (pending > left) // each takes at least one byte
			return false;
	}
	return left == 0;
}
