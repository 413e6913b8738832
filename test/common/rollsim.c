#include "common/rollsim.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/timerq.h"

#define RESPONSE_US 500000ULL ///< Time from a request to its response.
#define WINDOW_US (10 * USEC_PER_SEC)
#define RESTART_MEAN_S 120.0
#define DISCONNECT_MEAN_S 120.0
#define DISCONNECT_LENGTH_S 20.0
#define CONTROL_OUT_MEAN_S 180.0
#define CONTROL_OUT_LENGTH_S 8.0
#define US 1e6

const char *const rollsim_onset_names[] = { "good", "at_once", "later",
	"under_load", "one_route" };

/// By route: part of the requests, and medians of the latencies.
static const double route_part[ROLLSIM_ROUTES] = { 0.6, 0.25, 0.15 };
static const double ttft_median_us[ROLLSIM_ROUTES] = { 150e3, 300e3, 80e3 };
static const double inter_token_median_us[ROLLSIM_ROUTES] = { 20e3, 22e3,
	15e3 };

struct in_flight {
	uint64_t due_us;
	uint32_t entry;
	struct rollout_response response;
};

struct fleet {
	struct rnd *r;
	const struct rollsim_case *c;
	const struct rollsim_policy *p;
	struct rollsim_result *out;
	uint64_t now_us;
	double load_phase;
	GQueue responses; ///< of struct in_flight, by due_us
	/// When an entry is in contact with control again; 0: it is now.
	uint64_t disconnected_until_us[ROLLSIM_ENTRIES];
	uint64_t control_out_until_us;
	uint64_t share_until_us; ///< after a lower share: end of all leases
	uint32_t share_permille; ///< highest that any entry may use
	double window_stated;    ///< requests that v2 should get in the window
	uint64_t window_to_new;
	uint64_t window_end_us;
};

/// Whether users call a response that met the fault bad.
static bool
is_bad(const struct rollsim_case *c, const struct rollout_response *a)
{
	return c->fault == ROLLSIM_FAILS ? a->failed
					 : c->severity >= ROLLSIM_SLOW_MIN;
}

/// Draws a random case.
///
/// @param disturbed  see rollsim_case
struct rollsim_case
rollsim_draw_case(struct rnd *r, enum rollsim_onset when, bool disturbed)
{
	struct rollsim_case c = {
		.when = when,
		.fault = (enum rollsim_fault)rnd_below(r, ROLLSIM_FAULTS),
		.route = (uint32_t)rnd_below(r, ROLLSIM_ROUTES),
		.requests_per_s = exp(log(3) + rnd_unit(r) * log(30)),
		.submit_us = (60 + rnd_below(r, 240)) * USEC_PER_SEC,
		.disturbed = disturbed,
	};

	c.deadline_us = c.submit_us + (300 + rnd_below(r, 600)) * USEC_PER_SEC;
	c.end_us = c.deadline_us + 200 * USEC_PER_SEC;
	c.severity = c.fault == ROLLSIM_FAILS ? 0.1 + 0.9 * rnd_unit(r)
					      : 1.6 + 2.4 * rnd_unit(r);
	c.fault_from_us = c.submit_us;
	if (when == ROLLSIM_LATER)
		c.fault_from_us += rnd_below(r, c.end_us - c.submit_us);
	return c;
}

static double
load_now(const struct fleet *f)
{
	const double slow = sin((double)f->now_us / US / 40 + f->load_phase);

	return 0.5 + 0.3 * slow + 0.25 * (rnd_unit(f->r) - 0.5);
}

static bool
has_fault(const struct fleet *f, uint32_t route, double load)
{
	const struct rollsim_case *c = f->c;

	switch (c->when) {
	case ROLLSIM_AT_ONCE:
		return true;
	case ROLLSIM_LATER:
		return f->now_us >= c->fault_from_us;
	case ROLLSIM_UNDER_LOAD:
		return load > 0.7;
	case ROLLSIM_ONE_ROUTE:
		return route == c->route;
	default:
		return false;
	}
}

static void
apply_fault(const struct fleet *f, struct rollout_response *a, double *ttft_us,
    double *inter_token_us)
{
	switch (f->c->fault) {
	case ROLLSIM_FAILS:
		a->failed = a->failed || rnd_unit(f->r) < f->c->severity;
		break;
	case ROLLSIM_SLOW_TTFT:
		*ttft_us *= f->c->severity;
		break;
	default:
		*inter_token_us *= f->c->severity;
	}
}

static struct rollout_response
make_response(struct fleet *f, uint64_t version, uint32_t route, bool *affected)
{
	const double load = load_now(f);
	double ttft_us = rnd_lognormal(f->r, ttft_median_us[route], 0.4);
	double inter_token_us =
	    rnd_lognormal(f->r, inter_token_median_us[route], 0.25);
	struct rollout_response a = {
		.pool = ROLLSIM_POOL,
		.version = version,
		.route = route + 1,
		.failed = rnd_unit(f->r) < 0.002,
		.load_permille = (uint32_t)(1000 * load),
	};

	ttft_us *= 1 + 2 * load * load;
	inter_token_us *= 1 + 0.5 * load;
	*affected = version == ROLLSIM_V2 && has_fault(f, route, load);
	if (*affected)
		apply_fault(f, &a, &ttft_us, &inter_token_us);
	a.first_token_us = a.failed ? 0 : (uint64_t)ttft_us;
	a.inter_token_us = a.failed ? 0 : (uint64_t)inter_token_us;
	return a;
}

static uint32_t
draw_route(struct rnd *r)
{
	double u = rnd_unit(r);

	for (uint32_t i = 0; i + 1 < ROLLSIM_ROUTES; i++) {
		if (u < route_part[i])
			return i;
		u -= route_part[i];
	}
	return ROLLSIM_ROUTES - 1;
}

static bool
is_in_rollout(const struct fleet *f)
{
	return f->now_us >= f->c->submit_us && f->now_us < f->c->deadline_us;
}

static void
count_new(struct fleet *f, bool affected, const struct rollout_response *a)
{
	struct rollsim_result *o = f->out;

	o->in_rollout_new += is_in_rollout(f);
	o->to_new++;
	o->last_us = f->now_us;
	f->window_to_new++;
	if (f->share_permille == 0)
		o->after_rollback++;
	if (affected && o->shown_us == 0)
		o->shown_us = f->now_us;
	o->affected += affected;
	o->bad += affected && is_bad(f->c, a);
	if (o->bad >= ROLLSIM_BAD_LIMIT && o->bad_limit_us == 0)
		o->bad_limit_us = f->now_us;
	o->late += o->bad_limit_us != 0 &&
	    f->now_us > o->bad_limit_us + ROLLSIM_ROLLBACK_MAX_US;
	o->exposed += o->shown_us != 0;
}

static void
request(struct fleet *f)
{
	const uint32_t entry = (uint32_t)rnd_below(f->r, ROLLSIM_ENTRIES);
	const uint64_t hash = rnd_u64(f->r);
	struct in_flight *x;
	uint64_t version;
	bool affected;

	version = f->p->pick(f->p->self, entry, hash, f->now_us);
	if (version == 0)
		return;
	x = g_new0(struct in_flight, 1);
	x->due_us = f->now_us + RESPONSE_US;
	x->entry = entry;
	x->response = make_response(f, version, draw_route(f->r), &affected);
	g_queue_push_tail(&f->responses, x);
	f->out->requests++;
	f->out->in_rollout += is_in_rollout(f);
	f->window_stated += f->share_permille / 1000.0;
	if (version == ROLLSIM_V2)
		count_new(f, affected, &x->response);
}

static void
deliver(struct fleet *f)
{
	const struct in_flight *head = g_queue_peek_head(&f->responses);

	while (head != NULL && head->due_us <= f->now_us) {
		struct in_flight *x = g_queue_pop_head(&f->responses);

		f->p->record_response(
		    f->p->self, x->entry, &x->response, f->now_us);
		g_free(x);
		head = g_queue_peek_head(&f->responses);
	}
}

static bool
happens(struct fleet *f, double mean_s)
{
	return rnd_unit(f->r) < ROLLSIM_TICK_US / (mean_s * US);
}

static void
disturb_entry(struct fleet *f, uint32_t entry)
{
	if (happens(f, RESTART_MEAN_S))
		f->p->restart(f->p->self, entry);
	if (f->disconnected_until_us[entry] != 0 &&
	    f->now_us >= f->disconnected_until_us[entry]) {
		f->disconnected_until_us[entry] = 0;
		f->p->disconnect(f->p->self, entry, false);
	}
	if (f->disconnected_until_us[entry] != 0 ||
	    !happens(f, DISCONNECT_MEAN_S))
		return;
	f->disconnected_until_us[entry] = f->now_us +
	    (uint64_t)(US * rnd_exponential(f->r, DISCONNECT_LENGTH_S));
	f->p->disconnect(f->p->self, entry, true);
}

static void
disturb(struct fleet *f)
{
	if (!f->c->disturbed)
		return;
	for (uint32_t i = 0; i < ROLLSIM_ENTRIES; i++)
		disturb_entry(f, i);
	if (f->now_us >= f->control_out_until_us &&
	    happens(f, CONTROL_OUT_MEAN_S))
		f->control_out_until_us = f->now_us +
		    (uint64_t)(US *
			rnd_exponential(f->r, CONTROL_OUT_LENGTH_S));
}

/// Tracks the highest share that an entry may use: after a lower one was
/// decided, the share before, until the entry's lease has expired.
static void
follow_share(struct fleet *f)
{
	const uint32_t share = f->p->share(f->p->self);
	struct rollsim_result *o = f->out;

	if (share == ROLLOUT_FULL_PERMILLE && o->complete_us == 0)
		o->complete_us = f->now_us;
	if (share >= f->share_permille) {
		f->share_permille = share;
		f->share_until_us = 0;
		return;
	}
	if (o->rolled_back_us == 0)
		o->rolled_back_us = f->now_us;
	if (f->share_until_us == 0)
		f->share_until_us = f->now_us + ROLLSIM_LEASE_US;
	if (f->now_us > f->share_until_us)
		f->share_permille = share;
}

/// Counts a window in which v2 got far more requests than its share: about five
/// standard deviations.
static void
check_window(struct fleet *f)
{
	const double limit =
	    f->window_stated + 6 + 5 * sqrt(f->window_stated + 1);

	if (f->now_us < f->window_end_us)
		return;
	f->out->windows_over += (double)f->window_to_new > limit;
	f->window_to_new = 0;
	f->window_stated = 0;
	f->window_end_us = f->now_us + WINDOW_US;
}

static bool
is_control_out(const struct fleet *f)
{
	const uint64_t lost_us = f->c->control_lost_us;

	return f->now_us < f->control_out_until_us ||
	    (lost_us != 0 && f->now_us >= lost_us);
}

static void
tick(struct fleet *f)
{
	const double mean = f->c->requests_per_s * ROLLSIM_TICK_US / US;
	double at = rnd_exponential(f->r, 1);

	disturb(f);
	deliver(f);
	f->p->tick(f->p->self, f->now_us, is_control_out(f));
	follow_share(f);
	while (at < mean) {
		request(f);
		at += rnd_exponential(f->r, 1);
	}
	check_window(f);
}

/// Runs one case to its end, or until a minute after a rollback when no entry
/// may use the new version any more.
///
/// @param out  receives the result
void
rollsim_run(struct rnd *r, const struct rollsim_case *c,
    const struct rollsim_policy *policy, struct rollsim_result *out)
{
	struct fleet f = {
		.r = r,
		.c = c,
		.p = policy,
		.out = out,
		.load_phase = 6.28 * rnd_unit(r),
		.window_end_us = WINDOW_US,
	};
	bool submitted = false;

	memset(out, 0, sizeof(*out));
	g_queue_init(&f.responses);
	for (f.now_us = ROLLSIM_TICK_US; f.now_us < c->end_us;
	     f.now_us += ROLLSIM_TICK_US) {
		if (!submitted && f.now_us >= c->submit_us) {
			policy->submit(policy->self, f.now_us, c->deadline_us);
			submitted = true;
		}
		tick(&f);
		if (out->rolled_back_us != 0 && f.share_permille == 0 &&
		    f.now_us > out->rolled_back_us + 60 * USEC_PER_SEC)
			break;
	}
	g_queue_clear_full(&f.responses, g_free);
}

#define REPORT_US 500000ULL
#define SPLIT_US 200000ULL

/// One in so many traffic splits is late, so that newer ones overtake it.
#define LATE_ONE_IN 20
#define LATE_MAX_US (20 * USEC_PER_SEC)

struct sent_split {
	uint64_t due_us;
	uint64_t sent_us;
	struct rollout_split split;
};

struct rollsim_product {
	struct rnd *r;
	struct rollout_control *control;
	struct rollout_entry *entries[ROLLSIM_ENTRIES];
	GQueue splits[ROLLSIM_ENTRIES]; ///< of struct sent_split, in no order
	bool
	    disconnected[ROLLSIM_ENTRIES]; ///< it has lost contact with control
	uint64_t lease_us[ROLLSIM_ENTRIES]; ///< it takes requests until then
	uint64_t incarnation;               ///< of the newest entry
	uint64_t sequence;                  ///< of the newest split
	uint64_t
	    sent_to_stopped; ///< requests to a version stopped by the entry
	bool ignore_leases;  ///< entries take requests without a lease
};

static void
new_entry(struct rollsim_product *o, uint32_t entry)
{
	const struct rollout_entry_settings s = {
		.entry = entry + 1,
		.incarnation = ++o->incarnation,
	};

	rollout_entry_free(o->entries[entry]);
	o->entries[entry] = rollout_entry_new(&s);
	o->lease_us[entry] = 0;
}

static void
send_split(struct rollsim_product *o, uint32_t entry, uint64_t now_us)
{
	struct sent_split *t = g_new0(struct sent_split, 1);

	t->sent_us = now_us;
	t->due_us = now_us + rnd_below(o->r, ROLLSIM_LAG_MAX_US);
	if (rnd_below(o->r, LATE_ONE_IN) == 0)
		t->due_us += rnd_below(o->r, LATE_MAX_US);
	(void)rollout_control_split(o->control, ROLLSIM_POOL, &t->split);
	t->split.sequence = o->sequence;
	g_queue_push_tail(&o->splits[entry], t);
}

static void
receive_splits(struct rollsim_product *o, uint32_t entry, uint64_t now_us)
{
	GQueue *q = &o->splits[entry];

	for (GList *l = q->head; l != NULL;) {
		GList *next = l->next;
		struct sent_split *t = l->data;

		if (t->due_us <= now_us) {
			rollout_entry_set_split(o->entries[entry], &t->split);
			o->lease_us[entry] = MAX(
			    o->lease_us[entry], t->sent_us + ROLLSIM_LEASE_US);
			g_free(t);
			g_queue_delete_link(q, l);
		}
		l = next;
	}
}

static uint64_t
ours_pick(void *self, uint32_t entry, uint64_t hash, uint64_t now_us)
{
	struct rollsim_product *o = self;
	uint64_t stopped;
	uint64_t version;

	if (!o->ignore_leases && now_us > o->lease_us[entry])
		return 0;
	version = rollout_entry_pick(o->entries[entry], ROLLSIM_POOL, hash);
	if (rollout_entry_stopped(o->entries[entry], &stopped, 1) > 0 &&
	    version == stopped)
		o->sent_to_stopped++;
	return version;
}

static void
ours_response(void *self, uint32_t entry, const struct rollout_response *a,
    uint64_t now_us)
{
	struct rollsim_product *o = self;

	(void)now_us;
	(void)rollout_entry_record(o->entries[entry], a);
}

static void
report(struct rollsim_product *o, uint32_t entry)
{
	const struct rollout_report *r =
	    rollout_entry_report(o->entries[entry]);
	uint64_t stopped;

	if (rollout_entry_stopped(o->entries[entry], &stopped, 1) > 0)
		rollout_control_entry_stopped(o->control, stopped);
	if (r == NULL)
		return;
	(void)rollout_control_report(o->control, r);
	if (rnd_below(o->r, 10) != 0) // else the acknowledgement is lost
		rollout_entry_acked(o->entries[entry], r->number);
}

static void
count_effect(void *arg, const struct rollout_effect *effect)
{
	struct rollsim_product *o = arg;

	(void)effect;
	o->sequence++;
}

static void
exchange(struct rollsim_product *o, uint32_t entry, uint64_t now_us)
{
	if (now_us % REPORT_US == 0)
		report(o, entry);
	if (now_us % SPLIT_US == 0)
		send_split(o, entry, now_us);
}

static void
ours_tick(void *self, uint64_t now_us, bool control_out)
{
	struct rollsim_product *o = self;

	for (uint32_t i = 0; i < ROLLSIM_ENTRIES; i++) {
		if (!o->disconnected[i])
			receive_splits(o, i, now_us);
		if (!o->disconnected[i] && !control_out)
			exchange(o, i, now_us);
	}
	if (!control_out)
		rollout_control_tick(o->control, now_us, count_effect, o);
}

static void
ours_submit(void *self, uint64_t now_us, uint64_t deadline_us)
{
	struct rollsim_product *o = self;
	const struct rollout_record record = {
		.pool = ROLLSIM_POOL,
		.version = ROLLSIM_V2,
		.replaces = ROLLSIM_V1,
		.deadline_us = deadline_us,
		.added_us = now_us,
		.state = ROLLOUT_PENDING,
	};

	rollout_control_add(o->control, &record);
	rollout_control_set_capacity(
	    o->control, ROLLSIM_V2, ROLLOUT_FULL_PERMILLE);
}

static void
ours_restart(void *self, uint32_t entry)
{
	new_entry(self, entry);
}

static void
ours_disconnect(void *self, uint32_t entry, bool disconnected)
{
	struct rollsim_product *o = self;

	o->disconnected[entry] = disconnected;
}

static uint32_t
ours_share(void *self)
{
	const struct rollsim_product *o = self;
	struct rollout_record m;

	if (!rollout_control_get(o->control, ROLLSIM_V2, &m))
		return 0;
	return m.share_permille;
}

/// Makes the project's own policy.
///
/// @param policy  receives it; valid until rollsim_product_free()
struct rollsim_product *
rollsim_product_new(struct rnd *r, struct rollsim_policy *policy)
{
	const struct rollout_control_settings defaults = { .canary_permille =
							       0 };
	struct rollsim_product *o = g_new0(struct rollsim_product, 1);

	o->r = r;
	o->control = rollout_control_new(&defaults);
	rollout_control_set_pool(o->control, ROLLSIM_POOL, ROLLSIM_V1);
	for (uint32_t i = 0; i < ROLLSIM_ENTRIES; i++) {
		g_queue_init(&o->splits[i]);
		new_entry(o, i);
	}
	*policy = (struct rollsim_policy){
		.self = o,
		.pick = ours_pick,
		.record_response = ours_response,
		.tick = ours_tick,
		.submit = ours_submit,
		.restart = ours_restart,
		.disconnect = ours_disconnect,
		.share = ours_share,
	};
	return o;
}

/// Frees the policy of rollsim_product_new().
void
rollsim_product_free(struct rollsim_product *o)
{
	for (uint32_t i = 0; i < ROLLSIM_ENTRIES; i++) {
		rollout_entry_free(o->entries[i]);
		g_queue_clear_full(&o->splits[i], g_free);
	}
	rollout_control_free(o->control);
	g_free(o);
}

/// State of the rollout.
void
rollsim_product_state(
    const struct rollsim_product *o, struct rollout_record *out)
{
	(void)rollout_control_get(o->control, ROLLSIM_V2, out);
}

/// Lets entries take requests without a lease, so that they go on after control
/// is lost and only their own decisions count.
void
rollsim_product_ignore_leases(struct rollsim_product *o)
{
	o->ignore_leases = true;
}

/// Whether an entry sent a request to a version that it had stopped.
bool
rollsim_product_sent_to_stopped(const struct rollsim_product *o)
{
	return o->sent_to_stopped > 0;
}
