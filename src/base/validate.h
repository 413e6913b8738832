#ifndef BASE_VALIDATE_H
#define BASE_VALIDATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

bool validate_msgpack(const uint8_t *bytes, size_t len);

#endif
