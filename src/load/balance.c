#include "load/balance.h"

#include <assert.h>
#include <event2/event.h>
#include <glib.h>

#define CHECK_INTERVAL_US 100000
#define CHECK_TIMEOUT_US 1000000

/// Health check of one target.
struct target_check {
	const struct loadgen_address *address;
	struct httpc *client;
	bool healthy;
	bool in_flight;
};

struct loadgen_balance {
	uint32_t n;
	uint32_t next_target;
	struct target_check checks[LOADGEN_MAX_TARGETS];
	struct event *timer;
};

static void
on_check_end(void *arg, const struct httpc_result *result)
{
	struct target_check *c = arg;

	c->in_flight = false;
	c->healthy = result->http_status == 200;
}

static void
send_check(struct target_check *c)
{
	const struct httpc_request call = {
		.method = "GET",
		.host = c->address->host,
		.port = c->address->port,
		.path = "/healthz",
		.timeout_us = CHECK_TIMEOUT_US,
		.on_end = on_check_end,
		.arg = c,
	};

	if (c->in_flight)
		return;
	c->in_flight = true;
	if (httpc_send(c->client, &call) != HANDLE_NONE)
		return;
	c->in_flight = false;
	c->healthy = false;
}

static void
on_check_timer(evutil_socket_t fd, short what, void *arg)
{
	struct loadgen_balance *b = arg;

	(void)fd;
	(void)what;
	for (uint32_t i = 0; i < b->n; i++)
		send_check(&b->checks[i]);
}

/// Creates a balancer and starts its health checks. All targets count as
/// healthy until their first check has ended.
///
/// @param settings  whose targets must outlive the balancer
struct loadgen_balance *
loadgen_balance_new(struct event_base *base, struct httpc *client,
    const struct loadgen_run_settings *settings)
{
	const struct timeval interval = { .tv_usec = CHECK_INTERVAL_US };
	struct loadgen_balance *b = g_new0(struct loadgen_balance, 1);

	b->n = settings->n_targets;
	for (uint32_t i = 0; i < b->n; i++)
		b->checks[i] = (struct target_check){
			.address = &settings->targets[i],
			.client = client,
			.healthy = true,
		};
	b->timer = event_new(base, -1, EV_PERSIST, on_check_timer, b);
	(void)event_add(b->timer, &interval);
	return b;
}

/// Frees a balancer.
void
loadgen_balance_free(struct loadgen_balance *b)
{
	event_free(b->timer);
	g_free(b);
}

/// Returns the target of the next request: the healthy ones in turn, or all in
/// turn when none is healthy. The balancer's settings own the address.
const struct loadgen_address *
loadgen_balance_next(struct loadgen_balance *b)
{
	const struct target_check *c;

	assert(b->n > 0);
	for (uint32_t i = 0; i < b->n; i++) {
		c = &b->checks[b->next_target++ % b->n];
		if (c->healthy)
			return c->address;
	}
	return b->checks[b->next_target++ % b->n].address;
}
