#ifndef CODEC_MP_H
#define CODEC_MP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// A flat sequence of msgpack values, written or read by the same calls, so
/// that the two directions of a record can't differ. A reader that met a
/// value that doesn't fit is bad for good and yields zeroes.
struct mp;

struct mp *mp_writer(void);
struct mp *mp_reader(const uint8_t *bytes, size_t len);
void mp_free(struct mp *m);
void mp_take(struct mp *m, uint8_t **bytes, size_t *len);
bool mp_writing(const struct mp *m);
void mp_fail(struct mp *m);
bool mp_bad(const struct mp *m);
bool mp_end(const struct mp *m);

void mp_u64(struct mp *m, uint64_t *value);
void mp_u32(struct mp *m, uint32_t *value);
void mp_u16(struct mp *m, uint16_t *value);
void mp_bool(struct mp *m, bool *value);
void mp_int(struct mp *m, int *value);
void mp_enum(struct mp *m, void *value, unsigned limit);
void mp_str(struct mp *m, char *text, size_t size);
void mp_bytes(struct mp *m, const uint8_t **bytes, size_t *len);

#endif
