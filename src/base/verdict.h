#ifndef BASE_VERDICT_H
#define BASE_VERDICT_H

#include <stdbool.h>

/// Whether a request may have run at a backend server.
enum verdict {
	VERDICT_NOT_RUN, ///< It did not run and nobody can run it any more.
	VERDICT_MAY_HAVE_RUN, ///< Its outcome is unknown.
	VERDICT_RAN,          ///< It ran and its outcome is known.
};

const char *verdict_name(enum verdict v);
enum verdict verdict_merge(enum verdict a, enum verdict b);
bool verdict_may_retry(enum verdict v, bool idempotent);

#endif
