#include "base/fileio.h"

#include <glib.h>

/// Reads a whole file into memory.
///
/// @param text  receives the content and a terminating zero byte, to be
///              released with g_free(); NULL on failure
/// @param len   receives its bytes without the terminating zero; may be NULL
/// @return STATUS_OK, or STATUS_IO with the reason in status_last()
enum status
fileio_read(const char *file, char **text, size_t *len)
{
	GError *error = NULL;
	enum status status;

	if (g_file_get_contents(file, text, len, &error))
		return STATUS_OK;
	status = status_fail(STATUS_IO, "%s", error->message);
	g_error_free(error);
	return status;
}
