#ifndef CODEC_CODEC_H
#define CODEC_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// A flat sequence of msgpack values, written or read by the same calls, so
/// that the two directions of a record can't differ. A reader that met a
/// value that doesn't fit is bad for good and yields zeroes.
struct codec;

struct codec *codec_writer(void);
struct codec *codec_reader(const uint8_t *bytes, size_t len);
void codec_free(struct codec *m);
void codec_take(struct codec *m, uint8_t **bytes, size_t *len);
bool codec_is_writer(const struct codec *m);
void codec_fail(struct codec *m);
bool codec_failed(const struct codec *m);
bool codec_at_end(const struct codec *m);

void codec_u64(struct codec *m, uint64_t *value);
void codec_u32(struct codec *m, uint32_t *value);
void codec_u16(struct codec *m, uint16_t *value);
void codec_bool(struct codec *m, bool *value);
void codec_int(struct codec *m, int *value);
void codec_enum(struct codec *m, void *value, unsigned limit);
void codec_str(struct codec *m, char *text, size_t size);
void codec_bytes(struct codec *m, const uint8_t **bytes, size_t *len);

#endif
