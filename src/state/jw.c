#include "state/jr_code.h"
#include "state/jw.h"
#include "codec/codec.h"

#include <string.h>

static void
code_view(struct codec *m, struct jw_view *v)
{
	codec_enum(m, &v->outcome, JR_UNKNOWN + 1);
	codec_str(m, v->message, sizeof(v->message));
	codec_bool(m, &v->has_record);
	if (v->has_record)
		jr_code_record(m, &v->record);
}

/// Encodes a result with its record.
///
/// @param bytes  receives the bytes, to be freed
void
jw_encode(const struct jr_result *result, uint8_t **bytes, size_t *len)
{
	struct codec *m = codec_writer();
	struct jw_view v;

	memset(&v, 0, sizeof(v));
	v.outcome = result->outcome;
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
/// @param bytes  must outlive `out`
/// @return STATUS_OK or STATUS_CORRUPT
enum status
jw_decode(const uint8_t *bytes, size_t len, struct jw_view *out)
{
	struct codec *m = codec_reader(bytes, len);
	bool good;

	memset(out, 0, sizeof(*out));
	code_view(m, out);
	good = codec_at_end(m);
	codec_free(m);
	if (!good)
		return status_fail(STATUS_CORRUPT, "journal result: bad bytes");
	return STATUS_OK;
}
