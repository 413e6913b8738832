#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include <stddef.h>

enum logger_level {
	LOGGER_ERROR,
	LOGGER_WARN,
	LOGGER_INFO,
	LOGGER_DEBUG,
};

void logger_init(const char *node, enum logger_level level);
void logger_set_level(enum logger_level level);
int logger_level_parse(const char *name, enum logger_level *out);
void logger_event(enum logger_level level, const char *event, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));
const char *logger_quote(char *buf, size_t size, const char *text);

#endif
