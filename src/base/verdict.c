#include "base/verdict.h"

/// Text of a verdict as callers read it.
const char *
verdict_name(enum verdict v)
{
	switch (v) {
	case VERDICT_NOT_RUN:
		return "not run";
	case VERDICT_MAY_HAVE_RUN:
		return "may have run";
	case VERDICT_RAN:
		return "ran";
	}
	return "may have run";
}

/// Verdict over two attempts of the same request.
///
/// @return the verdict that promises less to the caller
enum verdict
verdict_merge(enum verdict a, enum verdict b)
{
	if (a == VERDICT_RAN || b == VERDICT_RAN)
		return VERDICT_RAN;
	if (a == VERDICT_MAY_HAVE_RUN || b == VERDICT_MAY_HAVE_RUN)
		return VERDICT_MAY_HAVE_RUN;
	return VERDICT_NOT_RUN;
}

/// Whether another attempt is allowed after this verdict.
bool
verdict_may_retry(enum verdict v, bool idempotent)
{
	switch (v) {
	case VERDICT_NOT_RUN:
		return true;
	case VERDICT_MAY_HAVE_RUN:
		return idempotent;
	case VERDICT_RAN:
		return false;
	}
	return false;
}
