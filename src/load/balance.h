#ifndef LOAD_BALANCE_H
#define LOAD_BALANCE_H

#include "back/httpc.h"
#include "load/run.h"

/// The platform's balancer: it spreads requests over the entries whose
/// health check answers 200.
struct ld_balance;

struct ld_balance *ld_balance_new(struct event_base *base, struct httpc *client,
    const struct ld_run_settings *settings);
void ld_balance_free(struct ld_balance *b);
const struct ld_address *ld_balance_next(struct ld_balance *b);

#endif
