#ifndef CODEC_CODEC_H
#define CODEC_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Writer or reader of a flat sequence of msgpack values. The same calls write
/// and read, so that a record's encoder and decoder can't differ. A reader that
/// meets an invalid value has failed: every later read yields zero or empty.
struct codec;

struct codec *codec_writer(void);
struct codec *codec_reader(const uint8_t *bytes, size_t len);
void codec_free(struct codec *c);
void codec_take(struct codec *c, uint8_t **bytes, size_t *len);
bool codec_is_writer(const struct codec *c);
void codec_fail(struct codec *c);
bool codec_failed(const struct codec *c);
bool codec_at_end(const struct codec *c);

void codec_u64(struct codec *c, uint64_t *value);
void codec_u32(struct codec *c, uint32_t *value);
void codec_u16(struct codec *c, uint16_t *value);
void codec_bool(struct codec *c, bool *value);
void codec_int(struct codec *c, int *value);
void codec_enum(struct codec *c, void *value, unsigned limit);
void codec_str(struct codec *c, char *text, size_t size);
void codec_bytes(struct codec *c, const uint8_t **bytes, size_t *len);

#endif
