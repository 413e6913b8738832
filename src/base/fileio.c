#include "base/fileio.h"

#include <glib.h>

/// Reads a file.
///
/// @param text  to be released with g_free(); a zero byte follows it
/// @param len   may be NULL
/// @return STATUS_OK or STATUS_IO, which status_last() explains
enum status
fileio_read(const char *file, char **text, size_t *len)
{
	GError *error = NULL;
	enum status st;

	if (g_file_get_contents(file, text, len, &error))
		return STATUS_OK;
	st = status_fail(STATUS_IO, "%s", error->message);
	g_error_free(error);
	return st;
}
