#include "gateway/gateway_internal.h"

#include <inttypes.h>

/// Writes the ids of the parts of a request's prompt that other requests may
/// share, which are all but the last one: hexadecimal, separated by commas; "-"
/// if there are none.
void
gateway_parts_text(const struct gateway_request *q, char *out, size_t size)
{
	size_t len = 0;

	(void)g_strlcpy(out, "-", size);
	for (uint32_t i = 0; i + 1 < q->call.n_parts && len < size; i++)
		len += (size_t)g_snprintf(out + len, size - len, "%s%" PRIx64,
		    i > 0 ? "," : "", q->call.parts[i].id);
}
