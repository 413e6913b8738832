#include "fleet/feedmsg.h"

#include "codec/codec.h"

/// Marks the age of a list on the wire, for a process that can read the compact
/// form of servers. An older version takes such an age for a very old list, and
/// sends its own.
#define COMPACT_BIT (UINT64_C(1) << 63)
#define COMPACT_NO_LIST (COMPACT_BIT - 2)

static uint64_t
age_to_wire(const struct feedmsg_ask *a)
{
	if (!a->reads_compact)
		return a->list_age_us;
	return COMPACT_BIT |
	    (a->list_age_us == FEEDMSG_NO_LIST ? COMPACT_NO_LIST
					       : a->list_age_us);
}

static void
age_from_wire(struct feedmsg_ask *a, uint64_t age)
{
	a->reads_compact = age != FEEDMSG_NO_LIST && (age & COMPACT_BIT) != 0;
	a->list_age_us = age;
	if (a->reads_compact)
		a->list_age_us = age & ~COMPACT_BIT;
	if (a->reads_compact && a->list_age_us == COMPACT_NO_LIST)
		a->list_age_us = FEEDMSG_NO_LIST;
}

static void
code_ask(struct codec *c, struct feedmsg_ask *a)
{
	uint64_t age = age_to_wire(a);

	codec_u64(c, &a->sent_us);
	codec_u64(c, &a->revision);
	codec_u64(c, &a->version);
	codec_u64(c, &age);
	if (!codec_is_writer(c))
		age_from_wire(a, age);
}

static void
code_update(struct codec *c, struct feedmsg_update *u)
{
	codec_u64(c, &u->echo_us);
	codec_u64(c, &u->age_us);
	codec_u64(c, &u->revision);
	codec_u64(c, &u->since);
	codec_bytes(c, &u->changes, &u->len);
	codec_u64(c, &u->version);
	codec_bytes(c, &u->manifest, &u->manifest_len);
}

static enum status
end_decode(struct codec *c)
{
	const bool decoded = codec_at_end(c);

	codec_free(c);
	return decoded ? STATUS_OK
		       : status_fail(STATUS_CORRUPT,
			     "message of the feed can't be decoded");
}

/// Encodes an ask.
///
/// @param bytes  gets the message, to be released with free()
void
feedmsg_ask_encode(const struct feedmsg_ask *a, uint8_t **bytes, size_t *len)
{
	struct feedmsg_ask copy = *a;
	struct codec *c = codec_writer();

	code_ask(c, &copy);
	codec_take(c, bytes, len);
}

/// Decodes an ask.
///
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
feedmsg_ask_decode(const uint8_t *bytes, size_t len, struct feedmsg_ask *out)
{
	struct codec *c = codec_reader(bytes, len);

	*out = (struct feedmsg_ask){ .sent_us = 0 };
	code_ask(c, out);
	return end_decode(c);
}

/// Encodes an update.
///
/// @param bytes  gets the message, to be released with free()
void
feedmsg_update_encode(
    const struct feedmsg_update *u, uint8_t **bytes, size_t *len)
{
	struct feedmsg_update copy = *u;
	struct codec *c = codec_writer();

	code_update(c, &copy);
	codec_take(c, bytes, len);
}

/// Decodes an update.
///
/// @param bytes  must outlive `out`, whose changes and manifest point into them
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
feedmsg_update_decode(
    const uint8_t *bytes, size_t len, struct feedmsg_update *out)
{
	struct codec *c = codec_reader(bytes, len);

	*out = (struct feedmsg_update){ .echo_us = 0 };
	code_update(c, out);
	return end_decode(c);
}
