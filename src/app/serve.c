#include "app/serve.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/fileio.h"
#include "base/logger.h"
#include "base/watchdog.h"
#include "cli/exit_code.h"
#include "cli/problems.h"
#include "conf/settings.h"
#include "conf/bootstrap.h"
#include "control/control.h"
#include "entry/entry.h"
#include "gateway/gateway.h"
#include "hub/hub.h"
#include "loop/loop.h"

/// Environment variable with the settings file of a process that finds its
/// deployment by seeds, for when the command line names none.
#define SETTINGS_VARIABLE "ACACIAHINGE_NODE_FILE"
/// How often the settings file of such a process is checked for changes, since
/// it may change without a signal.
#define RELOAD_POLL_US (1 * USEC_PER_SEC)

#define QUOTED_BYTES 256
/// Release takes some milliseconds; whoever stops a process waits for its end.
#define RELEASE_LIMIT_S 2

enum role {
	ROLE_ENTRY,
	ROLE_CONTROL,
	ROLE_GATEWAY,
	ROLE_HUB,
};

/// Settings of one process. Those of entries and control processes list the
/// control processes; gateways and hubs find them by seeds.
struct role_settings {
	enum role role;
	union {
		struct settings named;
		struct bootstrap_settings seeded;
	};
};

/// This process: its settings and the server that runs in it.
struct process {
	struct loop *loop;
	const char *file;
	char *text; ///< of the settings file, as last read; NULL before
	struct role_settings settings;
	struct timerq_timer *reload_timer;
	union {
		struct entry *entry;
		struct control *control;
		struct gateway *gateway;
		struct hub *hub;
	};
};

/// Whether processes of a role find the deployment by the seeds in their
/// settings (struct bootstrap_settings).
static bool
finds_by_seeds(enum role role)
{
	return role == ROLE_GATEWAY || role == ROLE_HUB;
}

/// Loads settings, which must be those of a role.
///
/// @param problems  receives every problem, to be released with
///                  spec_problems_free(); when empty, status_last() says why
static enum status
load(const char *file, enum role role, struct role_settings *out,
    struct spec_problems *problems)
{
	enum status st;

	if (finds_by_seeds(role)) {
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
	return status_fail(STATUS_INVALID,
	    "$.role: differs from the role that the subcommand runs");
}

static enum status
start(struct process *p)
{
	const struct role_settings *s = &p->settings;

	switch (s->role) {
	case ROLE_ENTRY:
		return entry_start(p->loop, &s->named, &p->entry);
	case ROLE_CONTROL:
		return control_start(p->loop, &s->named, &p->control);
	case ROLE_GATEWAY:
		return gateway_start(p->loop, &s->seeded, &p->gateway);
	case ROLE_HUB:
		return hub_start(p->loop, &s->seeded, &p->hub);
	}
	return STATUS_INVALID;
}

static void
release(struct process *p)
{
	switch (p->settings.role) {
	case ROLE_ENTRY:
		entry_free(p->entry);
		break;
	case ROLE_CONTROL:
		control_free(p->control);
		break;
	case ROLE_GATEWAY:
		gateway_free(p->gateway);
		break;
	case ROLE_HUB:
		hub_free(p->hub);
		break;
	}
}

static void
on_stop(void *arg)
{
	struct process *p = arg;

	switch (p->settings.role) {
	case ROLE_ENTRY:
		entry_stop(p->entry);
		break;
	case ROLE_CONTROL:
		control_stop(p->control);
		break;
	case ROLE_GATEWAY:
		gateway_stop(p->gateway);
		break;
	case ROLE_HUB:
		hub_stop(p->hub);
		break;
	}
}

/// Reloads the settings; invalid ones are logged and change nothing.
static void
on_reload(void *arg)
{
	struct process *p = arg;
	struct spec_problems problems = { 0 };
	struct role_settings s;
	char quoted[QUOTED_BYTES];

	if (load(p->file, p->settings.role, &s, &problems) != STATUS_OK) {
		logger_event(LOGGER_ERROR, "settings.refused",
		    "file=%s reason=%s", p->file,
		    logger_quote(quoted, sizeof(quoted), status_last()));
		problems_print(stderr, p->file, &problems);
		spec_problems_free(&problems);
		return;
	}
	logger_event(LOGGER_INFO, "settings.reloaded", "file=%s", p->file);
	switch (s.role) {
	case ROLE_ENTRY:
		entry_reload(p->entry, &s.named);
		break;
	case ROLE_CONTROL:
		control_reload(p->control, &s.named);
		break;
	case ROLE_GATEWAY:
		gateway_reload(p->gateway, &s.seeded);
		break;
	case ROLE_HUB:
		hub_reload(p->hub, &s.seeded);
		break;
	}
}

/// Reloads the settings when the text of their file has changed.
static void
on_reload_timer(void *arg, uint64_t now_us)
{
	struct process *p = arg;
	char *text;

	(void)now_us;
	timerq_arm_in(p->reload_timer, RELOAD_POLL_US);
	if (fileio_read(p->file, &text, NULL) != STATUS_OK)
		return;
	if (p->text != NULL && strcmp(text, p->text) != 0)
		on_reload(p);
	g_free(p->text);
	p->text = text;
}

/// `first=yes` is the setting first_start: the first start of the whole
/// deployment, not of this process.
static void
log_started(const struct role_settings *s)
{
	if (finds_by_seeds(s->role))
		logger_event(LOGGER_INFO, "process.started",
		    "version=%s pid=%d zone=%s first=%s", AC_VERSION,
		    (int)getpid(), s->seeded.data_centre,
		    s->seeded.first_start ? "yes" : "no");
	else
		logger_event(LOGGER_INFO, "process.started",
		    "version=%s pid=%d", AC_VERSION, (int)getpid());
}

static int
serve(struct process *p)
{
	const struct loop_callbacks callbacks = {
		.stop = on_stop,
		.reload = on_reload,
		.arg = p,
	};
	const struct role_settings *s = &p->settings;
	const bool seeds = finds_by_seeds(s->role);
	char quoted[QUOTED_BYTES];
	int code;

	logger_init(seeds ? s->seeded.node : s->named.node,
	    seeds ? s->seeded.log_level : s->named.log_level);
	p->loop = loop_new(seeds ? 0 : s->named.seed);
	loop_on_signals(p->loop, &callbacks);
	if (start(p) != STATUS_OK) {
		logger_event(LOGGER_ERROR, "process.not_started", "reason=%s",
		    logger_quote(quoted, sizeof(quoted), status_last()));
		loop_free(p->loop);
		return CLI_REFUSED;
	}
	log_started(s);
	if (seeds) {
		p->reload_timer =
		    timerq_timer_new(loop_timers(p->loop), on_reload_timer, p);
		timerq_arm_in(p->reload_timer, 0);
	}
	loop_run(p->loop);
	code = loop_exit_code(p->loop);
	watchdog_start(RELEASE_LIMIT_S, code);
	timerq_timer_free(p->reload_timer);
	release(p);
	loop_free(p->loop);
	watchdog_stop();
	g_free(p->text);
	return code;
}

static int
run_file(const char *file, enum role role)
{
	struct spec_problems problems = { 0 };
	struct process p = { .file = file };

	if (load(file, role, &p.settings, &problems) != STATUS_OK) {
		problems_print(stderr, file, &problems);
		spec_problems_free(&problems);
		return CLI_USAGE;
	}
	return serve(&p);
}

static int
run_role(int argc, char **argv, enum role role, const char *summary)
{
	struct arg_lit *help =
	    arg_lit0(NULL, "help", "print this help and exit");
	struct arg_file *file = arg_file0(NULL, "settings", "FILE",
	    finds_by_seeds(role)
		? "settings of this process; without it, the file "
		  "named by $" SETTINGS_VARIABLE
		: "settings of this process (docs/SETTINGS.md)");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	const int errors = arg_parse(argc, argv, table);
	const char *name =
	    finds_by_seeds(role) ? getenv(SETTINGS_VARIABLE) : NULL;
	int code;

	if (file->count > 0)
		name = file->filename[0];
	if (help->count > 0) {
		(void)printf("usage: acaciahinge %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		(void)printf("%s\n\n", summary);
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
int
serve_entry(int argc, char **argv)
{
	return run_role(argc, argv, ROLE_ENTRY,
	    "Accepts callers' requests and serves them through the backend "
	    "servers.");
}

/// Subcommand `control`.
int
serve_control(int argc, char **argv)
{
	return run_role(argc, argv, ROLE_CONTROL,
	    "Keeps the replicated state and decides about versions and "
	    "backend servers.");
}

/// Subcommand `gateway`.
int
serve_gateway(int argc, char **argv)
{
	return run_role(argc, argv, ROLE_GATEWAY,
	    "Accepts callers' requests and forwards them to the backend "
	    "servers of the platform's list.");
}

/// Subcommand `hub`.
int
serve_hub(int argc, char **argv)
{
	return run_role(argc, argv, ROLE_HUB,
	    "Keeps the replicated state of a deployment and carries out "
	    "its duties.");
}
