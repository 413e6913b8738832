#include "back/httpc.h"

#include <jansson.h>

/// Parses the JSON response of a call that ended with status 200.
///
/// @return to be released with json_decref(); NULL for any other status, a
///         failed call or invalid JSON
json_t *
httpc_json(const struct httpc_result *result)
{
	if (result->status != STATUS_OK || result->http_status != 200)
		return NULL;
	return json_loadb((const char *)result->body, result->len, 0, NULL);
}
