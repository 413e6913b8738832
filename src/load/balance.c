#include "load/balance.h"

#include <assert.h>
#include <event2/event.h>
#include <glib.h>

#define CHECK_US 100000
#define CHECK_TIMEOUT_US 1000000

struct check {
	const struct loadgen_address *address;
	struct httpc *client;
	bool healthy;
	bool asked;
};

struct loadgen_balance {
	uint32_t n;
	uint32_t at;
	struct check checks[LOADGEN_MAX_TARGETS];
	struct event *timer;
};

static void
on_checked(void *arg, const struct httpc_result *result)
{
	struct check *c = arg;

	c->asked = false;
	c->healthy = result->http_status == 200;
}

static void
check_one(struct check *c)
{
	const struct httpc_request call = {
		.method = "GET",
		.host = c->address->host,
		.port = c->address->port,
		.path = "/healthz",
		.timeout_us = CHECK_TIMEOUT_US,
		.on_end = on_checked,
		.arg = c,
	};

	if (c->asked)
		return;
	c->asked = true;
	if (httpc_send(c->client, &call) != HANDLE_NONE)
		return;
	c->asked = false;
	c->healthy = false;
}

static void
on_time(evutil_socket_t fd, short what, void *arg)
{
	struct loadgen_balance *b = arg;

	(void)fd;
	(void)what;
	for (uint32_t i = 0; i < b->n; i++)
		check_one(&b->checks[i]);
}

/// Makes a balancer; all targets count as healthy at first.
struct loadgen_balance *
loadgen_balance_new(struct event_base *base, struct httpc *client,
    const struct loadgen_run_settings *settings)
{
	const struct timeval every = { .tv_usec = CHECK_US };
	struct loadgen_balance *b = g_new0(struct loadgen_balance, 1);

	b->n = settings->n_targets;
	for (uint32_t i = 0; i < b->n; i++)
		b->checks[i] = (struct check){
			.address = &settings->targets[i],
			.client = client,
			.healthy = true,
		};
	b->timer = event_new(base, -1, EV_PERSIST, on_time, b);
	(void)event_add(b->timer, &every);
	return b;
}

/// Releases a balancer.
void
loadgen_balance_free(struct loadgen_balance *b)
{
	event_free(b->timer);
	g_free(b);
}

/// The target of the next request: the healthy ones in turn, or any when
/// none is healthy.
const struct loadgen_address *
loadgen_balance_next(struct loadgen_balance *b)
{
	const struct check *c;

	assert(b->n > 0);
	for (uint32_t i = 0; i < b->n; i++) {
		c = &b->checks[b->at++ % b->n];
		if (c->healthy)
			return c->address;
	}
	return b->checks[b->at++ % b->n].address;
}
