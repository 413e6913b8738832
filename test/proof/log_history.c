#include "proof/log_history.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

struct operation {
	bool read;
	bool answered;
	enum status status;
	uint64_t version; ///< Length of the list right after it.
	uint64_t called_us;
	uint64_t answered_us;
};

struct log_history {
	GArray *ops; ///< The number of an operation is its place plus 1.
};

struct log_history *
log_history_new(void)
{
	struct log_history *h = g_new0(struct log_history, 1);

	h->ops = g_array_new(FALSE, FALSE, sizeof(struct operation));
	return h;
}

void
log_history_free(struct log_history *h)
{
	g_array_unref(h->ops);
	g_free(h);
}

static struct operation *
get(const struct log_history *h, uint64_t id)
{
	return &g_array_index(h->ops, struct operation, id - 1);
}

uint64_t
log_history_call(struct log_history *h, bool read, uint64_t now_us)
{
	const struct operation op = { .read = read, .called_us = now_us };

	g_array_append_val(h->ops, op);
	return h->ops->len;
}

void
log_history_answer(struct log_history *h, uint64_t id, enum status status,
    uint64_t version, uint64_t now_us)
{
	struct operation *op = get(h, id);

	op->answered = true;
	op->status = status;
	op->version = version;
	op->answered_us = now_us;
}

uint64_t
log_history_count(const struct log_history *h, enum status status)
{
	uint64_t n = 0;

	for (guint i = 0; i < h->ops->len; i++) {
		const struct operation *op = get(h, i + 1);

		n += op->answered && op->status == status;
	}
	return n;
}

static bool
wrong(const char *what, uint64_t id)
{
	(void)printf("history: %s operation=%" PRIu64 "\n", what, id);
	return false;
}

/// Each append is in the list at most once, where its answer says, and only
/// if it may have been appended.
static bool
check_list(const struct log_history *h, const uint64_t *list, uint64_t n,
    uint64_t *place)
{
	for (uint64_t i = 0; i < n; i++) {
		const uint64_t id = list[i];

		if (id == 0 || id > h->ops->len || get(h, id)->read)
			return wrong("unknown value", id);
		if (place[id] != 0)
			return wrong("applied twice", id);
		place[id] = i + 1;
	}
	for (uint64_t id = 1; id <= h->ops->len; id++) {
		const struct operation *op = get(h, id);

		if (op->read || !op->answered)
			continue;
		if (op->status == STATUS_OK && place[id] == 0)
			return wrong("accepted append was lost", id);
		if (op->status == STATUS_OK && place[id] != op->version)
			return wrong("append moved", id);
		if (op->status == STATUS_UNAVAILABLE && place[id] != 0)
			return wrong("refused append was applied", id);
	}
	return true;
}

struct event {
	uint64_t at_us;
	uint64_t id;
	bool answer;
};

static gint
by_time(gconstpointer a, gconstpointer b)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return (int)x->answer - (int)y->answer;
}

static GArray *
events_by_time(const struct log_history *h)
{
	GArray *events = g_array_new(FALSE, FALSE, sizeof(struct event));

	for (uint64_t id = 1; id <= h->ops->len; id++) {
		const struct operation *op = get(h, id);
		const struct event call = { op->called_us, id, false };
		const struct event answer = { op->answered_us, id, true };

		g_array_append_val(events, call);
		if (op->answered && op->status == STATUS_OK)
			g_array_append_val(events, answer);
	}
	g_array_sort(events, by_time);
	return events;
}

/// The order of the appends is fixed by the list, and a read's place by the
/// length that it saw. So it suffices that no operation is placed before one
/// that was answered before it was called.
static bool
check_times(const struct log_history *h, const uint64_t *place)
{
	GArray *events = events_by_time(h);
	uint64_t *floor = g_new0(uint64_t, h->ops->len + 1);
	uint64_t seen = 0;
	bool good = true;

	for (guint i = 0; good && i < events->len; i++) {
		const struct event *e = &g_array_index(events, struct event, i);
		const struct operation *op = get(h, e->id);
		const uint64_t version = op->read ? op->version : place[e->id];

		if (!e->answer) {
			floor[e->id] = seen;
			if (!op->read && version != 0 && version <= seen)
				good = wrong("append before its call", e->id);
			continue;
		}
		if (version < floor[e->id])
			good = wrong("stale answer", e->id);
		seen = MAX(seen, version);
	}
	g_free(floor);
	g_array_unref(events);
	return good;
}

bool
log_history_check(const struct log_history *h, const uint64_t *list, uint64_t n)
{
	uint64_t *place = g_new0(uint64_t, h->ops->len + 1);
	const bool good =
	    check_list(h, list, n, place) && check_times(h, place);

	g_free(place);
	return good;
}
