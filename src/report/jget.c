#include "report/jget.h"

/// A number; an integer will do as well.
double
jget_number(const json_t *o, const char *key)
{
	return json_number_value(json_object_get(o, key));
}

/// An integer.
long long
jget_integer(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

/// A string.
const char *
jget_string(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s == NULL ? "" : s;
}
