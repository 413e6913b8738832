#include "hub/hub_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/sizing.h"
#include "fleet/autoscale.h"
#include "platform/api_cloud.h"
#include "platform/api_names.h"

#define HUB_ORDER_TIMEOUT_US (1500 * USEC_PER_MSEC)
/// An order is repeated if the list doesn't show its servers after this time.
#define HUB_ORDER_REPEAT_US (8 * USEC_PER_SEC)
/// After the cloud has refused an order for lack of servers, the next one is
/// sent this much later.
#define HUB_UNAVAILABLE_US (3 * USEC_PER_SEC)
/// HTTP status with which the cloud refuses such an order.
#define HUB_CONFLICT 409
/// First estimate of the servers that a service needs, as a share of the
/// on-demand ones that it has. Reclaimable ones don't count: they were ordered
/// by this estimate, which would grow with each order.
#define HUB_INITIAL_NEED_RATIO (2.0 / 3)
/// With no recorded size, a holder watches the list for this long before it
/// acts on the first estimate.
#define HUB_INITIAL_WATCH_US (3 * USEC_PER_SEC)
/// A service without any load for this long gets the servers of the estimate.
#define HUB_IDLE_US (20 * USEC_PER_SEC)
/// The number of needed servers is logged and recorded once it differs by this
/// share from the recorded one.
#define HUB_NEED_CHANGE_RATIO 0.05
#define MILLI 1000

/// The newest order for one service, data centre and kind of server.
struct hub_scale_order {
	struct hub *hub;
	bool spot;
	uint32_t wanted; ///< total number of servers that it asks for
	bool ordered;    ///< this holder has sent an order that didn't fail
	bool in_flight;  ///< the call to the cloud
	uint64_t sent_us;
	uint64_t unavailable_until_us; ///< no order before this
	struct autoscale_reclaim_watch reclaim_watch;
	char service[FLEETCFG_NAME_BYTES];
	char zone[FLEETCFG_NAME_BYTES];
};

/// Logs the result of an order, also of a failed one.
static void
on_ordered(void *arg, const struct httpc_result *result)
{
	struct hub_scale_order *o = arg;
	struct hub *h = o->hub;
	const uint64_t now = loop_now_us(h->loop);

	o->in_flight = false;
	logger_event(LOGGER_INFO, "servers.ordered",
	    "service=%s zone=%s spot=%d n=%u status=%s http=%d", o->service,
	    o->zone, o->spot, o->wanted, status_name(result->status),
	    result->http_status);
	if (result->status == STATUS_OK && result->http_status == 200)
		return;
	if (result->http_status == HUB_CONFLICT)
		o->unavailable_until_us = now + HUB_UNAVAILABLE_US;
	o->ordered = false;
	o->sent_us = now;
}

/// The order for a service, data centre and kind; the first call adds it.
static struct hub_scale_order *
find_or_add_order(
    struct hub *h, const char *service, const char *zone, bool spot)
{
	char *key = g_strdup_printf("%s %s %d", service, zone, spot);
	struct hub_scale_order *o = g_hash_table_lookup(h->scale_orders, key);

	if (o != NULL) {
		g_free(key);
		return o;
	}
	o = g_new0(struct hub_scale_order, 1);
	o->hub = h;
	o->spot = spot;
	(void)g_strlcpy(o->service, service, sizeof(o->service));
	(void)g_strlcpy(o->zone, zone, sizeof(o->zone));
	(void)g_hash_table_insert(h->scale_orders, key, o);
	return o;
}

/// @param n  total number of servers to have, not the number to add
static void
send_order(struct hub *h, struct hub_scale_order *o, uint32_t n)
{
	char *body = api_scale_body(o->service, o->zone, n, o->spot);
	const struct api_duty_call call = {
		.host = h->settings.cloud.host,
		.port = h->settings.cloud.port,
		.path = API_PATH_SCALE,
		.body = body,
		.holder = h->settings.node,
		.fence = hubstate_duty(h->state).fence,
		.timeout_us = hub_duty_call_timeout_us(h, HUB_ORDER_TIMEOUT_US),
		.checked_us = h->duty.checked_us,
		.on_end = on_ordered,
		.arg = o,
	};

	o->wanted = n;
	o->ordered = true;
	o->sent_us = loop_now_us(h->loop);
	o->in_flight = api_duty_call_send(h->http, &call) != HANDLE_NONE;
	free(body);
}

/// Listed servers of a kind in a data centre, without the draining ones.
static uint32_t
count_in_zone(
    const struct hub *h, const char *service, const char *zone, bool spot)
{
	uint32_t n = 0;

	for (guint i = 0; i < listdiff_servers(h->list)->len; i++) {
		const struct instance *s = &g_array_index(
		    listdiff_servers(h->list), struct instance, i);

		n += !s->draining && s->spot == spot &&
		    strcmp(s->service, service) == 0 &&
		    strcmp(s->zone, zone) == 0;
	}
	return n;
}

/// Orders that a service have `n` servers of a kind in a data centre, unless as
/// many are listed or were ordered in the last HUB_ORDER_REPEAT_US.
static void
order_servers(
    struct hub *h, const char *service, const char *zone, bool spot, uint32_t n)
{
	const uint64_t now = loop_now_us(h->loop);
	const uint32_t n_listed = count_in_zone(h, service, zone, spot);
	struct hub_scale_order *o = find_or_add_order(h, service, zone, spot);
	const bool is_pending = o->ordered && o->wanted == n &&
	    now < o->sent_us + HUB_ORDER_REPEAT_US;

	if (o->in_flight || now < o->unavailable_until_us || is_pending)
		return;
	if (n_listed == n && (!o->ordered || o->wanted == n))
		return;
	send_order(h, o, n);
}

/// Fills in what the planner needs to know of a data centre.
///
/// @return whether servers in it were reclaimed lately
static bool
fill_zone(struct hub *h, const struct fleetcfg_service *s,
    const struct fleetcfg_zone_price *price, struct autoscale_zone *out)
{
	const uint64_t now = loop_now_us(h->loop);
	const struct hub_scale_order *on_demand =
	    find_or_add_order(h, s->name, price->zone, false);
	struct hub_scale_order *spot =
	    find_or_add_order(h, s->name, price->zone, true);

	out->price = price->price;
	out->closed = hub_evac_covers(h, price->zone);
	out->on_demand = count_in_zone(h, s->name, price->zone, false);
	out->spot = count_in_zone(h, s->name, price->zone, true);
	out->on_demand_expected =
	    MAX(out->on_demand, on_demand->ordered ? on_demand->wanted : 0);
	if (spot->ordered && !spot->in_flight && spot->wanted > out->spot &&
	    now < spot->sent_us + HUB_ORDER_REPEAT_US)
		out->spot_starting = spot->wanted - out->spot;
	out->on_demand_unavailable = now < on_demand->unavailable_until_us;
	out->spot_unavailable = now < spot->unavailable_until_us;
	return autoscale_reclaim_watch_step(&spot->reclaim_watch, now,
	    out->spot,
	    spot->ordered || spot->wanted > 0 ? spot->wanted : UINT32_MAX);
}

/// Work of a service that gateways have reported since the last sample.
struct hub_service_load {
	uint64_t tokens;  ///< of prompts, to be computed
	uint64_t work_us; ///< spent at servers
	uint64_t speeds;  ///< sum of the reported tokens per second
	uint32_t n_speeds;
};

/// Adds the loads of a gateway's report.
///
/// @param loads  struct hubmsg_load
void
hub_scale_on_loads(struct hub *h, const GArray *loads)
{
	for (guint i = 0; i < loads->len; i++) {
		const struct hubmsg_load *l =
		    &g_array_index(loads, struct hubmsg_load, i);
		struct hub_service_load *w =
		    g_hash_table_lookup(h->load_by_service, l->service);

		if (w == NULL) {
			w = g_new0(struct hub_service_load, 1);
			(void)g_hash_table_insert(
			    h->load_by_service, g_strdup(l->service), w);
		}
		w->tokens += l->tokens;
		w->work_us += l->work_us;
		w->speeds += l->tokens_per_s;
		w->n_speeds += l->tokens_per_s > 0;
	}
}

/// Takes what gateways have reported of a service since the last call. The
/// speed is the mean of those that they measured.
static struct sizing_sample
sample_of(struct hub *h, const struct fleetcfg_service *service)
{
	struct hub_service_load *w =
	    g_hash_table_lookup(h->load_by_service, service->name);
	struct sizing_sample sample = {
		.concurrency_per_server = service->engine.slots,
	};

	if (w == NULL)
		return sample;
	sample.tokens = (double)w->tokens;
	sample.busy_s = (double)w->work_us / USEC_PER_SEC;
	if (w->n_speeds > 0)
		sample.tokens_per_s = (double)w->speeds / w->n_speeds;
	*w = (struct hub_service_load){ .tokens = 0 };
	return sample;
}

/// Listed servers of a service, without the draining ones.
///
/// @param with_spot  reclaimable ones count
static uint32_t
count_servers(const struct hub *h, const char *service, bool with_spot)
{
	uint32_t n = 0;

	for (guint i = 0; i < listdiff_servers(h->list)->len; i++) {
		const struct instance *s = &g_array_index(
		    listdiff_servers(h->list), struct instance, i);

		n += !s->draining && (with_spot || !s->spot) &&
		    strcmp(s->service, service) == 0;
	}
	return n;
}

static void
on_need_committed(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	(void)arg;
	(void)result;
	(void)len;
	if (status != STATUS_OK)
		logger_event(LOGGER_WARN, "need.not_recorded", "status=%s",
		    status_name(status));
}

/// Number of servers that a service needs, from the recorded number and the
/// work that arrives. Logs and records the new number if it has changed by
/// HUB_NEED_CHANGE_RATIO or more.
///
/// @return 0 while it isn't known
static double
needed_servers(struct hub *h, const struct fleetcfg_service *service)
{
	const uint64_t now = loop_now_us(h->loop);
	const struct sizing_sample sample = sample_of(h, service);
	const double recorded =
	    (double)hubstate_needed_milliservers(h->state, service->name) /
	    MILLI;
	const double guess =
	    count_servers(h, service->name, false) * HUB_INITIAL_NEED_RATIO;
	struct sizing *s =
	    g_hash_table_lookup(h->sizing_by_service, service->name);
	struct hubstate_command c = { .kind = HUBSTATE_NEEDED_SERVERS };

	if (s == NULL) {
		s = g_new0(struct sizing, 1);
		(void)g_hash_table_insert(
		    h->sizing_by_service, g_strdup(service->name), s);
	}
	if (s->servers <= 0 && recorded > 0)
		sizing_init(s, recorded);
	else if (guess > s->servers && !sizing_has_samples(s))
		sizing_init(s, guess);
	if (recorded <= 0 && now < h->duty.valid_from_us + HUB_INITIAL_WATCH_US)
		return 0;
	sizing_update(s, now, &sample);
	if (s->servers > recorded * (1 - HUB_NEED_CHANGE_RATIO) &&
	    s->servers < recorded * (1 + HUB_NEED_CHANGE_RATIO))
		return s->servers;
	logger_event(LOGGER_INFO, "servers.need",
	    "service=%s need=%.2f busy=%.2f tokens_per_s=%.0f servers=%u",
	    service->name, s->servers, s->fast_average, sample.tokens_per_s,
	    count_servers(h, service->name, true));
	(void)g_strlcpy(c.service, service->name, sizeof(c.service));
	c.needed_milliservers = (uint32_t)(s->servers * MILLI);
	hub_propose(h, &c, on_need_committed, h);
	return s->servers;
}

/// Whether the number of needed servers is an estimate without load.
static bool
need_is_guess(const struct hub *h, const struct fleetcfg_service *service)
{
	const uint64_t now = loop_now_us(h->loop);
	const struct sizing *s =
	    g_hash_table_lookup(h->sizing_by_service, service->name);

	return (s == NULL || !sizing_is_measured(s, now)) &&
	    now < h->duty.valid_from_us + HUB_IDLE_US;
}

/// Plans a service's servers in its data centres, and sends the orders.
///
/// @param needed  servers
static void
scale_service(struct hub *h, const struct fleetcfg_service *s, double needed)
{
	const struct fleetcfg_scaling *c = &s->scaling;
	struct autoscale_input in = {
		.n_zones = MIN(c->n_zones, AUTOSCALE_MAX_ZONES),
		.min_servers = c->min_servers,
		.max_servers = c->max_servers,
		.spot_price = c->spot_price,
		.needed_servers = needed,
		.need_is_guess = need_is_guess(h, s),
	};
	struct autoscale_plan plan;

	for (uint32_t i = 0; i < in.n_zones; i++)
		in.spot_reclaimed |=
		    fill_zone(h, s, &c->zones[i], &in.zones[i]);
	autoscale_plan(&in, &plan);
	autoscale_limit_fall(&in, &plan);
	for (uint32_t i = 0; i < in.n_zones; i++) {
		order_servers(
		    h, s->name, c->zones[i].zone, true, plan.zones[i].spot);
		order_servers(h, s->name, c->zones[i].zone, false,
		    plan.zones[i].on_demand);
	}
}

/// Drops the orders and loads from an earlier time as the holder.
void
hub_scale_reset(struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_remove_all(h->sizing_by_service);
	g_hash_table_remove_all(h->load_by_service);
	g_hash_table_iter_init(&it, h->scale_orders);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_scale_order *o = value;

		o->ordered = false;
		o->unavailable_until_us = 0;
		o->reclaim_watch =
		    (struct autoscale_reclaim_watch){ .last_count = 0 };
	}
}

/// Measures the load of all services that scale, once after each new list, and
/// orders their servers. A leader measures while it waits for the lease of the
/// one before, so that its first orders follow the load.
///
/// @param may_order  this process may make the calls of the duties now
void
hub_scale_tick(struct hub *h, bool may_order)
{
	if (h->scaled_list_us == h->list_fresh_us || h->config == NULL ||
	    h->duty.valid_from_us == 0)
		return;
	h->scaled_list_us = h->list_fresh_us;
	for (size_t i = 0; i < fleetcfg_n_services(h->config); i++) {
		const struct fleetcfg_service *s =
		    fleetcfg_service(h->config, i);
		double needed;

		if (!s->scaling.enabled)
			continue;
		needed = needed_servers(h, s);
		if (may_order && needed > 0)
			scale_service(h, s, needed);
	}
}
