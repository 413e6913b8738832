#ifndef COMMON_PORTS_H
#define COMMON_PORTS_H

#include <stdint.h>

/// Returns a loopback port on which nothing listens, a different one each time.
/// The first depends on the process id, so that parallel tests don't collide.
uint16_t ports_take(void);

#endif
