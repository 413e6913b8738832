#include "common/deploy.h"

#include "common/deploy_settings.h"
#include "common/http.h"
#include "common/ports.h"

#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_US 10000
#define START_TIMEOUT_MS 15000
#define DATA_CENTRES 3

/// Folder with the settings, logs and data of the processes; owned by `d`.
const char *
deploy_folder(const struct deploy *d)
{
	return d->folder;
}

/// Port of a process for callers; of a control process, the one for its peers.
uint16_t
deploy_port(const struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	return d->processes[kind][i].port;
}

/// Port of a process for operators.
uint16_t
deploy_operators_port(const struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	return d->processes[kind][i].operators;
}

/// Starts the relay, with a link of its own from each process to each control
/// process.
static void
make_relay(struct deploy *d)
{
	const uint32_t n_control = d->shape.n[DEPLOY_CONTROL];
	const size_t n =
	    (size_t)(n_control + d->shape.n[DEPLOY_ENTRY]) * n_control;

	d->links = g_new0(struct relay_link, n);
	for (size_t i = 0; i < n; i++) {
		d->links[i].listen_port = ports_take();
		d->links[i].to_port =
		    deploy_port(d, DEPLOY_CONTROL, (uint32_t)(i % n_control));
	}
	d->relay = relay_new(d->links, n);
}

/// Finds the folder of the programs: the parent of the test program's folder.
static void
find_programs(struct deploy *d)
{
	char self[DEPLOY_PATH_BYTES];
	const ssize_t n = readlink("/proc/self/exe", self, sizeof(self) - 1);
	char *folder;
	char *build;

	self[n > 0 ? n : 0] = '\0';
	folder = g_path_get_dirname(self);
	build = g_path_get_dirname(folder);
	(void)g_strlcpy(d->bin, build, sizeof(d->bin));
	g_free(folder);
	g_free(build);
}

/// Path of a program of the build; the caller frees it.
char *
deploy_program_path(const struct deploy *d, const char *name)
{
	return g_strdup_printf("%s/%s", d->bin, name);
}

/// Process id; 0 when it was never started.
pid_t
deploy_pid(const struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	return d->processes[kind][i].pid;
}

/// Creates a deployment: its folder and the settings of all processes. Only
/// the relay is started.
///
/// @return freed by deploy_free; NULL when the folder can't be made
struct deploy *
deploy_new(const struct deploy_shape *shape)
{
	struct deploy *d = g_new0(struct deploy, 1);

	d->shape = *shape;
	if (d->shape.data_centres == 0)
		d->shape.data_centres = DATA_CENTRES;
	find_programs(d);
	(void)g_snprintf(
	    d->folder, sizeof(d->folder), "%s/ac-XXXXXX", g_get_tmp_dir());
	if (g_mkdtemp(d->folder) == NULL) {
		g_free(d);
		return NULL;
	}
	for (enum deploy_kind k = 0; k < DEPLOY_KINDS; k++) {
		for (uint32_t i = 0; i < shape->n[k]; i++) {
			d->processes[k][i].port = ports_take();
			d->processes[k][i].operators = ports_take();
		}
	}
	if (shape->relays)
		make_relay(d);
	for (enum deploy_kind k = 0; k < DEPLOY_KINDS; k++) {
		for (uint32_t i = 0; i < shape->n[k]; i++)
			deploy_write_settings(d, k, i);
	}
	return d;
}

/// Kills all processes and removes the folder, unless the environment variable
/// KEEP_FOLDER is set.
void
deploy_free(struct deploy *d)
{
	const char *const rm[] = { "/bin/rm", "-rf", d->folder, NULL };

	for (enum deploy_kind k = 0; k < DEPLOY_KINDS; k++) {
		for (uint32_t i = 0; i < d->shape.n[k]; i++)
			deploy_kill(d, k, i);
	}
	relay_free(d->relay);
	if (g_getenv("KEEP_FOLDER") == NULL)
		(void)deploy_wait_process(
		    deploy_spawn(d, "rm", rm), START_TIMEOUT_MS);
	else
		(void)fprintf(
		    stderr, "logs and data are kept in %s\n", d->folder);
	g_free(d->links);
	g_free(d);
}

/// Starts a program whose output is appended to NAME.log in the folder.
///
/// @param argv  starts with the path of the program
/// @return      its process id
pid_t
deploy_spawn(struct deploy *d, const char *name, const char *const *argv)
{
	char *log = g_strdup_printf("%s/%s.log", d->folder, name);
	const pid_t pid = fork();
	int fd;

	if (pid == 0) {
		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		(void)dup2(fd, STDOUT_FILENO);
		(void)dup2(fd, STDERR_FILENO);
		(void)execv(argv[0], (char *const *)argv);
		_exit(127);
	}
	g_free(log);
	return pid;
}

/// Starts process `i` of a kind.
void
deploy_start(struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	const bool own = kind <= DEPLOY_ENTRY;
	char *file = deploy_settings_file(d, kind, i);
	char *name = g_strdup_printf("%s-%u", deploy_kind_names[kind], i);
	char *program =
	    deploy_program_path(d, own ? "acaciahinge" : "test/standin");
	const char *const own_argv[] = { program, deploy_kind_names[kind],
		"--settings", file, NULL };
	const char *const standin_argv[] = { program, "--settings", file,
		NULL };

	d->processes[kind][i].pid =
	    deploy_spawn(d, name, own ? own_argv : standin_argv);
	g_free(file);
	g_free(name);
	g_free(program);
}

/// Sends a signal to a process if it is running.
void
deploy_signal(struct deploy *d, enum deploy_kind kind, uint32_t i, int signal)
{
	if (d->processes[kind][i].pid > 0)
		(void)kill(d->processes[kind][i].pid, signal);
}

/// Waits until a process has ended.
///
/// @param status  gets its wait status
/// @return        false when it still runs after the timeout
bool
deploy_wait_exit(struct deploy *d, enum deploy_kind kind, uint32_t i,
    uint32_t timeout_ms, int *status)
{
	const gint64 until = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	struct process *p = &d->processes[kind][i];

	while (waitpid(p->pid, status, WNOHANG) != p->pid) {
		if (g_get_monotonic_time() > until)
			return false;
		g_usleep(POLL_US);
	}
	p->pid = 0;
	return true;
}

/// Kills a process with SIGKILL and waits for its end.
void
deploy_kill(struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	struct process *p = &d->processes[kind][i];

	if (p->pid <= 0)
		return;
	(void)kill(p->pid, SIGKILL);
	(void)waitpid(p->pid, NULL, 0);
	p->pid = 0;
}

/// Stops a process with SIGTERM and starts it again.
///
/// @return whether it ended with exit code 0 and became healthy again
bool
deploy_restart(struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	int status = 0;

	deploy_signal(d, kind, i, SIGTERM);
	if (!deploy_wait_exit(d, kind, i, 2 * START_TIMEOUT_MS, &status))
		return false;
	if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
		return false;
	deploy_start(d, kind, i);
	return deploy_wait_healthy(d, kind, i, START_TIMEOUT_MS);
}

/// Removes the data of a stopped control process.
void
deploy_erase_disk(struct deploy *d, uint32_t i)
{
	char *data = g_strdup_printf("%s/data-%u", d->folder, i);
	const char *const rm[] = { "/bin/rm", "-rf", data, NULL };

	(void)deploy_wait_process(deploy_spawn(d, "rm", rm), START_TIMEOUT_MS);
	g_free(data);
}

/// Polls until a condition holds.
///
/// @return false when it doesn't hold within the timeout
bool
deploy_wait_until(deploy_condition holds, void *arg, uint32_t timeout_ms)
{
	const gint64 until = g_get_monotonic_time() + (gint64)timeout_ms * 1000;

	while (!holds(arg)) {
		if (g_get_monotonic_time() > until)
			return false;
		g_usleep(POLL_US);
	}
	return true;
}

struct health {
	uint16_t port;
};

static bool
is_healthy(void *arg)
{
	const struct health *h = arg;

	return http_status(h->port, "/healthz") == 200;
}

/// Waits until a process responds to its health check with 200.
///
/// @return false when it doesn't within the timeout
bool
deploy_wait_healthy(
    struct deploy *d, enum deploy_kind kind, uint32_t i, uint32_t timeout_ms)
{
	struct health h = {
		.port = kind == DEPLOY_CONTROL
		    ? deploy_operators_port(d, kind, i)
		    : deploy_port(d, kind, i),
	};

	return deploy_wait_until(is_healthy, &h, timeout_ms);
}

static bool
has_revision(void *arg)
{
	const struct health *h = arg;

	return http_get_number(h->port, "/v1/state", "revision") >= 1;
}

/// Waits until every entry has applied the first note.
static bool
first_in_force(struct deploy *d)
{
	for (uint32_t i = 0; i < d->shape.n[DEPLOY_ENTRY]; i++) {
		struct health h = { .port = deploy_operators_port(
					d, DEPLOY_ENTRY, i) };

		if (!deploy_wait_until(has_revision, &h, START_TIMEOUT_MS))
			return false;
	}
	return true;
}

static void
start_kind(struct deploy *d, enum deploy_kind kind)
{
	for (uint32_t i = 0; i < d->shape.n[kind]; i++)
		deploy_start(d, kind, i);
}

static bool
kind_healthy(struct deploy *d, enum deploy_kind kind)
{
	for (uint32_t i = 0; i < d->shape.n[kind]; i++) {
		if (!deploy_wait_healthy(d, kind, i, START_TIMEOUT_MS)) {
			(void)fprintf(stderr,
			    "%s-%u did not become healthy in time\n",
			    deploy_kind_names[kind], i);
			return false;
		}
	}
	return true;
}

/// Starts all processes, submits the first note and waits until every entry is
/// ready. Prints the logs when that fails.
///
/// @return whether all are ready
bool
deploy_start_all(struct deploy *d)
{
	char *note = deploy_first_note(d);
	int status = 0;
	bool ok;

	for (enum deploy_kind k = 0; k < DEPLOY_KINDS; k++)
		start_kind(d, k);
	ok = kind_healthy(d, DEPLOY_RUNNER) &&
	    kind_healthy(d, DEPLOY_SERVICE) &&
	    deploy_submit_note(d, note, &status) && first_in_force(d) &&
	    kind_healthy(d, DEPLOY_ENTRY);
	if (!ok) {
		(void)fprintf(stderr,
		    "deployment did not start: status of the first note: %d\n",
		    status);
		deploy_print_logs(d);
	}
	g_free(note);
	return ok;
}

struct submission {
	struct deploy *d;
	const char *note;
	int status;
	uint32_t next;
};

static bool
try_submit(void *arg)
{
	struct submission *s = arg;
	const struct http_request ask = {
		.port = deploy_operators_port(s->d, DEPLOY_CONTROL,
		    s->next++ % s->d->shape.n[DEPLOY_CONTROL]),
		.path = "/v1/notes",
		.body = s->note,
	};
	struct http_response a;

	http_request(&ask, &a);
	s->status = a.http_status;
	if (a.http_status == 400 || a.http_status == 409)
		(void)fprintf(stderr, "note refused: %s\n", a.body);
	http_response_free(&a);
	return s->status == 200 || s->status == 400 || s->status == 409;
}

/// Submits a note, sending it again until its outcome is known.
///
/// @param http_status  gets the status of the last response, 0 when none came
/// @return whether it was accepted
bool
deploy_submit_note(struct deploy *d, const char *note, int *http_status)
{
	struct submission s = { .d = d, .note = note };

	(void)deploy_wait_until(try_submit, &s, START_TIMEOUT_MS);
	*http_status = s.status;
	return s.status == 200;
}

/// Index of the control process that reports itself as leader; -1 when none
/// does.
int
deploy_leader(const struct deploy *d)
{
	for (uint32_t i = 0; i < d->shape.n[DEPLOY_CONTROL]; i++) {
		char *body;
		json_t *root;
		const char *leader;
		char name[32];
		bool leads;

		if (d->processes[DEPLOY_CONTROL][i].pid <= 0)
			continue;
		body = http_get(
		    deploy_operators_port(d, DEPLOY_CONTROL, i), "/v1/status");
		root = json_loads(body, 0, NULL);
		leader = json_string_value(json_object_get(root, "leader"));
		(void)g_snprintf(name, sizeof(name), "control-%u", i);
		leads = leader != NULL && strcmp(leader, name) == 0;
		json_decref(root);
		g_free(body);
		if (leads)
			return (int)i;
	}
	return -1;
}

/// Sets the fault of the link from a process to a control process. The shape
/// must have `relays`.
void
deploy_set_link(struct deploy *d, enum deploy_kind kind, uint32_t from,
    uint32_t to, enum relay_mode mode)
{
	relay_set(d->relay, deploy_link_index(d, kind, from, to), mode);
}

/// Sets the fault of all links to and from a control process.
void
deploy_isolate_control(struct deploy *d, uint32_t control, enum relay_mode mode)
{
	for (uint32_t i = 0; i < d->shape.n[DEPLOY_CONTROL]; i++) {
		if (i == control)
			continue;
		deploy_set_link(d, DEPLOY_CONTROL, i, control, mode);
		deploy_set_link(d, DEPLOY_CONTROL, control, i, mode);
	}
	for (uint32_t i = 0; i < d->shape.n[DEPLOY_ENTRY]; i++)
		deploy_set_link(d, DEPLOY_ENTRY, i, control, mode);
}

/// Waits for the end of a program that deploy_spawn started, and kills it after
/// the timeout.
///
/// @return its exit code, -1 when it was killed
int
deploy_wait_process(pid_t pid, uint32_t timeout_ms)
{
	const gint64 until = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	int status;

	while (waitpid(pid, &status, WNOHANG) != pid) {
		if (g_get_monotonic_time() > until) {
			(void)kill(pid, SIGKILL);
			(void)waitpid(pid, &status, 0);
			return -1;
		}
		g_usleep(POLL_US);
	}
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/// Prints the end of every process's log to stderr.
void
deploy_print_logs(const struct deploy *d)
{
	GDir *dir = g_dir_open(d->folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *file = g_build_filename(d->folder, name, NULL);
		char *text = NULL;
		gsize len = 0;

		if (g_str_has_suffix(name, ".log") &&
		    g_file_get_contents(file, &text, &len, NULL) && len > 0)
			(void)fprintf(stderr, "--- %s\n%s", name,
			    len > 4000 ? text + len - 4000 : text);
		g_free(text);
		g_free(file);
	}
	if (dir != NULL)
		g_dir_close(dir);
}
