#include "base/validate.h"

/// A value's header: its own bytes, the bytes of its body, and the values
/// that it holds.
struct head {
	size_t head;
	size_t body;
	size_t items;
};

/// Big-endian number of `n` bytes after the type; 0 when they are missing.
static size_t
number(const uint8_t *p, size_t left, size_t n)
{
	size_t v = 0;

	if (left < n + 1)
		return 0;
	for (size_t i = 1; i <= n; i++)
		v = (v << 8) + p[i];
	return v;
}

static void
sized(struct head *h, const uint8_t *p, size_t left, size_t n)
{
	h->head = 1 + n;
	h->body = number(p, left, n);
}

static bool
scan_marked(const uint8_t *p, size_t left, struct head *h)
{
	switch (p[0]) {
	case 0xc0: // nil, false, true
	case 0xc2:
	case 0xc3:
		return true;
	case 0xc4: // bytes
	case 0xd9: // string
		sized(h, p, left, 1);
		return true;
	case 0xc5:
	case 0xda:
		sized(h, p, left, 2);
		return true;
	case 0xc6:
	case 0xdb:
		sized(h, p, left, 4);
		return true;
	case 0xcc: // unsigned numbers of 1, 2, 4 and 8 bytes
	case 0xcd:
	case 0xce:
	case 0xcf:
		h->head = 1 + ((size_t)1 << (p[0] - 0xcc));
		return true;
	case 0xdc: // array
		h->head = 3;
		h->items = number(p, left, 2);
		return true;
	case 0xdd:
		h->head = 5;
		h->items = number(p, left, 4);
		return true;
	default:
		return false;
	}
}

static bool
scan_value(const uint8_t *p, size_t left, struct head *h)
{
	const uint8_t b = p[0];

	*h = (struct head){ .head = 1 };
	if (b <= 0x7f)
		return true;
	if ((b & 0xf0) == 0x90) {
		h->items = b & 0x0f;
		return true;
	}
	if ((b & 0xe0) == 0xa0) {
		h->body = b & 0x1f;
		return true;
	}
	return scan_marked(p, left, h);
}

/// See the header.
bool
validate_msgpack(const uint8_t *bytes, size_t len)
{
	const uint8_t *p = bytes;
	size_t left = len;
	size_t todo = 1;

	while (todo > 0) {
		struct head h;

		if (left == 0 || !scan_value(p, left, &h))
			return false;
		if (h.head > left || h.body > left - h.head)
			return false;
		p += h.head + h.body;
		left -= h.head + h.body;
		if (h.items > left)
			return false;
		todo += h.items;
		todo--;
		if (todo > left)
			return false;
	}
	return left == 0;
}
