#ifndef LOAD_BALANCE_H
#define LOAD_BALANCE_H

#include "back/httpc.h"
#include "load/run.h"

/// Stands in for the platform's load balancer: distributes requests over the
/// entries whose health check returns 200.
struct loadgen_balance;

struct loadgen_balance *loadgen_balance_new(struct event_base *base,
    struct httpc *client, const struct loadgen_run_settings *settings);
void loadgen_balance_free(struct loadgen_balance *b);
const struct loadgen_address *loadgen_balance_next(struct loadgen_balance *b);

#endif
