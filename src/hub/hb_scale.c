#include "hub/hb_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/sn.h"
#include "fleet/sp.h"
#include "platform/pf_cloud.h"
#include "platform/pf_names.h"

#define HB_ORDER_TIMEOUT_US (1500 * USEC_PER_MSEC)
/// An order is repeated when the list doesn't show it by then.
#define HB_ORDER_AGAIN_US (8 * USEC_PER_SEC)
/// An order that was refused for want of servers is tried again after this.
#define HB_DRY_US (3 * USEC_PER_SEC)
#define HB_CONFLICT 409
/// First guess of what a service needs, as a share of the servers it has.
#define HB_FIRST_NEED (2.0 / 3)
/// The first holder watches the list for so long before it acts on its guess.
#define HB_WATCH_US (3 * USEC_PER_SEC)
/// A change of the need that is worth a record.
#define HB_NEED_CHANGE 0.05
#define MILLI 1000

/// Orders for one service, data centre and kind of server.
struct hb_order {
	struct hb *hb;
	bool spot;
	uint32_t wanted; ///< ordered last
	bool ordered;    ///< at least once by this holder
	bool calling;
	uint64_t sent_us;
	uint64_t dry_until_us;
	struct sp_reserve reserve;
	char service[FC_NAME_BYTES];
	char zone[FC_NAME_BYTES];
};

static void
on_ordered(void *arg, const struct httpc_result *result)
{
	struct hb_order *o = arg;
	struct hb *h = o->hb;
	const uint64_t now = loop_now_us(h->loop);

	o->calling = false;
	logger_event(LOGGER_INFO, "servers.ordered",
	    "service=%s zone=%s spot=%d n=%u status=%s http=%d", o->service,
	    o->zone, o->spot, o->wanted, status_name(result->status),
	    result->http_status);
	if (result->status == STATUS_OK && result->http_status == 200)
		return;
	if (result->http_status == HB_CONFLICT)
		o->dry_until_us = now + HB_DRY_US;
	o->ordered = false;
	o->sent_us = now;
}

static struct hb_order *
order_of(struct hb *h, const char *service, const char *zone, bool spot)
{
	char *key = g_strdup_printf("%s %s %d", service, zone, spot);
	struct hb_order *o = g_hash_table_lookup(h->orders, key);

	if (o != NULL) {
		g_free(key);
		return o;
	}
	o = g_new0(struct hb_order, 1);
	o->hb = h;
	o->spot = spot;
	(void)g_strlcpy(o->service, service, sizeof(o->service));
	(void)g_strlcpy(o->zone, zone, sizeof(o->zone));
	(void)g_hash_table_insert(h->orders, key, o);
	return o;
}

static void
send_order(struct hb *h, struct hb_order *o, uint32_t n)
{
	char *body = pf_scale_body(o->service, o->zone, n, o->spot);
	const struct pf_duty_call call = {
		.host = h->settings.cloud.host,
		.port = h->settings.cloud.port,
		.path = PF_SCALE_PATH,
		.body = body,
		.holder = h->settings.node,
		.fence = hs_duty(h->state).fence,
		.timeout_us = HB_ORDER_TIMEOUT_US,
		.on_end = on_ordered,
		.arg = o,
	};

	o->wanted = n;
	o->ordered = true;
	o->sent_us = loop_now_us(h->loop);
	o->calling = pf_duty_send(h->http, &call) != HANDLE_NONE;
	free(body);
}

/// Servers of a kind that take work or will soon.
static uint32_t
count(const struct hb *h, const char *service, const char *zone, bool spot)
{
	uint32_t n = 0;

	for (guint i = 0; i < h->list->len; i++) {
		const struct sv *s = &g_array_index(h->list, struct sv, i);

		n += !s->draining && s->spot == spot &&
		    strcmp(s->service, service) == 0 &&
		    strcmp(s->zone, zone) == 0;
	}
	return n;
}

/// Orders a number of servers, unless they are there or on their way.
static void
want(struct hb *h, const char *service, const char *zone, bool spot, uint32_t n)
{
	const uint64_t now = loop_now_us(h->loop);
	const uint32_t have = count(h, service, zone, spot);
	struct hb_order *o = order_of(h, service, zone, spot);
	const bool on_its_way = o->ordered && o->wanted == n &&
	    now < o->sent_us + HB_ORDER_AGAIN_US;

	if (o->calling || now < o->dry_until_us || on_its_way)
		return;
	if (have == n && (!o->ordered || o->wanted == n))
		return;
	send_order(h, o, n);
}

/// @return whether the data centre recalled servers of late
static bool
fill_zone(struct hb *h, const struct fc_service *s,
    const struct fc_zone_price *price, struct sp_zone *out)
{
	const uint64_t now = loop_now_us(h->loop);
	const struct hb_order *fixed = order_of(h, s->name, price->zone, false);
	struct hb_order *spot = order_of(h, s->name, price->zone, true);

	out->price = price->price;
	out->fixed = count(h, s->name, price->zone, false);
	out->spot = count(h, s->name, price->zone, true);
	out->coming = MAX(out->fixed, fixed->ordered ? fixed->wanted : 0);
	if (spot->ordered && !spot->calling && spot->wanted > out->spot &&
	    now < spot->sent_us + HB_ORDER_AGAIN_US)
		out->starting = spot->wanted - out->spot;
	out->fixed_dry = now < fixed->dry_until_us;
	out->spot_dry = now < spot->dry_until_us;
	return sp_reserve_step(&spot->reserve, now, out->spot,
	    spot->ordered || spot->wanted > 0 ? spot->wanted : UINT32_MAX);
}

/// Work of a service that gateways reported since it was looked at last.
struct hb_work {
	uint64_t tokens;
	uint64_t work_us;
	uint64_t speeds; ///< sum of tokens a second
	uint32_t n_speeds;
};

/// Adds a gateway's report of its work.
void
hb_scale_take(struct hb *h, const GArray *loads)
{
	for (guint i = 0; i < loads->len; i++) {
		const struct lm_load *l =
		    &g_array_index(loads, struct lm_load, i);
		struct hb_work *w = g_hash_table_lookup(h->work, l->service);

		if (w == NULL) {
			w = g_new0(struct hb_work, 1);
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
static struct sn_sample
sample_of(struct hb *h, const struct fc_service *service)
{
	struct hb_work *w = g_hash_table_lookup(h->work, service->name);
	struct sn_sample sample = {
		.requests_at_once = service->engine.slots,
	};

	if (w == NULL)
		return sample;
	sample.tokens = (double)w->tokens;
	sample.busy_s = (double)w->work_us / USEC_PER_SEC;
	if (w->n_speeds > 0)
		sample.tokens_per_s = (double)w->speeds / w->n_speeds;
	*w = (struct hb_work){ .tokens = 0 };
	return sample;
}

static uint32_t
count_servers(const struct hb *h, const char *service)
{
	uint32_t n = 0;

	for (guint i = 0; i < h->list->len; i++) {
		const struct sv *s = &g_array_index(h->list, struct sv, i);

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
need_of(struct hb *h, const struct fc_service *service)
{
	const uint64_t now = loop_now_us(h->loop);
	const struct sn_sample sample = sample_of(h, service);
	const double recorded =
	    (double)hs_need(h->state, service->name) / MILLI;
	const double guess = count_servers(h, service->name) * HB_FIRST_NEED;
	struct sn *s = g_hash_table_lookup(h->needs, service->name);
	struct hs_command c = { .kind = HS_NEED };

	if (s == NULL) {
		s = g_new0(struct sn, 1);
		(void)g_hash_table_insert(h->needs, g_strdup(service->name), s);
	}
	if (s->need <= 0 && recorded > 0)
		sn_start(s, recorded);
	else if (guess > s->need && !sn_saw_work(s))
		sn_start(s, guess);
	if (recorded <= 0 && now < h->duty_from_us + HB_WATCH_US)
		return 0;
	sn_step(s, now, &sample);
	if (s->need > recorded * (1 - HB_NEED_CHANGE) &&
	    s->need < recorded * (1 + HB_NEED_CHANGE))
		return s->need;
	logger_event(LOGGER_INFO, "servers.need",
	    "service=%s need=%.2f busy=%.2f tokens_per_s=%.0f servers=%u",
	    service->name, s->need, s->fast, sample.tokens_per_s,
	    count_servers(h, service->name));
	(void)g_strlcpy(c.service, service->name, sizeof(c.service));
	c.need_milli = (uint32_t)(s->need * MILLI);
	hb_propose(h, &c, on_recorded, h);
	return s->need;
}

static void
scale(struct hb *h, const struct fc_service *s)
{
	const struct fc_scaling *c = &s->scaling;
	struct sp_input in = {
		.n_zones = MIN(c->n_zones, SP_MAX_ZONES),
		.min_servers = c->min_servers,
		.max_servers = c->max_servers,
		.spot_price = c->spot_price,
		.need = need_of(h, s),
	};
	struct sp_plan plan;

	if (in.need <= 0)
		return;
	for (uint32_t i = 0; i < in.n_zones; i++)
		in.recalled |= fill_zone(h, s, &c->zones[i], &in.zones[i]);
	sp_plan(&in, &plan);
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
hb_scale_reset(struct hb *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_remove_all(h->needs);
	g_hash_table_remove_all(h->work);
	g_hash_table_iter_init(&it, h->orders);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hb_order *o = value;

		o->ordered = false;
		o->dry_until_us = 0;
		o->reserve = (struct sp_reserve){ .had = 0 };
	}
}

/// Orders servers as the holder of the duty, after each reading of the list.
void
hb_scale_tick(struct hb *h)
{
	if (h->scaled_us == h->listed_us || h->config == NULL)
		return;
	h->scaled_us = h->listed_us;
	for (size_t i = 0; i < fc_n_services(h->config); i++) {
		if (fc_service(h->config, i)->scaling.enabled)
			scale(h, fc_service(h->config, i));
	}
}
