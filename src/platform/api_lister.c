#include "platform/api_lister.h"

#include "base/logger.h"
#include "platform/api_cloud.h"

#define PAGE_TIMEOUT_US 1000000
#define MAX_PAGE_BYTES (4UL << 20)

struct api_lister {
	struct httpc *http;
	api_lister_cb on_done;
	void *arg;
	GArray *servers; ///< of the pages read so far
	uint32_t pages;
	size_t n_invalid;        ///< entries of the pages read so far
	size_t n_invalid_logged; ///< in the last list
	char host[INSTANCE_HOST_BYTES];
	uint16_t port;
	handle_t call; ///< HANDLE_NONE: no page is being read
};

static void request_page(struct api_lister *l, const char *token);

/// Creates a lister.
///
/// @param on_done  called at the end of each read of the list, unless the
///                 request of a page could not be started
/// @param arg      passed to on_done
/// @return the lister, to be released with api_lister_free()
struct api_lister *
api_lister_new(struct httpc *http, api_lister_cb on_done, void *arg)
{
	struct api_lister *l = g_new0(struct api_lister, 1);

	l->http = http;
	l->on_done = on_done;
	l->arg = arg;
	l->servers = g_array_new(FALSE, TRUE, sizeof(struct instance));
	return l;
}

/// Releases a lister and cancels a read under way, without calling on_done;
/// NULL is allowed.
void
api_lister_free(struct api_lister *l)
{
	if (l == NULL)
		return;
	httpc_cancel(l->http, l->call);
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
on_page_response(void *arg, const struct httpc_result *result)
{
	struct api_lister *l = arg;
	char *next = NULL;
	size_t n_invalid = 0;

	l->call = HANDLE_NONE;
	if (result->status != STATUS_OK || result->http_status != 200) {
		logger_event(LOGGER_WARN, "list.failed", "status=%s http=%d",
		    status_name(result->status), result->http_status);
		l->on_done(l->arg, NULL, l->pages);
		return;
	}
	if (api_list_read((const char *)result->body, result->len, l->servers,
		&next, &n_invalid) != STATUS_OK) {
		logger_event(LOGGER_WARN, "list.unreadable", "reason=\"%s\"",
		    status_last());
		l->on_done(l->arg, NULL, l->pages);
		return;
	}
	l->n_invalid += n_invalid;
	l->pages++;
	if (next != NULL) {
		request_page(l, next);
	} else {
		log_invalid(l);
		l->on_done(l->arg, l->servers, l->pages);
	}
	g_free(next);
}

/// Requests a page of the list; on_page_response() reads it.
///
/// @param token  of the page; NULL: the first page
static void
request_page(struct api_lister *l, const char *token)
{
	char *path = api_list_path(token);
	const struct httpc_request call = {
		.method = "GET",
		.host = l->host,
		.port = l->port,
		.path = path,
		.timeout_us = PAGE_TIMEOUT_US,
		.max_body = MAX_PAGE_BYTES,
		.on_end = on_page_response,
		.arg = l,
	};

	l->call = httpc_send(l->http, &call);
	g_free(path);
}

/// Whether the list is being read.
bool
api_lister_busy(const struct api_lister *l)
{
	return l->call != HANDLE_NONE;
}

/// Starts to read the whole list from an address, unless a read is under way.
void
api_lister_read(struct api_lister *l, const char *host, uint16_t port)
{
	if (api_lister_busy(l))
		return;
	(void)g_strlcpy(l->host, host, sizeof(l->host));
	l->port = port;
	l->pages = 0;
	l->n_invalid = 0;
	g_array_set_size(l->servers, 0);
	request_page(l, NULL);
}
