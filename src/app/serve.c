#include "app/serve.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/fileio.h"
#include "base/logger.h"
#include "cli/exit_code.h"
#include "cli/problems.h"
#include "conf/settings.h"
#include "conf/bootstrap.h"
#include "control/control.h"
#include "entry/entry.h"
#include "gateway/gateway.h"
#include "hub/hub.h"
#include "loop/loop.h"

/// Names the settings file of a process that finds its deployment by seeds
/// where the command line doesn't.
#define SETTINGS_VARIABLE "ACACIAHINGE_NODE_FILE"
/// The settings file of such a process may change without a signal.
#define LOOK_US (1 * USEC_PER_SEC)

#define QUOTED_BYTES 256

enum role {
	ROLE_ENTRY,
	ROLE_CONTROL,
	ROLE_GATEWAY,
	ROLE_HUB,
};

/// Settings of one process. Entries and control name all of control; gateways
/// and hubs find it by seeds.
struct role_settings {
	enum role role;
	union {
		struct settings named;
		struct bootstrap_settings seeded;
	};
};

/// What runs in this process.
struct run {
	struct loop *loop;
	const char *file;
	char *text; ///< of the settings, as read last
	struct role_settings settings;
	struct timerq_timer *look;
	union {
		struct entry *entry;
		struct control *control;
		struct gateway *gateway;
		struct hub *hub;
	};
};

static bool
has_seeds(enum role role)
{
	return role == ROLE_GATEWAY || role == ROLE_HUB;
}

/// Reads settings, which must be those of a role.
///
/// @param problems  receives every mistake; without one status_last() explains
static enum status
load(const char *file, enum role role, struct role_settings *out,
    struct spec_problems *problems)
{
	enum status st;

	if (has_seeds(role)) {
		st = bootstrap_load(file, &out->seeded, problems);
		out->role = out->seeded.role == BOOTSTRAP_ROLE_HUB
		    ? ROLE_HUB
		    : ROLE_GATEWAY;
	} else {
		st = settings_load(file, &out->named, problems);
		out->role = out->named.role == SETTINGS_ROLE_CONTROL
		    ? ROLE_CONTROL
		    : ROLE_ENTRY;
	}
	if (st != STATUS_OK || out->role == role)
		return st;
	return status_fail(STATUS_INVALID, "$.role: names the other role");
}

static enum status
start(struct run *r)
{
	const struct role_settings *s = &r->settings;

	switch (s->role) {
	case ROLE_ENTRY:
		return entry_start(r->loop, &s->named, &r->entry);
	case ROLE_CONTROL:
		return control_start(r->loop, &s->named, &r->control);
	case ROLE_GATEWAY:
		return gateway_start(r->loop, &s->seeded, &r->gateway);
	case ROLE_HUB:
		return hub_start(r->loop, &s->seeded, &r->hub);
	}
	return STATUS_INVALID;
}

static void
release(struct run *r)
{
	switch (r->settings.role) {
	case ROLE_ENTRY:
		entry_free(r->entry);
		break;
	case ROLE_CONTROL:
		control_free(r->control);
		break;
	case ROLE_GATEWAY:
		gateway_free(r->gateway);
		break;
	case ROLE_HUB:
		hub_free(r->hub);
		break;
	}
}

static void
on_stop(void *arg)
{
	struct run *r = arg;

	switch (r->settings.role) {
	case ROLE_ENTRY:
		entry_stop(r->entry);
		break;
	case ROLE_CONTROL:
		control_stop(r->control);
		break;
	case ROLE_GATEWAY:
		gateway_stop(r->gateway);
		break;
	case ROLE_HUB:
		hub_stop(r->hub);
		break;
	}
}

/// Reads the settings again; what can't be read changes nothing.
static void
on_reload(void *arg)
{
	struct run *r = arg;
	struct spec_problems problems = { 0 };
	struct role_settings s;
	char quoted[QUOTED_BYTES];

	if (load(r->file, r->settings.role, &s, &problems) != STATUS_OK) {
		logger_event(LOGGER_ERROR, "settings.refused",
		    "file=%s reason=%s", r->file,
		    logger_quote(quoted, sizeof(quoted), status_last()));
		problems_print(stderr, r->file, &problems);
		spec_problems_free(&problems);
		return;
	}
	logger_event(LOGGER_INFO, "settings.reloaded", "file=%s", r->file);
	switch (s.role) {
	case ROLE_ENTRY:
		entry_reload(r->entry, &s.named);
		break;
	case ROLE_CONTROL:
		control_reload(r->control, &s.named);
		break;
	case ROLE_GATEWAY:
		gateway_reload(r->gateway, &s.seeded);
		break;
	case ROLE_HUB:
		hub_reload(r->hub, &s.seeded);
		break;
	}
}

static void
on_look(void *arg, uint64_t now_us)
{
	struct run *r = arg;
	char *text;

	(void)now_us;
	timerq_arm_in(r->look, LOOK_US);
	if (fileio_read(r->file, &text, NULL) != STATUS_OK)
		return;
	if (r->text != NULL && strcmp(text, r->text) != 0)
		on_reload(r);
	g_free(r->text);
	r->text = text;
}

static void
log_started(const struct role_settings *s)
{
	if (has_seeds(s->role))
		logger_event(LOGGER_INFO, "process.started",
		    "version=%s pid=%d zone=%s first=%s", AC_VERSION,
		    (int)getpid(), s->seeded.data_centre,
		    s->seeded.first_start ? "yes" : "no");
	else
		logger_event(LOGGER_INFO, "process.started",
		    "version=%s pid=%d", AC_VERSION, (int)getpid());
}

static int
serve(struct run *r)
{
	const struct loop_callbacks callbacks = {
		.stop = on_stop,
		.reload = on_reload,
		.arg = r,
	};
	const struct role_settings *s = &r->settings;
	const bool seeds = has_seeds(s->role);
	char quoted[QUOTED_BYTES];
	int code;

	logger_init(seeds ? s->seeded.node : s->named.node,
	    seeds ? s->seeded.log_level : s->named.log_level);
	r->loop = loop_new(seeds ? 0 : s->named.seed);
	loop_on_signals(r->loop, &callbacks);
	if (start(r) != STATUS_OK) {
		logger_event(LOGGER_ERROR, "process.not_started", "reason=%s",
		    logger_quote(quoted, sizeof(quoted), status_last()));
		loop_free(r->loop);
		return CLI_REFUSED;
	}
	log_started(s);
	if (seeds) {
		r->look = timerq_timer_new(loop_timers(r->loop), on_look, r);
		timerq_arm_in(r->look, 0);
	}
	loop_run(r->loop);
	code = loop_exit_code(r->loop);
	timerq_timer_free(r->look);
	release(r);
	loop_free(r->loop);
	g_free(r->text);
	return code;
}

static int
run_file(const char *file, enum role role)
{
	struct spec_problems problems = { 0 };
	struct run r = { .file = file };

	if (load(file, role, &r.settings, &problems) != STATUS_OK) {
		problems_print(stderr, file, &problems);
		spec_problems_free(&problems);
		return CLI_USAGE;
	}
	return serve(&r);
}

static int
run_role(int argc, char **argv, enum role role, const char *what)
{
	struct arg_lit *help =
	    arg_lit0(NULL, "help", "print this help and exit");
	struct arg_file *file = arg_file0(NULL, "settings", "FILE",
	    has_seeds(role) ? "settings of this process; without it, the file "
			      "named by $" SETTINGS_VARIABLE
			    : "settings of this process (docs/SETTINGS.md)");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	const int errors = arg_parse(argc, argv, table);
	const char *name = has_seeds(role) ? getenv(SETTINGS_VARIABLE) : NULL;
	int code;

	if (file->count > 0)
		name = file->filename[0];
	if (help->count > 0) {
		(void)printf("usage: acaciahinge %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		(void)printf("%s\n\n", what);
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		code = CLI_OK;
	} else if (errors > 0 || name == NULL) {
		arg_print_errors(stderr, end, argv[0]);
		(void)fprintf(
		    stderr, "%s: --settings FILE is needed\n", argv[0]);
		code = CLI_USAGE;
	} else {
		code = run_file(name, role);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

/// Subcommand `entry`.
///
/// @return an exit code
int
serve_entry(int argc, char **argv)
{
	return run_role(argc, argv, ROLE_ENTRY,
	    "Takes callers' requests and answers them through the backend "
	    "servers.");
}

/// Subcommand `control`.
///
/// @return an exit code
int
serve_control(int argc, char **argv)
{
	return run_role(argc, argv, ROLE_CONTROL,
	    "Keeps the replicated state and decides about versions and "
	    "backend servers.");
}

/// Subcommand `gateway`.
///
/// @return an exit code
int
serve_gateway(int argc, char **argv)
{
	return run_role(argc, argv, ROLE_GATEWAY,
	    "Takes callers' requests and passes them on to the backend servers "
	    "of the platform's list.");
}

/// Subcommand `hub`.
///
/// @return an exit code
int
serve_hub(int argc, char **argv)
{
	return run_role(argc, argv, ROLE_HUB,
	    "Keeps the replicated state of a deployment and does its duties.");
}
