#include "proof/log_history.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

struct operation {
	bool read;
	bool completed;
	enum status status;
	uint64_t version; ///< Length of the list right after it.
	uint64_t called_us;
	uint64_t completed_us;
};

struct log_history {
	GArray *ops; ///< struct operation, by number - 1.
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
get_operation(const struct log_history *h, uint64_t id)
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
log_history_complete(struct log_history *h, uint64_t id, enum status status,
    uint64_t version, uint64_t now_us)
{
	struct operation *op = get_operation(h, id);

	op->completed = true;
	op->status = status;
	op->version = version;
	op->completed_us = now_us;
}

uint64_t
log_history_count(const struct log_history *h, enum status status)
{
	uint64_t n = 0;

	for (guint i = 0; i < h->ops->len; i++) {
		const struct operation *op = get_operation(h, i + 1);

		n += op->completed && op->status == status;
	}
	return n;
}

/// Prints why an operation doesn't fit.
///
/// @return false
static bool
report_error(const char *what, uint64_t id)
{
	(void)printf("history: %s operation=%" PRIu64 "\n", what, id);
	return false;
}

/// Checks that each append is in the list at most once, at the position
/// reported at its completion, and only if it may have been appended.
///
/// @param position  receives the position of each append by number, 0: none
static bool
check_list(const struct log_history *h, const uint64_t *list, uint64_t n,
    uint64_t *position)
{
	for (uint64_t i = 0; i < n; i++) {
		const uint64_t id = list[i];

		if (id == 0 || id > h->ops->len || get_operation(h, id)->read)
			return report_error(
			    "the list has an unknown value", id);
		if (position[id] != 0)
			return report_error("applied twice", id);
		position[id] = i + 1;
	}
	for (uint64_t id = 1; id <= h->ops->len; id++) {
		const struct operation *op = get_operation(h, id);

		if (op->read || !op->completed)
			continue;
		if (op->status == STATUS_OK && position[id] == 0)
			return report_error("accepted append was lost", id);
		if (op->status == STATUS_OK && position[id] != op->version)
			return report_error(
			    "append isn't at the position reported", id);
		if (op->status == STATUS_UNAVAILABLE && position[id] != 0)
			return report_error("refused append was applied", id);
	}
	return true;
}

struct event {
	uint64_t at_us;
	uint64_t id;
	bool completion;
};

static gint
by_time(gconstpointer a, gconstpointer b)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return (int)x->completion - (int)y->completion;
}

static GArray *
events_by_time(const struct log_history *h)
{
	GArray *events = g_array_new(FALSE, FALSE, sizeof(struct event));

	for (uint64_t id = 1; id <= h->ops->len; id++) {
		const struct operation *op = get_operation(h, id);
		const struct event call = { op->called_us, id, false };
		const struct event completion = { op->completed_us, id, true };

		g_array_append_val(events, call);
		if (op->completed && op->status == STATUS_OK)
			g_array_append_val(events, completion);
	}
	g_array_sort(events, by_time);
	return events;
}

/// Checks the order of the operations against their times. The list determines
/// the order of the appends, and the length that a read saw determines its
/// position among them. So it suffices that no operation is ordered before one
/// that completed before it was called.
static bool
check_times(const struct log_history *h, const uint64_t *position)
{
	GArray *events = events_by_time(h);
	uint64_t *min_version = g_new0(uint64_t, h->ops->len + 1);
	uint64_t seen = 0;
	bool ok = true;

	for (guint i = 0; ok && i < events->len; i++) {
		const struct event *e = &g_array_index(events, struct event, i);
		const struct operation *op = get_operation(h, e->id);
		const uint64_t version =
		    op->read ? op->version : position[e->id];

		if (!e->completion) {
			min_version[e->id] = seen;
			if (!op->read && version != 0 && version <= seen)
				ok = report_error(
				    "append was applied before its call",
				    e->id);
			continue;
		}
		if (version < min_version[e->id])
			ok = report_error(
			    "result is older than one known before its call",
			    e->id);
		seen = MAX(seen, version);
	}
	g_free(min_version);
	g_array_unref(events);
	return ok;
}

bool
log_history_check(const struct log_history *h, const uint64_t *list, uint64_t n)
{
	uint64_t *position = g_new0(uint64_t, h->ops->len + 1);
	const bool ok =
	    check_list(h, list, n, position) && check_times(h, position);

	g_free(position);
	return ok;
}
