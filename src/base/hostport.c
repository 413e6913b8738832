#include "base/hostport.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

/// Splits an IP number and a port, as "1.2.3.4:80" or "[::1]:80".
///
/// @param host  receives the number without brackets
/// @param size  bytes of host
/// @return false when the text is anything else; host may hold a part then
bool
hostport_split(const char *text, char *host, size_t size, uint16_t *port)
{
	const bool six = text[0] == '[';
	const char *colon = six ? strstr(text, "]:") : strchr(text, ':');
	uint8_t address[sizeof(struct in6_addr)];
	guint64 number;
	size_t len;

	if (colon == NULL)
		return false;
	len = (size_t)(colon - text) - (six ? 1 : 0);
	if (len >= size)
		return false;
	memcpy(host, text + (six ? 1 : 0), len);
	host[len] = '\0';
	if (inet_pton(six ? AF_INET6 : AF_INET, host, address) != 1)
		return false;
	if (!g_ascii_string_to_unsigned(
		colon + (six ? 2 : 1), 10, 1, UINT16_MAX, &number, NULL))
		return false;
	*port = (uint16_t)number;
	return true;
}
