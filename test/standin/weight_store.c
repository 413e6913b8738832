#include "standin.h"

#include <glib.h>
#include <string.h>

#define CHUNK_US 10000ULL
#define CHUNK_BYTES_MAX (1 << 20)

struct weight_store {
	struct standin_env *env;
	uint64_t open; ///< Downloads in progress.
	uint64_t served;
	uint64_t refused;
	uint64_t bytes;
};

/// A download in progress.
struct download {
	struct weight_store *w;
	struct evhttp_request *req;
	uint64_t left; ///< bytes
	bool closed;
};

static void
weight_store_changed(void *self)
{
	(void)self;
}

static void *
weight_store_start(struct standin_env *env)
{
	struct weight_store *w = g_new0(struct weight_store, 1);

	w->env = env;
	return w;
}

static void
download_end(struct download *d)
{
	d->w->open--;
	standin_unwatch_close(d->req);
	evhttp_send_reply_end(d->req);
	g_free(d);
}

/// Bytes of one chunk: all open downloads share the rate.
static uint64_t
chunk_bytes(const struct weight_store *w)
{
	const int64_t rate = standin_get_int(
	    w->env->settings, "bytes_per_s", 64LL * 1024 * 1024);
	const uint64_t n =
	    (uint64_t)rate * CHUNK_US / 1000000 / (w->open > 0 ? w->open : 1);

	return CLAMP(n, 1, CHUNK_BYTES_MAX);
}

static void
on_chunk_time(void *arg)
{
	static const char zeros[CHUNK_BYTES_MAX];
	struct download *d = arg;
	const uint64_t n = MIN(chunk_bytes(d->w), d->left);
	struct evbuffer *buf;

	if (d->closed || d->left == 0) {
		d->w->served += d->left == 0;
		download_end(d);
		return;
	}
	buf = evbuffer_new();
	(void)evbuffer_add_reference(buf, zeros, n, NULL, NULL);
	evhttp_send_reply_chunk(d->req, buf);
	evbuffer_free(buf);
	d->left -= n;
	d->w->bytes += n;
	standin_call_after(d->w->env, CHUNK_US, on_chunk_time, d);
}

static void
on_closed(struct evhttp_connection *conn, void *arg)
{
	struct download *d = arg;

	(void)conn;
	d->closed = true;
}

static void
weight_store_request(void *self, struct evhttp_request *req)
{
	struct weight_store *w = self;
	const char *name = standin_path_tail(req, EVHTTP_REQ_GET, "/weights/");
	struct download *d;

	if (name == NULL) {
		standin_reply_error(req, 404, "no such call");
		return;
	}
	if (w->open >=
	    (uint64_t)standin_get_int(w->env->settings, "max_at_once", 4)) {
		w->refused++;
		(void)evhttp_add_header(
		    evhttp_request_get_output_headers(req), "Retry-After", "1");
		standin_reply_error(req, 429, "too many at once");
		return;
	}
	w->open++;
	d = g_new0(struct download, 1);
	*d = (struct download){
		.w = w,
		.req = req,
		.left = (uint64_t)standin_get_int(
		    json_object_get(w->env->settings, "sizes"), name,
		    1LL << 20),
	};
	evhttp_send_reply_start(req, 200, NULL);
	standin_watch_close(req, on_closed, d);
	on_chunk_time(d);
}

static json_t *
weight_store_stats(void *self, struct evhttp_request *req)
{
	const struct weight_store *w = self;

	(void)req;
	return json_pack("{s:I,s:I,s:I,s:I}", "open", (json_int_t)w->open,
	    "served", (json_int_t)w->served, "refused", (json_int_t)w->refused,
	    "bytes", (json_int_t)w->bytes);
}

/// A store of weights with a limited rate and number of downloads.
const struct standin_kind standin_weight_store = {
	.name = "weight_store",
	.start = weight_store_start,
	.request = weight_store_request,
	.changed = weight_store_changed,
	.stats = weight_store_stats,
};
