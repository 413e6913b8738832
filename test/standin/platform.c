#include "standin.h"

#include <glib.h>
#include <string.h>

/// The platform's API: the list of backend servers (the setting "instances")
/// and the calls that holders of duties make, which carry fencing numbers.
struct platform {
	struct standin_env *env;
	int64_t fence; ///< Highest fencing number seen.
	int64_t usage_calls;
	int64_t scale_calls;
	int64_t refused;
	json_t *usage; ///< name -> sum of all reported counts
	json_t *scale; ///< "zone kind" -> servers ordered
};

static void *
platform_start(struct standin_env *env)
{
	struct platform *p = g_new0(struct platform, 1);

	p->env = env;
	p->usage = json_object();
	p->scale = json_object();
	return p;
}

static void
platform_changed(void *self)
{
	struct platform *p = self;

	p->fence = MAX(p->fence, standin_get_int(p->env->settings, "fence", 0));
}

/// Checks a call's fencing number and records it; sends 409 when it is lower
/// than one seen before.
static bool
take_fence(struct platform *p, struct evhttp_request *req)
{
	const int64_t fence = (int64_t)g_ascii_strtoull(
	    standin_request_header(req, "X-Acaciahinge-Fence-Token", "0"), NULL,
	    10);

	if (fence < p->fence) {
		p->refused++;
		standin_reply_error(req, 409, "a higher fence was seen");
		return false;
	}
	p->fence = fence;
	return true;
}

static void
take_usage(struct platform *p, struct evhttp_request *req)
{
	json_t *body = standin_body_json(req);
	json_t *counts = json_object_get(body, "counts");
	const char *name;
	json_t *n;

	if (take_fence(p, req)) {
		p->usage_calls++;
		json_object_foreach(counts, name, n)
		{
			const int64_t sum = standin_get_int(p->usage, name, 0) +
			    json_integer_value(n);

			(void)json_object_set_new(
			    p->usage, name, json_integer(sum));
		}
		standin_reply(req, 200, json_pack("{s:b}", "done", 1));
	}
	json_decref(body);
}

static void
take_scale(struct platform *p, struct evhttp_request *req)
{
	json_t *body = standin_body_json(req);
	char key[128];

	if (take_fence(p, req)) {
		p->scale_calls++;
		(void)g_snprintf(key, sizeof(key), "%s %s",
		    standin_get_str(body, "zone", "-"),
		    json_is_true(json_object_get(body, "spot")) ? "spot"
								: "fixed");
		(void)json_object_set_new(p->scale, key,
		    json_integer(standin_get_int(body, "desired_count", 0)));
		standin_reply(req, 200, json_pack("{s:b}", "done", 1));
	}
	json_decref(body);
}

static void
platform_request(void *self, struct evhttp_request *req)
{
	struct platform *p = self;

	if (standin_request_is(req, EVHTTP_REQ_GET, "/instances"))
		standin_reply(req, 200,
		    json_pack("{s:O, s:n}", "instances",
			json_object_get(p->env->settings, "instances"),
			"next"));
	else if (standin_request_is(req, EVHTTP_REQ_POST, "/usage"))
		take_usage(p, req);
	else if (standin_request_is(req, EVHTTP_REQ_POST, "/scale"))
		take_scale(p, req);
	else
		standin_reply_error(req, 404, "no such call");
}

static json_t *
platform_stats(void *self, struct evhttp_request *req)
{
	const struct platform *p = self;

	(void)req;
	return json_pack("{s:I, s:I, s:I, s:I, s:O, s:O}", "fence",
	    (json_int_t)p->fence, "usage_calls", (json_int_t)p->usage_calls,
	    "scale_calls", (json_int_t)p->scale_calls, "refused",
	    (json_int_t)p->refused, "usage", p->usage, "scale", p->scale);
}

const struct standin_kind standin_platform = {
	.name = "platform",
	.start = platform_start,
	.request = platform_request,
	.changed = platform_changed,
	.stats = platform_stats,
};
