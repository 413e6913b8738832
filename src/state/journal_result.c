#include "state/journal_codec.h"
#include "state/journal_result.h"
#include "codec/codec.h"

#include <string.h>

static void
code_view(struct codec *m, struct journal_result_view *v)
{
	codec_enum(m, &v->status, JOURNAL_NOT_FOUND + 1);
	codec_str(m, v->message, sizeof(v->message));
	codec_bool(m, &v->has_record);
	if (v->has_record)
		journal_codec_record(m, &v->record);
}

/// Encodes a result with its record.
///
/// @param bytes  receives the bytes; release with free()
void
journal_result_encode(
    const struct journal_result *result, uint8_t **bytes, size_t *len)
{
	struct codec *m = codec_writer();
	struct journal_result_view v;

	memset(&v, 0, sizeof(v));
	v.status = result->status;
	if (result->message != NULL)
		strncpy(v.message, result->message, sizeof(v.message) - 1);
	v.has_record = result->record != NULL;
	if (v.has_record)
		v.record = *result->record;
	code_view(m, &v);
	codec_take(m, bytes, len);
}

/// Decodes a result.
///
/// @param bytes  must outlive `out`, whose record points into them
/// @return STATUS_OK or STATUS_CORRUPT
enum status
journal_result_decode(
    const uint8_t *bytes, size_t len, struct journal_result_view *out)
{
	struct codec *m = codec_reader(bytes, len);
	bool good;

	memset(out, 0, sizeof(*out));
	code_view(m, out);
	good = codec_at_end(m);
	codec_free(m);
	if (!good)
		return status_fail(STATUS_CORRUPT, "journal result is damaged");
	return STATUS_OK;
}
