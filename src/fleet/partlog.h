#ifndef FLEET_PARTLOG_H
#define FLEET_PARTLOG_H

#include <stddef.h>
#include <stdint.h>

/// When prompts with a part were last answered completely, for the parts of
/// recent prompts, without I/O. Keeps at least the newest `capacity` parts and
/// at most twice as many.

struct partlog;

struct partlog *partlog_new(size_t capacity);
void partlog_free(struct partlog *p);
void partlog_record(
    struct partlog *p, const char *service, uint64_t part, uint64_t now_us);
uint64_t partlog_last_us(
    const struct partlog *p, const char *service, uint64_t part);

#endif
