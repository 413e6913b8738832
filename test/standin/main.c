#include "standin.h"

#include <event2/http_struct.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_BODY_BYTES (64 << 20)
#define ADDRESS_BYTES 64

struct program {
	struct standin_env env;
	const struct standin_kind *kind;
	void *self;
};

static const struct standin_kind *const kinds[] = {
	&standin_runner,
	&standin_service,
	&standin_cloud,
	&standin_vm_list,
	&standin_weight_store,
	&standin_platform,
	&standin_backend,
	&standin_raw,
	NULL,
};

static const struct standin_kind *
kind_of(const char *name)
{
	for (size_t i = 0; kinds[i] != NULL; i++) {
		if (strcmp(kinds[i]->name, name) == 0)
			return kinds[i];
	}
	return NULL;
}

/// POST /test/set: replaces the given keys of the settings.
static void
change_settings(struct program *p, struct evhttp_request *req)
{
	json_t *body = standin_body_json(req);

	if (body == NULL) {
		standin_reply_error(req, 400, "a JSON object is expected");
		return;
	}
	(void)json_object_update(p->env.settings, body);
	json_decref(body);
	p->kind->changed(p->self);
	standin_reply(req, 200, json_pack("{s:b}", "done", 1));
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct program *p = arg;

	standin_no_delay(req);
	if (standin_request_is(req, EVHTTP_REQ_POST, "/test/set"))
		change_settings(p, req);
	else if (standin_request_is(req, EVHTTP_REQ_GET, "/test/stats"))
		standin_reply(req, 200, p->kind->stats(p->self, req));
	else if (standin_request_is(req, EVHTTP_REQ_GET, "/healthz"))
		standin_reply(req, 200, json_pack("{s:s}", "status", "ok"));
	else
		p->kind->request(p->self, req);
}

static void
on_signal(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)event_base_loopbreak(arg);
}

static struct event_base *
make_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	(void)event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

/// Opens the HTTP server on "host:port".
///
/// @return 0, or -1 when the address is malformed or can't be bound
static int
listen_on(struct program *p, const char *address)
{
	char host[ADDRESS_BYTES];
	const char *colon = strrchr(address, ':');

	if (colon == NULL || (size_t)(colon - address) >= sizeof(host))
		return -1;
	(void)g_strlcpy(host, address, (gsize)(colon - address) + 1);
	p->env.http = evhttp_new(p->env.base);
	evhttp_set_gencb(p->env.http, on_request, p);
	evhttp_set_max_body_size(p->env.http, MAX_BODY_BYTES);
	evhttp_set_allowed_methods(
	    p->env.http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
	return evhttp_bind_socket(
	    p->env.http, host, (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
}

static int
run_standin(struct program *p)
{
	const char *address = standin_get_str(p->env.settings, "address", "");
	struct event *term;

	p->kind = kind_of(standin_get_str(p->env.settings, "kind", ""));
	if (p->kind == NULL) {
		(void)fprintf(stderr, "standin: unknown kind\n");
		return 64;
	}
	(void)signal(SIGPIPE, SIG_IGN);
	p->env.base = make_base();
	p->env.rnd =
	    rnd_new((uint64_t)standin_get_int(p->env.settings, "seed", 1));
	p->self = p->kind->start(&p->env);
	if (listen_on(p, address) != 0) {
		(void)fprintf(stderr, "standin: can't listen on %s\n", address);
		return 1;
	}
	term = evsignal_new(p->env.base, SIGTERM, on_signal, p->env.base);
	(void)evsignal_add(term, NULL);
	(void)event_base_dispatch(p->env.base);
	event_free(term);
	return 0;
}

/// Runs one stand-in until SIGTERM.
int
main(int argc, char **argv)
{
	// Never freed: a stand-in's memory lives until the process ends.
	static struct program p;
	json_error_t error;

	if (argc != 3 || strcmp(argv[1], "--settings") != 0) {
		(void)fprintf(stderr, "usage: standin --settings FILE\n");
		return 64;
	}
	p.env.settings = json_load_file(argv[2], 0, &error);
	if (!json_is_object(p.env.settings)) {
		(void)fprintf(stderr, "standin: %s line %d: %s\n", argv[2],
		    error.line, error.text);
		return 64;
	}
	return run_standin(&p);
}
