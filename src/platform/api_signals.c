#include "platform/api_signals.h"

#include <glib.h>
#include <string.h>

#include "platform/api_names.h"

#define US_PER_S 1e6
/// Larger figures are taken for errors: a server's requests per second, the
/// seconds of a pause, and refusals in a second.
#define MAX_LIMIT_PER_S 1e6
#define MAX_RETRY_AFTER_S 3600.0
#define MAX_REFUSALS 1e6

static const char *const signal_names[API_N_SIGNALS] = {
	[API_SIGNAL_LIMIT] = API_HDR_SERVER_LIMIT,
	[API_SIGNAL_LEAVING] = API_HDR_SERVER_LEAVING,
	[API_SIGNAL_RETRY_AFTER] = "Retry-After",
	[API_SIGNAL_BRITTLE] = API_HDR_SERVER_BRITTLE,
};

/// Returns the name of the header that carries a signal.
const char *
api_signal_name(enum api_signal signal)
{
	return signal_names[signal];
}

/// Reads a decimal number: digits, and a fraction if it has a point. Exponents,
/// signs and names of numbers, which strtod() takes, aren't allowed.
static bool
read_decimal(const char *text, double max, double *out)
{
	const size_t whole = strspn(text, "0123456789");
	const char *rest = text + whole;

	if (whole == 0)
		return false;
	if (*rest == '.') {
		const size_t fraction = strspn(rest + 1, "0123456789");

		if (fraction == 0)
			return false;
		rest += 1 + fraction;
	}
	if (*rest != '\0')
		return false;
	*out = g_ascii_strtod(text, NULL);
	return *out <= max;
}

static bool
read_value(struct api_signals *s, enum api_signal signal, const char *value)
{
	double seconds;
	double refusals;

	switch (signal) {
	case API_SIGNAL_LIMIT:
		return read_decimal(value, MAX_LIMIT_PER_S, &s->limit_per_s);
	case API_SIGNAL_LEAVING:
		s->leaving = strcmp(value, "1") == 0;
		return s->leaving || strcmp(value, "0") == 0;
	case API_SIGNAL_RETRY_AFTER:
		if (!read_decimal(value, MAX_RETRY_AFTER_S, &seconds))
			return false;
		s->retry_after_us = (uint64_t)(seconds * US_PER_S);
		return true;
	case API_SIGNAL_BRITTLE:
		if (!read_decimal(value, MAX_REFUSALS, &refusals))
			return false;
		s->max_refusals = (uint32_t)refusals;
		return true;
	case API_N_SIGNALS:
		break;
	}
	return false;
}

/// Resets a signal that can't be used to its absence.
static void
reject(struct api_signals *s, enum api_signal signal)
{
	s->malformed[signal] = true;
	s->given[signal] = false;
	if (signal == API_SIGNAL_LIMIT)
		s->limit_per_s = 0;
	if (signal == API_SIGNAL_LEAVING)
		s->leaving = false;
	if (signal == API_SIGNAL_RETRY_AFTER)
		s->retry_after_us = 0;
	if (signal == API_SIGNAL_BRITTLE)
		s->max_refusals = 0;
}

/// Reads one header of a response; to be called for each of them.
///
/// @param s  zeroed before the first header
/// @return whether the header carries a signal
bool
api_signals_read(struct api_signals *s, const char *name, const char *value)
{
	for (int i = 0; i < API_N_SIGNALS; i++) {
		if (g_ascii_strcasecmp(name, signal_names[i]) != 0)
			continue;
		if (s->given[i] || s->malformed[i] ||
		    !read_value(s, (enum api_signal)i, value))
			reject(s, (enum api_signal)i);
		else
			s->given[i] = true;
		return true;
	}
	return false;
}
