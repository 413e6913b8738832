#ifndef HUB_HB_H
#define HUB_HB_H

#include "conf/bootstrap.h"
#include "loop/loop.h"

/// A process of control in a deployment that finds itself by seeds: it keeps
/// the replicated state, tells gateways what is in force, and its leader does
/// the duties.
struct hb;

enum status hb_start(struct loop *loop,
    const struct bootstrap_settings *settings, struct hb **out);
void hb_stop(struct hb *h);
void hb_reload(struct hb *h, const struct bootstrap_settings *settings);
void hb_free(struct hb *h);

#endif
