#ifndef FLEET_SN_H
#define FLEET_SN_H

#include <stdbool.h>
#include <stdint.h>

/// How many backend servers a service needs, from the work that arrives and
/// from how fast servers do it: a core without I/O.

struct sn {
	double need;       ///< servers; 0: not known yet
	double fast;       ///< servers kept busy, over the last seconds
	double slow;       ///< the same over a longer time
	uint64_t start_us; ///< 0: no sample yet
	uint64_t last_us;
};

/// What arrived since the last step.
struct sn_sample {
	double tokens;           ///< of prompts, to be computed
	double tokens_per_s;     ///< that one server computes; 0: not known
	double busy_s;           ///< seconds that requests spent at servers
	double requests_at_once; ///< that one server works on
};

void sn_start(struct sn *s, double need);
bool sn_saw_work(const struct sn *s);
void sn_step(struct sn *s, uint64_t now_us, const struct sn_sample *sample);

#endif
