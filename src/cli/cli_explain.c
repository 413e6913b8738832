#include "base/fileio.h"
#include "cli/cli.h"

#include <argtable2.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define MAX_ERRORS 8
#define MAX_FILES 256

/// A log line and its time, by which lines are sorted.
struct line {
	char *time;
	char *text;
};

static void
line_clear(gpointer p)
{
	struct line *l = p;

	g_free(l->time);
	g_free(l->text);
}

/// Value of a key in a line of key=value pairs, to be released with g_free();
/// NULL when there is none.
static char *
get_value(const char *line, const char *key)
{
	char *pattern = g_strdup_printf(" %s=", key);
	const char *at = strstr(line, pattern);
	const char *end;

	if (at != NULL)
		at += strlen(pattern);
	else if (g_str_has_prefix(line, pattern + 1))
		at = line + strlen(pattern) - 1;
	g_free(pattern);
	if (at == NULL)
		return NULL;
	if (*at == '"') {
		at++;
		end = strchr(at, '"');
	} else {
		end = strchr(at, ' ');
	}
	return end == NULL ? g_strdup(at) : g_strndup(at, (gsize)(end - at));
}

/// Lines that explain one request.
struct account {
	GArray *lines;       ///< struct line: of the request
	GArray *evacuations; ///< struct line: changes of the evacuated data
			     ///< centres at gateways
};

static void
add_line(GArray *lines, const char *start)
{
	const struct line l = {
		.time = get_value(start, "t"),
		.text = g_strdup(start),
	};

	g_array_append_val(lines, l);
}

/// Adds a line if it is of the request `id`, or tells which data centres are
/// evacuated.
static void
sort_line(const struct account *a, const char *text, const char *id)
{
	const char *start = strstr(text, "t=");
	char *request = get_value(text, "request");

	if (start != NULL && request != NULL && strcmp(request, id) == 0)
		add_line(a->lines, start);
	else if (start != NULL &&
	    strstr(start, " event=evacuation.in_force ") != NULL)
		add_line(a->evacuations, start);
	g_free(request);
}

static bool
read_file(const char *file, const char *id, const struct account *a)
{
	char *text;
	gchar **log_lines;

	if (fileio_read(file, &text, NULL) != STATUS_OK) {
		(void)fprintf(stderr, "explain: %s\n", status_last());
		return false;
	}
	log_lines = g_strsplit(text, "\n", -1);
	for (gchar **l = log_lines; *l != NULL; l++)
		sort_line(a, *l, id);
	g_strfreev(log_lines);
	g_free(text);
	return true;
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(
	    ((const struct line *)a)->time, ((const struct line *)b)->time);
}

/// Prints the data centres that were evacuated at the gateway of a line at its
/// time, if there were any.
static void
print_evacuations(const GArray *evacuations, const struct line *end)
{
	char *node = get_value(end->text, "node");
	char *zones = NULL;
	const char *since = NULL;

	for (guint i = 0; i < evacuations->len; i++) {
		const struct line *l =
		    &g_array_index(evacuations, struct line, i);
		char *other = get_value(l->text, "node");

		if (g_strcmp0(l->time, end->time) <= 0 &&
		    g_strcmp0(other, node) == 0) {
			g_free(zones);
			zones = get_value(l->text, "zones");
			since = l->time;
		}
		g_free(other);
	}
	if (zones != NULL && strcmp(zones, "-") != 0)
		(void)printf(
		    "%-9s %s, here since %s\n", "evacuated", zones, since);
	g_free(zones);
	g_free(node);
}

/// Prints how the request ended: the values of its last line of an event
/// "request.*" with a verdict; failing that, of its first such line; failing
/// that, of its last line.
static void
print_outcome(const struct account *a)
{
	const GArray *lines = a->lines;
	static const char *const keys[] = { "event", "status", "verdict",
		"reason", "attempts", "server", "config", "ms" };
	const struct line *last =
	    &g_array_index(lines, struct line, lines->len - 1);

	(void)printf("\n");
	for (guint i = lines->len; i > 0; i--) {
		const struct line *l =
		    &g_array_index(lines, struct line, i - 1);

		if (strstr(l->text, "event=request.") == NULL)
			continue;
		last = l;
		if (strstr(l->text, "verdict=") != NULL)
			break;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		char *value = get_value(last->text, keys[i]);

		if (value != NULL && value[0] != '\0')
			(void)printf("%-9s %s\n", keys[i], value);
		g_free(value);
	}
	print_evacuations(a->evacuations, last);
}

static GArray *
lines_new(void)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct line));

	g_array_set_clear_func(lines, line_clear);
	return lines;
}

static int
explain(const char *id, const char *const *files, int n)
{
	const struct account a = {
		.lines = lines_new(),
		.evacuations = lines_new(),
	};
	GArray *lines = a.lines;
	int code = CLI_OK;

	for (int i = 0; i < n; i++) {
		if (!read_file(files[i], id, &a))
			code = CLI_USAGE;
	}
	g_array_sort(lines, by_time);
	g_array_sort(a.evacuations, by_time);
	for (guint i = 0; i < lines->len; i++)
		(void)puts(g_array_index(lines, struct line, i).text);
	if (lines->len > 0) {
		print_outcome(&a);
	} else {
		(void)printf("no line names request %s\n", id);
		code = CLI_REFUSED;
	}
	g_array_unref(lines);
	g_array_unref(a.evacuations);
	return code;
}

/// Subcommand `explain`: prints the lines of one request from the logs of
/// several processes, in order of time, and how it ended.
int
cli_explain(int argc, char **argv)
{
	struct arg_str *id = arg_str1(
	    NULL, NULL, "ID", "the request's id, as its caller sent it");
	struct arg_file *logs = arg_filen(
	    NULL, "logs", "FILE", 1, MAX_FILES, "logs of processes, one each");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this text");
	struct arg_end *end = arg_end(MAX_ERRORS);
	void *list[] = { id, logs, help, end };
	const int errors = arg_parse(argc, argv, list);
	int code = CLI_USAGE;

	if (help->count > 0) {
		(void)printf("usage: acaciahinge explain");
		arg_print_syntax(stdout, list, "\n");
		(void)printf(
		    "\nPrints the log lines of one request in order of "
		    "time, and how it ended.\n\n");
		arg_print_glossary(stdout, list, "  %-22s %s\n");
		code = CLI_OK;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "explain");
	} else {
		code = explain(id->sval[0], logs->filename, logs->count);
	}
	arg_freetable(list, G_N_ELEMENTS(list));
	return code;
}
