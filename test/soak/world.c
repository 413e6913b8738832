#include "soak.h"

#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define TICK_US (20 * USEC_PER_MSEC)
/// An ended process is restarted after this time.
#define RESTART_US (200 * USEC_PER_MSEC)
/// Last octets of addresses.
#define HUB_AT 11
#define HUB_LISTENS_AT 111
#define GATEWAY_AT 131
#define SERVER_AT 31
#define PEER_PORT 7600
#define MAX_OPEN_FOLDERS 16

static const char *const zones[] = { "csepel", "angyalfold", "kelenfold" };

/// Writes an address of this run's loopback network.
///
/// @param last  last octet
/// @param out   SOAK_HOST_BYTES long
void
soak_host_address(const struct soak *s, uint32_t last, char *out)
{
	(void)g_snprintf(out, SOAK_HOST_BYTES, "127.%u.%u.%u", 1 + s->net % 62,
	    s->net / 62 % 4, last);
}

static char *
path_of(const struct soak *s, const struct soak_process *p, const char *ending)
{
	return g_strdup_printf("%s/%s%s", s->folder, p->name, ending);
}

static void
write_file(const char *path, const char *text)
{
	if (!g_file_set_contents(path, text, -1, NULL))
		g_error("can't write %s", path);
}

/// Writes a process's clock and disk faults into the file that its shim reads.
void
soak_process_misbehave(struct soak *s, const struct soak_process *p)
{
	char *path = path_of(s, p, ".faults");
	char *text = g_strdup_printf(
	    "%d %d %d\n", p->clock_ms, p->sync_ms, p->full ? 1 : 0);

	write_file(path, text);
	g_free(text);
	g_free(path);
}

static char *
seeds_json(const struct soak *s)
{
	GString *out = g_string_new(NULL);

	for (uint32_t i = 0; i < 3; i++)
		g_string_append_printf(
		    out, "%s\"%s:8229\"", i > 0 ? ", " : "", s->hubs[i].host);
	return g_string_free(out, FALSE);
}

static void
write_settings(struct soak *s, const struct soak_process *p, bool first_start)
{
	const char *zone = zones[p->number % G_N_ELEMENTS(zones)];
	char listens[SOAK_HOST_BYTES];
	char platform[SOAK_HOST_BYTES];
	GString *out = g_string_new("{");
	char *path = path_of(s, p, ".json");
	char *list = seeds_json(s);

	soak_host_address(s, HUB_LISTENS_AT + p->number, listens);
	soak_host_address(s, SOAK_PLATFORM_AT, platform);
	if (p->role == SOAK_HUB)
		g_string_append_printf(out,
		    "\"role\": \"hub\", \"operators\": \"%s:8229\","
		    "\"peer_listen\": \"%s:%d\","
		    "\"data_folder\": \"%s/%s.data\",",
		    p->host, listens, PEER_PORT, s->folder, p->name);
	else
		g_string_append_printf(out,
		    "\"role\": \"gateway\", \"callers\": \"%s:8221\","
		    "\"ready\": \"%s:8224\",",
		    p->host, p->host);
	g_string_append_printf(out,
	    "\"node\": \"%s\", \"host\": \"%s\", \"data_centre\": \"%s\","
	    "\"peer_port\": %d, \"seeds\": [%s], \"first_start\": %s,"
	    "\"cloud\": \"%s:%d\","
	    "\"duties\": [\"usage_report\", \"autoscaling\"],"
	    "\"zones\": {\"csepel\": \"budapest\", \"angyalfold\": "
	    "\"budapest\", \"kelenfold\": \"budapest\"},"
	    "\"tolerated_vms\": 1, \"bounds\": {\"stop_s\": %d,"
	    "\"usage_window_s\": 1, \"duty_lease_ms\": 500,"
	    "\"contact_ms\": 3000, \"drain_ms\": 3000, \"apply_ms\": 2000,"
	    "\"revoke_ms\": 3000}}\n",
	    p->name, p->host, zone, PEER_PORT, list,
	    first_start ? "true" : "false", platform, SOAK_PORT, SOAK_STOP_S);
	write_file(path, out->str);
	(void)g_string_free(out, TRUE);
	g_free(list);
	g_free(path);
}

/// Replaces the forked child by the program, with the shim loaded.
static void
exec_program(const struct soak *s, const struct soak_process *p)
{
	char *program = g_strdup_printf("%s/acaciahinge", s->bin);
	char *settings = path_of(s, p, ".json");
	char *log = path_of(s, p, ".log");
	char *faults = path_of(s, p, ".faults");
	char *shim = g_strdup_printf("%s/test/libsoak_shim.so", s->bin);
	const int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	(void)dup2(fd, STDOUT_FILENO);
	(void)dup2(fd, STDERR_FILENO);
	(void)g_setenv("SOAK_FAULTS", faults, TRUE);
	if (access(shim, R_OK) == 0)
		(void)g_setenv("LD_PRELOAD", shim, TRUE);
	(void)execl(program, program, p->role == SOAK_HUB ? "hub" : "gateway",
	    "--settings", settings, (char *)NULL);
	_exit(127);
}

static void
start_process(struct soak *s, struct soak_process *p)
{
	p->start_us = 0;
	p->ending = false;
	p->frozen = false;
	p->pid = fork();
	if (p->pid == 0)
		exec_program(s, p);
}

/// Sends a signal to a process if it is running.
void
soak_process_signal(struct soak *s, struct soak_process *p, int signal)
{
	(void)s;
	if (p->pid <= 0)
		return;
	p->frozen = signal == SIGSTOP || (p->frozen && signal != SIGCONT);
	(void)kill(p->pid, signal);
}

/// Ends a process with a signal; it is restarted after `away_us`, at the
/// earliest after RESTART_US.
void
soak_process_stop(
    struct soak *s, struct soak_process *p, int signal, uint64_t away_us)
{
	if (p->pid <= 0 || p->ending)
		return;
	p->ending = true;
	p->start_us = soak_now_us(s) + MAX(away_us, RESTART_US);
	if (signal == SIGTERM)
		p->kill_us = soak_now_us(s) + SOAK_STOP_S * USEC_PER_SEC;
	if (p->frozen && signal != SIGKILL)
		soak_process_signal(s, p, SIGCONT);
	(void)kill(p->pid, signal);
}

static int
remove_entry(
    const char *path, const struct stat *st, int kind, struct FTW *where)
{
	(void)st;
	(void)kind;
	(void)where;
	return remove(path);
}

/// Removes the data of a process that has ended; it will rejoin as a new node.
static void
lose_disk(struct soak *s, struct soak_process *p)
{
	char *data = path_of(s, p, ".data");

	(void)nftw(data, remove_entry, MAX_OPEN_FOLDERS, FTW_DEPTH | FTW_PHYS);
	(void)g_mkdir_with_parents(data, 0755);
	write_settings(s, p, false);
	g_free(data);
}

static void
handle_exit(struct soak *s, struct soak_process *p, int status)
{
	const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
	const bool may_exit = soak_now_us(s) < p->may_exit_until_us;

	p->pid = 0;
	p->kill_us = 0;
	if (p->loses_disk)
		lose_disk(s, p);
	p->loses_disk = false;
	if (!p->ending && !may_exit)
		soak_violation(s, "%s exited unexpectedly, status %#x", p->name,
		    (unsigned)status);
	else if (p->ending && !clean && !WIFSIGNALED(status) && !may_exit)
		soak_violation(s, "%s failed while stopping, status %#x",
		    p->name, (unsigned)status);
	if (p->start_us == 0)
		p->start_us = soak_now_us(s) + RESTART_US;
	p->misses = 2;
	p->out = true;
}

static void
check_process(struct soak *s, struct soak_process *p)
{
	const uint64_t now = soak_now_us(s);
	int status = 0;

	if (p->pid > 0 && waitpid(p->pid, &status, WNOHANG) == p->pid)
		handle_exit(s, p, status);
	if (p->pid > 0 && p->kill_us != 0 && now > p->kill_us) {
		soak_violation(s,
		    "%s did not stop within its time after SIGTERM", p->name);
		(void)kill(p->pid, SIGKILL);
		p->kill_us = 0;
	}
	if (p->pid == 0 && p->start_us != 0 && now >= p->start_us)
		start_process(s, p);
}

static void
on_tick(void *arg, uint64_t now_us)
{
	struct soak *s = arg;

	(void)now_us;
	timerq_arm_in(s->ticks[0], TICK_US);
	for (uint32_t i = 0; i < s->n_hubs; i++)
		check_process(s, &s->hubs[i]);
	for (uint32_t i = 0; i < s->n_gateways; i++)
		check_process(s, &s->gateways[i]);
}

static void
name_process(
    struct soak *s, struct soak_process *p, enum soak_role role, uint32_t i)
{
	p->role = role;
	p->number = i;
	p->out = true;
	soak_host_address(
	    s, (role == SOAK_HUB ? HUB_AT : GATEWAY_AT) + i, p->host);
	(void)g_snprintf(p->name, sizeof(p->name), "%s-%u",
	    role == SOAK_HUB ? "core" : "front", i);
}

/// Starts the relay: the links to hubs come first, then those to servers.
static void
start_relay(struct soak *s)
{
	struct relay_link links[SOAK_MAX_HUBS + SOAK_MAX_SERVERS];
	char to[SOAK_MAX_HUBS + SOAK_MAX_SERVERS][SOAK_HOST_BYTES];
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_hubs; i++, n++) {
		soak_host_address(s, HUB_LISTENS_AT + i, to[n]);
		links[n] = (struct relay_link){ PEER_PORT, PEER_PORT,
			s->hubs[i].host, to[n] };
	}
	for (uint32_t i = 0; i < s->n_servers; i++, n++) {
		soak_host_address(s, SERVER_AT + i, s->servers[i].host);
		soak_host_address(s, SOAK_SERVER_LISTENS_AT + i, to[n]);
		links[n] = (struct relay_link){ SOAK_PORT, SOAK_PORT,
			s->servers[i].host, to[n] };
	}
	s->relay = relay_new(links, n);
}

/// Sets the fault of the links to a hub.
void
soak_set_hub_link(
    struct soak *s, const struct soak_process *hub, enum relay_mode mode)
{
	relay_set(s->relay, hub->number, mode);
}

/// Sets the fault of the connections to a server.
void
soak_set_server_link(
    struct soak *s, const struct soak_server *v, enum relay_mode mode)
{
	relay_set(s->relay, s->n_hubs + v->number, mode);
}

static void
prepare_process(struct soak *s, struct soak_process *p)
{
	char *data = path_of(s, p, ".data");

	if (p->role == SOAK_HUB)
		(void)g_mkdir_with_parents(data, 0755);
	write_settings(s, p, true);
	soak_process_misbehave(s, p);
	g_free(data);
	start_process(s, p);
}

/// Starts all gateways and hubs and restarts them when they end.
void
soak_world_start(struct soak *s)
{
	for (uint32_t i = 0; i < s->n_hubs; i++)
		name_process(s, &s->hubs[i], SOAK_HUB, i);
	for (uint32_t i = 0; i < s->n_gateways; i++)
		name_process(s, &s->gateways[i], SOAK_GATEWAY, i);
	start_relay(s);
	for (uint32_t i = 0; i < s->n_hubs; i++)
		prepare_process(s, &s->hubs[i]);
	for (uint32_t i = 0; i < s->n_gateways; i++)
		prepare_process(s, &s->gateways[i]);
	s->ticks[0] = timerq_timer_new(s->timers, on_tick, s);
	timerq_arm_in(s->ticks[0], TICK_US);
}

static void
kill_process(struct soak_process *p)
{
	if (p->pid <= 0)
		return;
	(void)kill(p->pid, SIGKILL);
	(void)waitpid(p->pid, NULL, 0);
}

/// Kills all processes and stops the relay; the folder with the logs stays
/// when an invariant was violated.
void
soak_world_stop(struct soak *s)
{
	for (uint32_t i = 0; i < s->n_hubs; i++)
		kill_process(&s->hubs[i]);
	for (uint32_t i = 0; i < s->n_gateways; i++)
		kill_process(&s->gateways[i]);
	relay_free(s->relay);
	if (s->n_violations == 0 && !s->keep)
		(void)nftw(s->folder, remove_entry, MAX_OPEN_FOLDERS,
		    FTW_DEPTH | FTW_PHYS);
	else
		(void)printf("logs are kept in %s\n", s->folder);
}
