#ifndef BASE_VERDICT_H
#define BASE_VERDICT_H

#include <stdbool.h>

/// What is known about the execution of a request at backend servers.
enum verdict {
	VERDICT_NOT_RUN,      ///< It did not run and can't run later.
	VERDICT_MAY_HAVE_RUN, ///< Its outcome is unknown.
	VERDICT_RAN,          ///< It ran and its outcome is known.
};

const char *verdict_name(enum verdict verdict);
enum verdict verdict_merge(enum verdict a, enum verdict b);
bool verdict_may_retry(enum verdict verdict, bool idempotent);

#endif
