#include "fleet/listplan.h"

#include <assert.h>
#include <string.h>

#include "base/timerq.h"
#include "fleet/instance.h"

/// A list of fewer pages isn't split: that would cost more calls.
#define SPLIT_PAGES 8
/// One of this many readings is of all data centres at once, so that servers
/// are found that are in none of the known ones. It isn't the first, for which
/// callers wait.
#define WHOLE_EVERY 8
#define WHOLE_AT 3
/// Calls that may be made at once after a pause, in seconds of the rate.
#define BURST_S 0.25
/// Pause of all calls after one that the platform has refused for its rate.
#define REFUSED_US (100 * USEC_PER_MSEC)
#define MAX_REFUSED 5

enum stream_state {
	STREAM_IDLE,
	STREAM_DUE,     ///< its next page is to be requested
	STREAM_WAITING, ///< for a response
};

struct stream {
	enum stream_state state;
	const char *zone; ///< of the plan's zones
	char *token;
};

struct listplan {
	struct stream streams[LISTPLAN_STREAMS];
	GPtrArray *zones;  ///< char *: known data centres
	guint next_zone;   ///< the next one to be read by a stream
	bool is_split;     ///< this reading is by data centre
	guint n_readings;  ///< begun
	guint n_pages;     ///< of this reading so far
	guint last_pages;  ///< of the last complete reading; 0: none yet
	guint n_refused;   ///< calls of this reading
	double rate;       ///< calls per second
	double calls;      ///< that may be made at `calls_us`
	uint64_t calls_us; ///< 0: none was made yet
	uint64_t pause_until_us;
};

/// Creates a plan, to be released with listplan_free().
struct listplan *
listplan_new(void)
{
	struct listplan *p = g_new0(struct listplan, 1);

	p->zones = g_ptr_array_new_with_free_func(g_free);
	p->rate = 1;
	return p;
}

/// Releases a plan; NULL is allowed.
void
listplan_free(struct listplan *p)
{
	if (p == NULL)
		return;
	for (guint i = 0; i < LISTPLAN_STREAMS; i++)
		g_free(p->streams[i].token);
	g_ptr_array_unref(p->zones);
	g_free(p);
}

/// Sets the rate of calls.
void
listplan_set_rate(struct listplan *p, double calls_per_s)
{
	assert(calls_per_s > 0);
	p->rate = calls_per_s;
}

/// Adds a data centre that servers may be in.
void
listplan_add_zone(struct listplan *p, const char *zone)
{
	if (!g_ptr_array_find_with_equal_func(
		p->zones, zone, g_str_equal, NULL))
		g_ptr_array_add(p->zones, g_strdup(zone));
}

static double
burst_of(const struct listplan *p)
{
	return MAX(1.0, p->rate * BURST_S);
}

static void
start_stream(struct listplan *p, struct stream *s)
{
	g_clear_pointer(&s->token, g_free);
	s->zone = NULL;
	s->state = STREAM_IDLE;
	if (!p->is_split || p->next_zone == p->zones->len)
		return;
	s->zone = g_ptr_array_index(p->zones, p->next_zone++);
	s->state = STREAM_DUE;
}

/// Begins a reading; one that wasn't complete is given up.
void
listplan_begin(struct listplan *p)
{
	p->is_split = p->zones->len > 1 &&
	    (p->last_pages == 0 || p->last_pages >= SPLIT_PAGES) &&
	    p->n_readings % WHOLE_EVERY != WHOLE_AT;
	p->n_readings++;
	p->n_pages = 0;
	p->n_refused = 0;
	p->next_zone = 0;
	for (guint i = 0; i < LISTPLAN_STREAMS; i++)
		start_stream(p, &p->streams[i]);
	if (!p->is_split)
		p->streams[0].state = STREAM_DUE;
}

/// Counts what the rate has allowed since the last call.
static void
refill(struct listplan *p, uint64_t now_us)
{
	const double s = (double)(now_us - p->calls_us) / USEC_PER_SEC;

	p->calls = p->calls_us == 0 ? burst_of(p)
				    : MIN(p->calls + s * p->rate, burst_of(p));
	p->calls_us = now_us;
}

/// The page to request now.
///
/// @param page           valid until the stream's response
/// @param wait_until_us  if there is none: when to ask again; 0: after the next
///                       response
/// @return whether there is one
bool
listplan_next(struct listplan *p, uint64_t now_us, struct listplan_page *page,
    uint64_t *wait_until_us)
{
	guint i = 0;

	*wait_until_us = 0;
	while (i < LISTPLAN_STREAMS && p->streams[i].state != STREAM_DUE)
		i++;
	if (i == LISTPLAN_STREAMS)
		return false;
	refill(p, now_us);
	if (now_us < p->pause_until_us || p->calls < 1) {
		const double s = MAX(0, 1 - p->calls) / p->rate;

		*wait_until_us = MAX(p->pause_until_us,
		    now_us + 1 + (uint64_t)(s * USEC_PER_SEC));
		return false;
	}
	p->calls -= 1;
	p->streams[i].state = STREAM_WAITING;
	*page = (struct listplan_page){
		.stream = i,
		.zone = p->streams[i].zone,
		.token = p->streams[i].token,
	};
	return true;
}

/// A page came.
///
/// @param next  token of the page that follows; NULL: it was the last one
void
listplan_on_page(struct listplan *p, guint stream, const char *next)
{
	struct stream *s = &p->streams[stream];

	assert(s->state == STREAM_WAITING);
	p->n_pages++;
	if (next == NULL) {
		start_stream(p, s);
		return;
	}
	g_free(s->token);
	s->token = g_strdup(next);
	s->state = STREAM_DUE;
}

/// The platform refused the call for its rate: others call, too. The page is
/// requested again after a pause.
///
/// @return whether the reading goes on
bool
listplan_on_refused(struct listplan *p, guint stream, uint64_t now_us)
{
	assert(p->streams[stream].state == STREAM_WAITING);
	p->streams[stream].state = STREAM_DUE;
	p->pause_until_us = now_us + REFUSED_US;
	return ++p->n_refused <= MAX_REFUSED;
}

/// Whether all pages of the reading came.
bool
listplan_is_complete(const struct listplan *p)
{
	for (guint i = 0; i < LISTPLAN_STREAMS; i++)
		if (p->streams[i].state != STREAM_IDLE)
			return false;
	return true;
}

/// Pages of this reading so far.
guint
listplan_pages(const struct listplan *p)
{
	return p->n_pages;
}

/// Learns from a complete reading: its size, and the data centres.
///
/// @param servers  struct instance
void
listplan_end(struct listplan *p, const GArray *servers)
{
	const char *last = "";

	p->last_pages = p->n_pages;
	for (guint i = 0; i < servers->len; i++) {
		const struct instance *s =
		    &g_array_index(servers, struct instance, i);

		if (strcmp(s->zone, last) != 0)
			listplan_add_zone(p, s->zone);
		last = s->zone;
	}
}
