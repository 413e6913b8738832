#include "report/jget.h"

/// A real number or an integer.
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

/// A string, owned by the object.
const char *
jget_string(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s == NULL ? "" : s;
}
