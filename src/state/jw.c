#include "state/jr_code.h"
#include "state/jw.h"
#include "codec/mp.h"

#include <string.h>

static void
code_view(struct mp *m, struct jw_view *v)
{
	mp_enum(m, &v->outcome, JR_UNKNOWN + 1);
	mp_str(m, v->message, sizeof(v->message));
	mp_bool(m, &v->has_record);
	if (v->has_record)
		jr_code_record(m, &v->record);
}

/// Encodes a result with its record.
///
/// @param bytes  receives the bytes, to be freed
void
jw_encode(const struct jr_result *result, uint8_t **bytes, size_t *len)
{
	struct mp *m = mp_writer();
	struct jw_view v;

	memset(&v, 0, sizeof(v));
	v.outcome = result->outcome;
	if (result->message != NULL)
		strncpy(v.message, result->message, sizeof(v.message) - 1);
	v.has_record = result->record != NULL;
	if (v.has_record)
		v.record = *result->record;
	code_view(m, &v);
	mp_take(m, bytes, len);
}

/// Decodes a result.
///
/// @param bytes  must outlive `out`
/// @return ST_OK or ST_CORRUPT
enum st
jw_decode(const uint8_t *bytes, size_t len, struct jw_view *out)
{
	struct mp *m = mp_reader(bytes, len);
	bool good;

	memset(out, 0, sizeof(*out));
	code_view(m, out);
	good = mp_end(m);
	mp_free(m);
	if (!good)
		return st_fail(ST_CORRUPT, "journal result: bad bytes");
	return ST_OK;
}
