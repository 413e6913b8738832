#include "platform/api_lister.h"

#include "base/logger.h"
#include "fleet/listplan.h"
#include "platform/api_cloud.h"

#define PAGE_TIMEOUT_US 1000000
#define HTTP_TOO_MANY 429
#define MAX_PAGE_BYTES (4UL << 20)

/// A call for a page.
struct lister_call {
	struct api_lister *lister;
	guint stream;
	handle_t handle; ///< HANDLE_NONE: none
};

struct api_lister {
	struct httpc *http;
	struct timerq *timers;
	struct api_lister_callbacks callbacks;
	struct listplan *plan;
	struct timerq_timer *timer; ///< requests the next page
	struct lister_call calls[LISTPLAN_STREAMS];
	bool reading;
	GArray *servers;         ///< of the pages read so far
	size_t n_invalid;        ///< entries of the pages read so far
	size_t n_invalid_logged; ///< in the last list
	char host[INSTANCE_HOST_BYTES];
	uint16_t port;
};

static void request_pages(struct api_lister *l);

static void
on_timer(void *arg, uint64_t now_us)
{
	(void)now_us;
	request_pages(arg);
}

/// Creates a lister.
///
/// @return the lister, to be released with api_lister_free()
struct api_lister *
api_lister_new(struct httpc *http, struct timerq *timers,
    const struct api_lister_callbacks *callbacks)
{
	struct api_lister *l = g_new0(struct api_lister, 1);

	l->http = http;
	l->timers = timers;
	l->callbacks = *callbacks;
	l->plan = listplan_new();
	l->timer = timerq_timer_new(timers, on_timer, l);
	l->servers = g_array_new(FALSE, TRUE, sizeof(struct instance));
	for (guint i = 0; i < LISTPLAN_STREAMS; i++)
		l->calls[i] = (struct lister_call){ .lister = l, .stream = i };
	return l;
}

static void
cancel_calls(struct api_lister *l)
{
	for (guint i = 0; i < LISTPLAN_STREAMS; i++) {
		httpc_cancel(l->http, l->calls[i].handle);
		l->calls[i].handle = HANDLE_NONE;
	}
	timerq_disarm(l->timer);
}

/// Releases a lister and cancels a read under way, without calling on_done;
/// NULL is allowed.
void
api_lister_free(struct api_lister *l)
{
	if (l == NULL)
		return;
	cancel_calls(l);
	timerq_timer_free(l->timer);
	listplan_free(l->plan);
	g_array_unref(l->servers);
	g_free(l);
}

/// Logs the number of invalid entries of a list when it has changed.
static void
log_invalid(struct api_lister *l)
{
	if (l->n_invalid != l->n_invalid_logged)
		logger_event(
		    LOGGER_WARN, "list.bad_entries", "n=%zu", l->n_invalid);
	l->n_invalid_logged = l->n_invalid;
}

static void
fail(struct api_lister *l)
{
	cancel_calls(l);
	l->reading = false;
	l->callbacks.done(l->callbacks.arg, NULL);
}

/// Goes on after a page, or ends the reading after the last one.
static void
step(struct api_lister *l)
{
	if (!listplan_is_complete(l->plan)) {
		request_pages(l);
		return;
	}
	l->reading = false;
	listplan_end(l->plan, l->servers);
	log_invalid(l);
	l->callbacks.done(l->callbacks.arg, l->servers);
}

static void
on_page_response(void *arg, const struct httpc_result *result)
{
	struct lister_call *call = arg;
	struct api_lister *l = call->lister;
	const guint before = l->servers->len;
	char *next = NULL;
	size_t n_invalid = 0;

	call->handle = HANDLE_NONE;
	if (result->status == STATUS_OK &&
	    result->http_status == HTTP_TOO_MANY &&
	    listplan_on_refused(
		l->plan, call->stream, timerq_now_us(l->timers))) {
		request_pages(l);
		return;
	}
	if (result->status != STATUS_OK || result->http_status != 200) {
		logger_event(LOGGER_WARN, "list.failed", "status=%s http=%d",
		    status_name(result->status), result->http_status);
		fail(l);
		return;
	}
	if (api_list_read((const char *)result->body, result->len, l->servers,
		&next, &n_invalid) != STATUS_OK) {
		logger_event(LOGGER_WARN, "list.unreadable", "reason=\"%s\"",
		    status_last());
		fail(l);
		return;
	}
	l->n_invalid += n_invalid;
	listplan_on_page(l->plan, call->stream, next);
	g_free(next);
	if (l->callbacks.page != NULL && l->servers->len > before)
		l->callbacks.page(l->callbacks.arg,
		    &g_array_index(l->servers, struct instance, before),
		    l->servers->len - before);
	step(l);
}

static void
request_page(struct api_lister *l, const struct listplan_page *page)
{
	struct lister_call *call = &l->calls[page->stream];
	char *path = api_list_path(page->zone, page->token);
	const struct httpc_request request = {
		.method = "GET",
		.host = l->host,
		.port = l->port,
		.path = path,
		.timeout_us = PAGE_TIMEOUT_US,
		.max_body = MAX_PAGE_BYTES,
		.on_end = on_page_response,
		.arg = call,
	};

	call->handle = httpc_send(l->http, &request);
	g_free(path);
}

/// Requests the pages that the plan names for now; on_page_response() reads
/// them.
static void
request_pages(struct api_lister *l)
{
	struct listplan_page page;
	uint64_t wait_until_us;

	while (listplan_next(
	    l->plan, timerq_now_us(l->timers), &page, &wait_until_us)) {
		request_page(l, &page);
		if (l->calls[page.stream].handle == HANDLE_NONE) {
			fail(l);
			return;
		}
	}
	if (wait_until_us != 0)
		timerq_arm(l->timer, wait_until_us);
}

/// Whether the list is being read.
bool
api_lister_busy(const struct api_lister *l)
{
	return l->reading;
}

/// Gives up a read under way, without calling `done`.
void
api_lister_cancel(struct api_lister *l)
{
	cancel_calls(l);
	l->reading = false;
}

/// Adds a data centre that servers may be in.
void
api_lister_add_zone(struct api_lister *l, const char *zone)
{
	listplan_add_zone(l->plan, zone);
}

/// Starts to read the whole list from an address, unless a read is under way.
///
/// @param calls_per_s  at which pages are requested
void
api_lister_read(
    struct api_lister *l, const char *host, uint16_t port, double calls_per_s)
{
	if (api_lister_busy(l))
		return;
	(void)g_strlcpy(l->host, host, sizeof(l->host));
	l->port = port;
	l->n_invalid = 0;
	l->reading = true;
	g_array_set_size(l->servers, 0);
	listplan_set_rate(l->plan, calls_per_s);
	listplan_begin(l->plan);
	request_pages(l);
}
