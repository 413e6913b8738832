#ifndef FLEET_SERVERSPEED_H
#define FLEET_SERVERSPEED_H

#include <stdbool.h>
#include <stdint.h>

/// The usual pace of each server: how long work takes there, in percent of the
/// usual time of its service, from the samples of all gateways. A core without
/// I/O. A slow moment in fewer than half of a server's samples doesn't move its
/// figure, and small differences don't change it.

struct serverspeed;

struct serverspeed *serverspeed_new(void);
void serverspeed_free(struct serverspeed *s);
void serverspeed_add(
    struct serverspeed *s, const char *server, uint32_t pace_percent);
void serverspeed_set(
    struct serverspeed *s, const char *server, uint32_t pace_percent);
uint32_t serverspeed_get(const struct serverspeed *s, const char *server);
void serverspeed_retain(struct serverspeed *s,
    bool (*is_listed)(void *arg, const char *server), void *arg);

#endif
