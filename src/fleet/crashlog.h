#ifndef FLEET_CRASHLOG_H
#define FLEET_CRASHLOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/fleetcfg.h"

/// Evidence of parts of prompts that crash servers, without I/O. A crash is
/// known with the parts of all prompts that were in flight at the server. A
/// part is suspected for each crash since a prompt with it was last answered
/// completely, by any server: one that is to blame never is. While a service
/// answers no prompt at all, that says nothing of a single part.

struct crashlog;

/// A part of the prompts of a service.
struct crashlog_part {
	char service[FLEETCFG_NAME_BYTES];
	uint64_t id;
};

/// A part of a prompt that was in flight at a server when it crashed.
struct crashlog_in_flight {
	uint64_t id;
	uint32_t position; ///< in the prompt, from 0
};

struct crashlog_suspect {
	struct crashlog_part part;
	uint32_t position;    ///< in the newest of its prompts
	uint32_t n_crashes;   ///< that it is suspected for
	uint32_t n_separate;  ///< of these, those that came apart in time
	bool service_answers; ///< the service has answered other prompts since
			      ///< the first of these crashes
	uint64_t answered_us; ///< a prompt with it was last answered completely
			      ///< then; 0: never, as far as is known
};

struct crashlog *crashlog_new(void);
void crashlog_free(struct crashlog *c);
void crashlog_reset(struct crashlog *c);
void crashlog_add(struct crashlog *c, uint64_t at_us, const char *server,
    const char *service, const GArray *in_flight);
void crashlog_on_answered(
    struct crashlog *c, const struct crashlog_part *part, uint64_t at_us);
void crashlog_on_service_answered(
    struct crashlog *c, const char *service, uint64_t at_us);
void crashlog_explain(struct crashlog *c, const struct crashlog_part *part);
size_t crashlog_count(const struct crashlog *c);
GArray *crashlog_suspects(const struct crashlog *c, uint32_t min_separate);

#endif
