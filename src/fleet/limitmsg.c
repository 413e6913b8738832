#include "fleet/limitmsg.h"

#include <math.h>

#include "codec/codec.h"

/// More servers than any deployment has; a longer array fails to decode.
#define MAX_LIMITS 8192
#define MILLI 1000.0
/// An advertised limit of zero is still a limit.
#define MIN_MILLI 1

/// Makes an empty message, to be released with limitmsg_clear().
void
limitmsg_init(struct limitmsg *m)
{
	*m = (struct limitmsg){
		.limits =
		    g_array_new(FALSE, TRUE, sizeof(struct limitmsg_limit)),
		.colds = g_array_new(FALSE, TRUE, sizeof(struct limitmsg_cold)),
		.speeds =
		    g_array_new(FALSE, TRUE, sizeof(struct limitmsg_speed)),
		.brittles =
		    g_array_new(FALSE, TRUE, sizeof(struct limitmsg_brittle)),
	};
}

/// Releases a message's arrays.
void
limitmsg_clear(struct limitmsg *m)
{
	g_array_unref(m->limits);
	g_array_unref(m->colds);
	g_array_unref(m->speeds);
	g_array_unref(m->brittles);
}

/// Appends a server's limit.
///
/// @param per_s  requests per second; 0: the limit has ended
void
limitmsg_add(struct limitmsg *m, const char *server, double per_s)
{
	struct limitmsg_limit limit = {
		.milli_per_s = MAX((uint64_t)lround(per_s * MILLI), MIN_MILLI),
		.limited = per_s > 0,
	};

	(void)g_strlcpy(limit.server, server, sizeof(limit.server));
	g_array_append_val(m->limits, limit);
}

/// Appends a cold server.
void
limitmsg_add_cold(struct limitmsg *m, const char *server, uint32_t left_ms)
{
	struct limitmsg_cold cold = { .left_ms = left_ms };

	(void)g_strlcpy(cold.server, server, sizeof(cold.server));
	g_array_append_val(m->colds, cold);
}

/// Appends the pace of a server.
void
limitmsg_add_speed(
    struct limitmsg *m, const char *server, uint32_t pace_percent)
{
	struct limitmsg_speed speed = { .pace_percent = pace_percent };

	(void)g_strlcpy(speed.server, server, sizeof(speed.server));
	g_array_append_val(m->speeds, speed);
}

/// Appends a server that is brittle, or isn't any more.
void
limitmsg_add_brittle(struct limitmsg *m, const char *server, bool is_brittle,
    uint32_t max_refusals)
{
	struct limitmsg_brittle brittle = { .max_refusals = max_refusals,
		.is_brittle = is_brittle };

	(void)g_strlcpy(brittle.server, server, sizeof(brittle.server));
	g_array_append_val(m->brittles, brittle);
}

/// Requests per second of a limit; 0: it has ended.
double
limitmsg_per_s(const struct limitmsg_limit *limit)
{
	return limit->limited ? (double)limit->milli_per_s / MILLI : 0;
}

/// The part that older processes don't know: left out where it is empty.
static void
code_colds(struct codec *c, struct limitmsg *m)
{
	uint32_t n = m->colds->len;

	if (codec_is_writer(c) ? n + m->speeds->len + m->brittles->len == 0
			       : codec_at_end(c))
		return;
	codec_u32(c, &n);
	if (n > MAX_LIMITS) {
		codec_fail(c);
		return;
	}
	g_array_set_size(m->colds, n);
	for (uint32_t i = 0; i < n; i++) {
		struct limitmsg_cold *cold =
		    &g_array_index(m->colds, struct limitmsg_cold, i);

		codec_str(c, cold->server, sizeof(cold->server));
		codec_u32(c, &cold->left_ms);
	}
}

static void
code_speeds(struct codec *c, struct limitmsg *m)
{
	uint32_t n = m->speeds->len;

	if (codec_is_writer(c) ? n + m->brittles->len == 0 : codec_at_end(c))
		return;
	codec_u32(c, &n);
	if (n > MAX_LIMITS) {
		codec_fail(c);
		return;
	}
	g_array_set_size(m->speeds, n);
	for (uint32_t i = 0; i < n; i++) {
		struct limitmsg_speed *speed =
		    &g_array_index(m->speeds, struct limitmsg_speed, i);

		codec_str(c, speed->server, sizeof(speed->server));
		codec_u32(c, &speed->pace_percent);
	}
}

static void
code_brittles(struct codec *c, struct limitmsg *m)
{
	uint32_t n = m->brittles->len;

	if (codec_is_writer(c) ? n == 0 : codec_at_end(c))
		return;
	codec_u32(c, &n);
	if (n > MAX_LIMITS) {
		codec_fail(c);
		return;
	}
	g_array_set_size(m->brittles, n);
	for (uint32_t i = 0; i < n; i++) {
		struct limitmsg_brittle *brittle =
		    &g_array_index(m->brittles, struct limitmsg_brittle, i);

		codec_str(c, brittle->server, sizeof(brittle->server));
		codec_u32(c, &brittle->max_refusals);
		codec_bool(c, &brittle->is_brittle);
	}
}

static void
code_message(struct codec *c, struct limitmsg *m)
{
	uint32_t n = m->limits->len;

	codec_bool(c, &m->whole);
	codec_u32(c, &m->number);
	codec_u32(c, &m->n);
	codec_u32(c, &n);
	if (n > MAX_LIMITS || (m->n > 0 && m->number >= m->n)) {
		codec_fail(c);
		return;
	}
	g_array_set_size(m->limits, n);
	for (uint32_t i = 0; i < n; i++) {
		struct limitmsg_limit *limit =
		    &g_array_index(m->limits, struct limitmsg_limit, i);

		codec_str(c, limit->server, sizeof(limit->server));
		codec_u64(c, &limit->milli_per_s);
		codec_bool(c, &limit->limited);
	}
	code_colds(c, m);
	code_speeds(c, m);
	code_brittles(c, m);
}

/// Encodes a message.
///
/// @param bytes  gets the message, to be released with free()
void
limitmsg_encode(const struct limitmsg *m, uint8_t **bytes, size_t *len)
{
	struct limitmsg copy = *m;
	struct codec *c = codec_writer();

	code_message(c, &copy);
	codec_take(c, bytes, len);
}

/// Decodes a message into one made by limitmsg_init().
///
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
limitmsg_decode(const uint8_t *bytes, size_t len, struct limitmsg *out)
{
	struct codec *c = codec_reader(bytes, len);
	bool decoded;

	code_message(c, out);
	decoded = codec_at_end(c);
	codec_free(c);
	return decoded ? STATUS_OK
		       : status_fail(STATUS_CORRUPT, "limits can't be decoded");
}
