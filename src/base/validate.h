#ifndef BASE_VALIDATE_H
#define BASE_VALIDATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Whether bytes are one msgpack value of the types that are sent between
/// processes (numbers, booleans, strings, bytes, arrays), and no size that
/// it claims is more than the bytes that follow. The library would allocate
/// whatever is claimed.
bool validate_msgpack(const uint8_t *bytes, size_t len);

#endif
