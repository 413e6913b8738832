#ifndef FLEET_SERVERMSG_H
#define FLEET_SERVERMSG_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// Compact form of the servers of a list or of its changes: texts that repeat
/// are sent once, and addresses as numbers. The longer form is that of
/// hubmsg_servers_encode(), for processes that can't read this one.

void servermsg_encode(const GArray *servers, uint8_t **bytes, size_t *len);
enum status servermsg_decode(const uint8_t *bytes, size_t len, GArray *servers);

#endif
