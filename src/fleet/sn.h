#ifndef FLEET_SN_H
#define FLEET_SN_H

#include <stdint.h>

/// How many backend servers a service needs, found from how late its answers
/// are: a core without I/O.

struct sn {
	double need;         ///< servers; 0: not known yet
	double slow;         ///< smoothed share of late answers
	uint64_t stepped_us; ///< when `need` was changed last
	uint64_t last_us;
};

/// What happened since the last step.
struct sn_sample {
	uint32_t answered; ///< first answers, and refusals for want of places
	uint32_t slow;     ///< of these, those that took too long
	uint32_t servers;  ///< that take work now
};

void sn_start(struct sn *s, uint64_t now_us, double need);
void sn_step(struct sn *s, uint64_t now_us, const struct sn_sample *sample);

#endif
