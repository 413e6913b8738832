#include "hub/hb_internal.h"

#include "platform/pf_cloud.h"

#define HB_LIST_US (1 * TM_US_PER_S)
#define HB_LIST_TIMEOUT_US (1 * TM_US_PER_S)
#define HB_MAX_LIST_BYTES (4UL << 20)

static void read_page(struct hb *h, const char *token);

static void
on_page(void *arg, const struct hc_result *result)
{
	struct hb *h = arg;
	char *next = NULL;
	size_t n_bad;
	GArray *swap;

	h->listing = false;
	if (result->status != ST_OK || result->http_status != 200 ||
	    pf_list_read((const char *)result->body, result->len, h->page,
		&next, &n_bad) != ST_OK) {
		lg_event(LG_WARN, "list.failed", "status=%s http=%d",
		    st_name(result->status), result->http_status);
		return;
	}
	if (next != NULL) {
		read_page(h, next);
		g_free(next);
		return;
	}
	swap = h->list;
	h->list = h->page;
	h->page = swap;
	h->listed_us = lp_now_us(h->loop);
}

static void
read_page(struct hb *h, const char *token)
{
	char *path = pf_list_path(token);
	const struct hc_call call = {
		.method = "GET",
		.host = h->settings.cloud.host,
		.port = h->settings.cloud.port,
		.path = path,
		.timeout_us = HB_LIST_TIMEOUT_US,
		.max_body = HB_MAX_LIST_BYTES,
		.on_end = on_page,
		.arg = h,
	};

	h->listing = hc_send(h->http, &call) != HD_NONE;
	g_free(path);
}

/// Reads the list again when it is due.
void
hb_list_tick(struct hb *h, uint64_t now_us)
{
	if (h->listing || now_us < h->next_list_us)
		return;
	h->next_list_us = now_us + HB_LIST_US;
	g_array_set_size(h->page, 0);
	read_page(h, NULL);
}
