#include "base/fl.h"

#include <glib.h>

/// Reads a file.
///
/// @param text  to be released with g_free(); a zero byte follows it
/// @param len   may be NULL
/// @return ST_OK or ST_IO, which st_last() explains
enum st
fl_read(const char *file, char **text, size_t *len)
{
	GError *error = NULL;
	enum st st;

	if (g_file_get_contents(file, text, len, &error))
		return ST_OK;
	st = st_fail(ST_IO, "%s", error->message);
	g_error_free(error);
	return st;
}
