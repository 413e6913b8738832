#include "fleet/partmsg.h"

#include "codec/codec.h"

/// More items than any valid array has; a longer one fails to decode.
#define MAX_ITEMS 4096

/// Writes the length of an array, or reads it and resizes the array.
static void
code_length(struct codec *m, GArray *array)
{
	uint32_t n = array->len;

	codec_u32(m, &n);
	if (codec_is_writer(m))
		return;
	if (n > MAX_ITEMS) {
		codec_fail(m);
		n = 0;
	}
	g_array_set_size(array, n);
}

static void
code_part(struct codec *m, struct crashlog_part *part)
{
	codec_str(m, part->service, sizeof(part->service));
	codec_u64(m, &part->id);
}

static void
code_timed_parts(struct codec *m, GArray *parts)
{
	code_length(m, parts);
	for (guint i = 0; i < parts->len; i++) {
		struct partmsg_timed *p =
		    &g_array_index(parts, struct partmsg_timed, i);

		code_part(m, &p->part);
		codec_u64(m, &p->time_us);
	}
}

static void
code_crash(struct codec *m, struct partmsg_crash *c)
{
	codec_str(m, c->server, sizeof(c->server));
	codec_str(m, c->service, sizeof(c->service));
	codec_u64(m, &c->age_us);
	code_length(m, c->in_flight);
	for (guint i = 0; i < c->in_flight->len; i++) {
		struct crashlog_in_flight *p =
		    &g_array_index(c->in_flight, struct crashlog_in_flight, i);

		codec_u64(m, &p->id);
		codec_u32(m, &p->position);
	}
}

static void
code_state(struct codec *m, struct partmsg_state *s)
{
	codec_u64(m, &s->blocked_revision);
	code_timed_parts(m, s->blocked);
	codec_u64(m, &s->question);
	code_length(m, s->suspects);
	for (guint i = 0; i < s->suspects->len; i++)
		code_part(
		    m, &g_array_index(s->suspects, struct crashlog_part, i));
}

static void
code_answer(struct codec *m, struct partmsg_answer *a)
{
	codec_u64(m, &a->blocked_revision);
	codec_u64(m, &a->question);
	code_timed_parts(m, a->answered);
	code_timed_parts(m, a->services);
}

/// Ends decoding.
static enum status
decoded(struct codec *m, const char *what)
{
	const bool complete = codec_at_end(m);

	codec_free(m);
	return complete
	    ? STATUS_OK
	    : status_fail(STATUS_CORRUPT, "%s can't be decoded", what);
}

/// Makes an empty crash report, to be released with partmsg_crash_clear().
void
partmsg_crash_init(struct partmsg_crash *c)
{
	*c = (struct partmsg_crash){
		.in_flight =
		    g_array_new(FALSE, TRUE, sizeof(struct crashlog_in_flight)),
	};
}

/// Releases a crash report's array.
void
partmsg_crash_clear(struct partmsg_crash *c)
{
	g_array_unref(c->in_flight);
}

/// Encodes a crash report.
///
/// @param bytes  gets the message, to be released with free()
void
partmsg_crash_encode(
    const struct partmsg_crash *c, uint8_t **bytes, size_t *len)
{
	struct partmsg_crash copy = *c;
	struct codec *m = codec_writer();

	code_crash(m, &copy);
	codec_take(m, bytes, len);
}

/// Decodes a crash report into one made by partmsg_crash_init().
///
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
partmsg_crash_decode(
    const uint8_t *bytes, size_t len, struct partmsg_crash *out)
{
	struct codec *m = codec_reader(bytes, len);

	code_crash(m, out);
	return decoded(m, "crash report");
}

/// Makes an empty state, to be released with partmsg_state_clear().
void
partmsg_state_init(struct partmsg_state *s)
{
	*s = (struct partmsg_state){
		.blocked =
		    g_array_new(FALSE, TRUE, sizeof(struct partmsg_timed)),
		.suspects =
		    g_array_new(FALSE, TRUE, sizeof(struct crashlog_part)),
	};
}

/// Releases a state's arrays.
void
partmsg_state_clear(struct partmsg_state *s)
{
	g_array_unref(s->blocked);
	g_array_unref(s->suspects);
}

/// Encodes a state.
///
/// @param bytes  gets the message, to be released with free()
void
partmsg_state_encode(
    const struct partmsg_state *s, uint8_t **bytes, size_t *len)
{
	struct partmsg_state copy = *s;
	struct codec *m = codec_writer();

	code_state(m, &copy);
	codec_take(m, bytes, len);
}

/// Decodes a state into one made by partmsg_state_init().
///
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
partmsg_state_decode(
    const uint8_t *bytes, size_t len, struct partmsg_state *out)
{
	struct codec *m = codec_reader(bytes, len);

	code_state(m, out);
	return decoded(m, "state of prompt parts");
}

/// Makes an empty answer, to be released with partmsg_answer_clear().
void
partmsg_answer_init(struct partmsg_answer *a)
{
	*a = (struct partmsg_answer){
		.answered =
		    g_array_new(FALSE, TRUE, sizeof(struct partmsg_timed)),
		.services =
		    g_array_new(FALSE, TRUE, sizeof(struct partmsg_timed)),
	};
}

/// Releases an answer's arrays.
void
partmsg_answer_clear(struct partmsg_answer *a)
{
	g_array_unref(a->answered);
	g_array_unref(a->services);
}

/// Encodes an answer.
///
/// @param bytes  gets the message, to be released with free()
void
partmsg_answer_encode(
    const struct partmsg_answer *a, uint8_t **bytes, size_t *len)
{
	struct partmsg_answer copy = *a;
	struct codec *m = codec_writer();

	code_answer(m, &copy);
	codec_take(m, bytes, len);
}

/// Decodes an answer into one made by partmsg_answer_init().
///
/// @return STATUS_CORRUPT when the bytes are malformed
enum status
partmsg_answer_decode(
    const uint8_t *bytes, size_t len, struct partmsg_answer *out)
{
	struct codec *m = codec_reader(bytes, len);

	code_answer(m, out);
	return decoded(m, "answer on prompt parts");
}
