#include "app/run.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/lg.h"
#include "cli/exit.h"
#include "cli/problems.h"
#include "conf/ds.h"
#include "gateway/gw.h"
#include "hub/hb.h"
#include "loop/lp.h"

/// Names the settings file where the command line doesn't.
#define SETTINGS_VARIABLE "ACACIAHINGE_NODE_FILE"
/// The settings file may change without a signal.
#define RUN_LOOK_US (1 * TM_US_PER_S)

/// What runs in this process.
struct run {
	struct lp *loop;
	const char *file;
	char *text; ///< of the settings, as read last
	struct ds_settings settings;
	struct tm_timer *look;
	union {
		struct gw *gateway;
		struct hb *hub;
	};
};

static void
on_stop(void *arg)
{
	struct run *r = arg;

	switch (r->settings.role) {
	case DS_GATEWAY:
		gw_stop(r->gateway);
		break;
	case DS_HUB:
		hb_stop(r->hub);
		break;
	}
}

static void
apply(struct run *r, const struct ds_settings *settings)
{
	lg_event(LG_INFO, "settings.reloaded", "file=%s seeds=%u", r->file,
	    settings->n_seeds);
	switch (r->settings.role) {
	case DS_GATEWAY:
		gw_reload(r->gateway, settings);
		break;
	case DS_HUB:
		hb_reload(r->hub, settings);
		break;
	}
}

/// Reads the settings again; what can't be read changes nothing.
static void
on_reload(void *arg)
{
	struct run *r = arg;
	struct nt_problems problems = { 0 };
	struct ds_settings settings;

	if (ds_load(r->file, &settings, &problems) == ST_OK &&
	    settings.role == r->settings.role)
		apply(r, &settings);
	else
		lg_event(LG_ERROR, "settings.refused", "file=%s reason=\"%s\"",
		    r->file, problems.n > 0 ? problems.items[0].message : "");
	nt_problems_free(&problems);
}

static void
on_look(void *arg, uint64_t now_us)
{
	struct run *r = arg;
	gchar *text = NULL;

	(void)now_us;
	tm_arm_in(r->look, RUN_LOOK_US);
	if (!g_file_get_contents(r->file, &text, NULL, NULL))
		return;
	if (r->text != NULL && g_strcmp0(text, r->text) != 0)
		on_reload(r);
	g_free(r->text);
	r->text = text;
}

static enum st
start(struct run *r)
{
	switch (r->settings.role) {
	case DS_GATEWAY:
		return gw_start(r->loop, &r->settings, &r->gateway);
	case DS_HUB:
		return hb_start(r->loop, &r->settings, &r->hub);
	}
	return ST_INVALID;
}

static void
release(struct run *r)
{
	switch (r->settings.role) {
	case DS_GATEWAY:
		gw_free(r->gateway);
		break;
	case DS_HUB:
		hb_free(r->hub);
		break;
	}
}

static int
serve(struct run *r)
{
	const struct lp_callbacks callbacks = {
		.stop = on_stop,
		.reload = on_reload,
		.arg = r,
	};
	char quoted[256];
	int code;

	lg_init(r->settings.node, r->settings.log_level);
	r->loop = lp_new(0);
	lp_on_signals(r->loop, &callbacks);
	if (start(r) != ST_OK) {
		lg_event(LG_ERROR, "process.not_started", "reason=%s",
		    lg_quote(quoted, sizeof(quoted), st_last()));
		lp_free(r->loop);
		return CMD_REFUSED;
	}
	lg_event(LG_INFO, "process.started", "version=%s zone=%s first=%s",
	    AC_VERSION, r->settings.data_centre,
	    r->settings.first_start ? "yes" : "no");
	r->look = tm_subscribe(lp_timers(r->loop), on_look, r);
	tm_arm_in(r->look, 0);
	lp_run(r->loop);
	code = lp_exit_code(r->loop);
	tm_unsubscribe(r->look);
	release(r);
	lp_free(r->loop);
	g_free(r->text);
	return code;
}

static int
run_file(const char *file, enum ds_role role)
{
	struct nt_problems problems = { 0 };
	struct run r = { .file = file };

	if (ds_load(file, &r.settings, &problems) != ST_OK) {
		if (problems.n == 0)
			(void)fprintf(stderr, "%s\n", st_last());
		problems_print(stderr, file, &problems);
		nt_problems_free(&problems);
		return CMD_USAGE;
	}
	if (r.settings.role != role) {
		(void)fprintf(
		    stderr, "%s: $.role: names the other role\n", file);
		return CMD_USAGE;
	}
	return serve(&r);
}

static int
run_role(int argc, char **argv, enum ds_role role, const char *what)
{
	struct arg_lit *help =
	    arg_lit0(NULL, "help", "print this help and exit");
	struct arg_file *file = arg_file0(NULL, "settings", "FILE",
	    "settings of this process; without it, the file named by "
	    "$" SETTINGS_VARIABLE);
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	const int errors = arg_parse(argc, argv, table);
	const char *name =
	    file->count > 0 ? file->filename[0] : getenv(SETTINGS_VARIABLE);
	int code;

	if (help->count > 0) {
		(void)printf("usage: acaciahinge %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		(void)printf("%s\n\n", what);
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		code = CMD_DONE;
	} else if (errors > 0 || name == NULL) {
		arg_print_errors(stderr, end, argv[0]);
		(void)fprintf(
		    stderr, "%s: --settings FILE is needed\n", argv[0]);
		code = CMD_USAGE;
	} else {
		code = run_file(name, role);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

/// Subcommand `gateway`.
///
/// @return an exit code
int
run_gateway(int argc, char **argv)
{
	return run_role(argc, argv, DS_GATEWAY,
	    "Takes callers' requests and passes them on to the backend servers "
	    "of the platform's list.");
}

/// Subcommand `hub`.
///
/// @return an exit code
int
run_hub(int argc, char **argv)
{
	return run_role(argc, argv, DS_HUB,
	    "Keeps the replicated state of a deployment and does its duties.");
}
