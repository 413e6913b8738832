#include "hub/hub_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/sizing.h"
#include "fleet/autoscale.h"
#include "platform/api_cloud.h"
#include "platform/api_names.h"

#define HUB_ORDER_TIMEOUT_US (1500 * USEC_PER_MSEC)
/// An order is repeated when the list doesn't show it by then.
#define HUB_ORDER_AGAIN_US (8 * USEC_PER_SEC)
/// An order that was refused for want of servers is tried again after this.
#define HUB_DRY_US (3 * USEC_PER_SEC)
#define HUB_CONFLICT 409
/// First guess of what a service needs, as a share of the servers it has.
#define HUB_FIRST_NEED (2.0 / 3)
/// The first holder watches the list for so long before it acts on its guess.
#define HUB_WATCH_US (3 * USEC_PER_SEC)
/// A change of the need that is worth a record.
#define HUB_NEED_CHANGE 0.05
#define MILLI 1000

/// Orders for one service, data centre and kind of server.
struct hub_scale_order {
	struct hub *hb;
	bool spot;
	uint32_t wanted; ///< ordered last
	bool ordered;    ///< at least once by this holder
	bool calling;
	uint64_t sent_us;
	uint64_t dry_until_us;
	struct autoscale_reclaim_watch reserve;
	char service[FLEETCFG_NAME_BYTES];
	char zone[FLEETCFG_NAME_BYTES];
};

static void
on_ordered(void *arg, const struct httpc_result *result)
{
	struct hub_scale_order *o = arg;
	struct hub *h = o->hb;
	const uint64_t now = loop_now_us(h->loop);

	o->calling = false;
	logger_event(LOGGER_INFO, "servers.ordered",
	    "service=%s zone=%s spot=%d n=%u status=%s http=%d", o->service,
	    o->zone, o->spot, o->wanted, status_name(result->status),
	    result->http_status);
	if (result->status == STATUS_OK && result->http_status == 200)
		return;
	if (result->http_status == HUB_CONFLICT)
		o->dry_until_us = now + HUB_DRY_US;
	o->ordered = false;
	o->sent_us = now;
}

static struct hub_scale_order *
order_of(struct hub *h, const char *service, const char *zone, bool spot)
{
	char *key = g_strdup_printf("%s %s %d", service, zone, spot);
	struct hub_scale_order *o = g_hash_table_lookup(h->orders, key);

	if (o != NULL) {
		g_free(key);
		return o;
	}
	o = g_new0(struct hub_scale_order, 1);
	o->hb = h;
	o->spot = spot;
	(void)g_strlcpy(o->service, service, sizeof(o->service));
	(void)g_strlcpy(o->zone, zone, sizeof(o->zone));
	(void)g_hash_table_insert(h->orders, key, o);
	return o;
}

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
		.timeout_us = HUB_ORDER_TIMEOUT_US,
		.on_end = on_ordered,
		.arg = o,
	};

	o->wanted = n;
	o->ordered = true;
	o->sent_us = loop_now_us(h->loop);
	o->calling = api_duty_call_send(h->http, &call) != HANDLE_NONE;
	free(body);
}

/// Servers of a kind that take work or will soon.
static uint32_t
count(const struct hub *h, const char *service, const char *zone, bool spot)
{
	uint32_t n = 0;

	for (guint i = 0; i < h->list->len; i++) {
		const struct instance *s =
		    &g_array_index(h->list, struct instance, i);

		n += !s->draining && s->spot == spot &&
		    strcmp(s->service, service) == 0 &&
		    strcmp(s->zone, zone) == 0;
	}
	return n;
}

/// Orders a number of servers, unless they are there or on their way.
static void
want(
    struct hub *h, const char *service, const char *zone, bool spot, uint32_t n)
{
	const uint64_t now = loop_now_us(h->loop);
	const uint32_t have = count(h, service, zone, spot);
	struct hub_scale_order *o = order_of(h, service, zone, spot);
	const bool on_its_way = o->ordered && o->wanted == n &&
	    now < o->sent_us + HUB_ORDER_AGAIN_US;

	if (o->calling || now < o->dry_until_us || on_its_way)
		return;
	if (have == n && (!o->ordered || o->wanted == n))
		return;
	send_order(h, o, n);
}

/// @return whether the data centre recalled servers of late
static bool
fill_zone(struct hub *h, const struct fleetcfg_service *s,
    const struct fleetcfg_zone_price *price, struct autoscale_zone *out)
{
	const uint64_t now = loop_now_us(h->loop);
	const struct hub_scale_order *fixed =
	    order_of(h, s->name, price->zone, false);
	struct hub_scale_order *spot = order_of(h, s->name, price->zone, true);

	out->price = price->price;
	out->fixed = count(h, s->name, price->zone, false);
	out->spot = count(h, s->name, price->zone, true);
	out->coming = MAX(out->fixed, fixed->ordered ? fixed->wanted : 0);
	if (spot->ordered && !spot->calling && spot->wanted > out->spot &&
	    now < spot->sent_us + HUB_ORDER_AGAIN_US)
		out->starting = spot->wanted - out->spot;
	out->on_demand_unavailable = now < fixed->dry_until_us;
	out->spot_unavailable = now < spot->dry_until_us;
	return autoscale_reclaim_watch_step(&spot->reserve, now, out->spot,
	    spot->ordered || spot->wanted > 0 ? spot->wanted : UINT32_MAX);
}

/// Work of a service that gateways reported since it was looked at last.
struct hub_service_load {
	uint64_t tokens;
	uint64_t work_us;
	uint64_t speeds; ///< sum of tokens a second
	uint32_t n_speeds;
};

/// Adds a gateway's report of its work.
void
hub_scale_on_loads(struct hub *h, const GArray *loads)
{
	for (guint i = 0; i < loads->len; i++) {
		const struct hubmsg_load *l =
		    &g_array_index(loads, struct hubmsg_load, i);
		struct hub_service_load *w =
		    g_hash_table_lookup(h->work, l->service);

		if (w == NULL) {
			w = g_new0(struct hub_service_load, 1);
			(void)g_hash_table_insert(
			    h->work, g_strdup(l->service), w);
		}
		w->tokens += l->tokens;
		w->work_us += l->work_us;
		w->speeds += l->tokens_per_s;
		w->n_speeds += l->tokens_per_s > 0;
	}
}

/// What gateways reported of a service since the last call. The speed is the
/// mean of what they learned.
static struct sizing_sample
sample_of(struct hub *h, const struct fleetcfg_service *service)
{
	struct hub_service_load *w =
	    g_hash_table_lookup(h->work, service->name);
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

static uint32_t
count_servers(const struct hub *h, const char *service)
{
	uint32_t n = 0;

	for (guint i = 0; i < h->list->len; i++) {
		const struct instance *s =
		    &g_array_index(h->list, struct instance, i);

		n += !s->draining && strcmp(s->service, service) == 0;
	}
	return n;
}

static void
on_recorded(void *arg, enum status status, const uint8_t *result, size_t len)
{
	(void)arg;
	(void)result;
	(void)len;
	if (status != STATUS_OK)
		logger_event(LOGGER_WARN, "need.not_recorded", "status=%s",
		    status_name(status));
}

/// Servers that a service needs, from what is recorded and the work that
/// arrives.
///
/// @return 0 while nothing is known
static double
need_of(struct hub *h, const struct fleetcfg_service *service)
{
	const uint64_t now = loop_now_us(h->loop);
	const struct sizing_sample sample = sample_of(h, service);
	const double recorded =
	    (double)hubstate_need(h->state, service->name) / MILLI;
	const double guess = count_servers(h, service->name) * HUB_FIRST_NEED;
	struct sizing *s = g_hash_table_lookup(h->needs, service->name);
	struct hubstate_command c = { .kind = HUBSTATE_NEED };

	if (s == NULL) {
		s = g_new0(struct sizing, 1);
		(void)g_hash_table_insert(h->needs, g_strdup(service->name), s);
	}
	if (s->need <= 0 && recorded > 0)
		sizing_init(s, recorded);
	else if (guess > s->need && !sizing_has_samples(s))
		sizing_init(s, guess);
	if (recorded <= 0 && now < h->duty_valid_from_us + HUB_WATCH_US)
		return 0;
	sizing_update(s, now, &sample);
	if (s->need > recorded * (1 - HUB_NEED_CHANGE) &&
	    s->need < recorded * (1 + HUB_NEED_CHANGE))
		return s->need;
	logger_event(LOGGER_INFO, "servers.need",
	    "service=%s need=%.2f busy=%.2f tokens_per_s=%.0f servers=%u",
	    service->name, s->need, s->fast, sample.tokens_per_s,
	    count_servers(h, service->name));
	(void)g_strlcpy(c.service, service->name, sizeof(c.service));
	c.needed_milliservers = (uint32_t)(s->need * MILLI);
	hub_propose(h, &c, on_recorded, h);
	return s->need;
}

static void
scale(struct hub *h, const struct fleetcfg_service *s)
{
	const struct fleetcfg_scaling *c = &s->scaling;
	struct autoscale_input in = {
		.n_zones = MIN(c->n_zones, AUTOSCALE_MAX_ZONES),
		.min_servers = c->min_servers,
		.max_servers = c->max_servers,
		.spot_price = c->spot_price,
		.need = need_of(h, s),
	};
	struct autoscale_plan plan;

	if (in.need <= 0)
		return;
	for (uint32_t i = 0; i < in.n_zones; i++)
		in.recalled |= fill_zone(h, s, &c->zones[i], &in.zones[i]);
	autoscale_plan(&in, &plan);
	for (uint32_t i = 0; i < in.n_zones; i++) {
		want(h, s->name, c->zones[i].zone, true, plan.zones[i].spot);
		// Servers that are to be replaced go once others are there.
		if (plan.zones[i].fixed >= in.zones[i].fixed ||
		    in.zones[i].spot >= plan.zones[i].spot)
			want(h, s->name, c->zones[i].zone, false,
			    plan.zones[i].fixed);
	}
}

/// Forgets what an earlier time as the holder had ordered.
void
hub_scale_reset(struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_remove_all(h->needs);
	g_hash_table_remove_all(h->work);
	g_hash_table_iter_init(&it, h->orders);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_scale_order *o = value;

		o->ordered = false;
		o->dry_until_us = 0;
		o->reserve = (struct autoscale_reclaim_watch){ .had = 0 };
	}
}

/// Orders servers as the holder of the duty, after each reading of the list.
void
hub_scale_tick(struct hub *h)
{
	if (h->scaled_list_us == h->list_fresh_us || h->config == NULL)
		return;
	h->scaled_list_us = h->list_fresh_us;
	for (size_t i = 0; i < fleetcfg_n_services(h->config); i++) {
		if (fleetcfg_service(h->config, i)->scaling.enabled)
			scale(h, fleetcfg_service(h->config, i));
	}
}
