#ifndef PLACEMENT_WEIGHTS_H
#define PLACEMENT_WEIGHTS_H

#include "placement/placement.h"

void weights_step(const struct placement_settings *settings, uint64_t now_us,
    const struct placement_inputs *in, placement_effect_cb cb, void *arg);

#endif
