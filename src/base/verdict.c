#include "base/verdict.h"

/// Returns the text of a verdict for responses to callers.
const char *
verdict_name(enum verdict verdict)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		return "not run";
	case VERDICT_MAY_HAVE_RUN:
		return "may have run";
	case VERDICT_RAN:
		return "ran";
	}
	return "may have run";
}

/// Combines the verdicts of two attempts of the same request.
///
/// @return the more cautious verdict: ran over may have run over not run
enum verdict
verdict_merge(enum verdict a, enum verdict b)
{
	if (a == VERDICT_RAN || b == VERDICT_RAN)
		return VERDICT_RAN;
	if (a == VERDICT_MAY_HAVE_RUN || b == VERDICT_MAY_HAVE_RUN)
		return VERDICT_MAY_HAVE_RUN;
	return VERDICT_NOT_RUN;
}

/// Whether a request may be attempted again after this verdict.
bool
verdict_may_retry(enum verdict verdict, bool idempotent)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		return true;
	case VERDICT_MAY_HAVE_RUN:
		return idempotent;
	case VERDICT_RAN:
		return false;
	}
	return false;
}
