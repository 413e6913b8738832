#include "base/hostport.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

/// Parses an IP address and a port, as in "1.2.3.4:80" or "[::1]:80".
///
/// @param host  receives the address without brackets
/// @param size  bytes of `host`
/// @param port  receives the port, 1 to 65535; unchanged on failure
/// @return false when the text has another form, or the address doesn't fit
///         into `host`; the content of `host` is undefined then
bool
hostport_split(const char *text, char *host, size_t size, uint16_t *port)
{
	const bool is_ipv6 = text[0] == '[';
	const char *colon = is_ipv6 ? strstr(text, "]:") : strchr(text, ':');
	uint8_t address[sizeof(struct in6_addr)];
	guint64 port_number;
	size_t len;

	if (colon == NULL)
		return false;
	len = (size_t)(colon - text) - (is_ipv6 ? 1 : 0);
	if (len >= size)
		return false;
	memcpy(host, text + (is_ipv6 ? 1 : 0), len);
	host[len] = '\0';
	if (inet_pton(is_ipv6 ? AF_INET6 : AF_INET, host, address) != 1)
		return false;
	if (!g_ascii_string_to_unsigned(colon + (is_ipv6 ? 2 : 1), 10, 1,
		UINT16_MAX, &port_number, NULL))
		return false;
	*port = (uint16_t)port_number;
	return true;
}
