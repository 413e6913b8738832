#include "base/fileio.h"
#include "cli/response.h"
#include "cli/cli.h"
#include "cli/opt.h"
#include "cli/problems.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NOTES_PATH "/v1/notes"
#define WATCH_POLL_US 300000
#define HTTP_OK 200

static const struct opt_spec spec = {
	.name = "note",
	.summary =
	    "Submits release notes and tells what became of them. submit\n"
	    "sends the same note again after a lost answer; watch ends when\n"
	    "every move of the note is done (exit 0) or one was taken back\n"
	    "or withdrawn (exit 1).\n"
	    "Exit codes: 0 done, 1 refused, 2 conflict: another note won,\n"
	    "3 unknown: safe to send again, 64 usage or mistakes.",
	.actions = "submit|show|list|watch",
	.operand = "FILE|NAME",
};

/// Reads a note's file and prints its problems before anything is sent.
///
/// @return text to be released with g_free(), or NULL
static gchar *
read_note(const char *file)
{
	struct spec_problems problems = { 0 };
	struct spec_note *note;
	char *text;
	size_t len;

	if (fileio_read(file, &text, &len) != STATUS_OK) {
		(void)fprintf(stderr, "note: %s\n", status_last());
		return NULL;
	}
	if (spec_parse_note(text, len, &note, &problems) != STATUS_OK) {
		problems_print(stderr, file, &problems);
		spec_problems_free(&problems);
		g_free(text);
		return NULL;
	}
	spec_note_free(note);
	return text;
}

/// Prints the problems that control found, with their lines in the file.
static void
print_problems(const char *file, const char *text, const json_t *json)
{
	const json_t *list = json_object_get(json, "problems");
	struct spec_problem problem;
	size_t i;
	const json_t *p;

	json_array_foreach(list, i, p)
	{
		(void)g_strlcpy(problem.path, response_string(p, "path"),
		    sizeof(problem.path));
		problem.line = (int)response_integer(p, "line");
		spec_find_line(text, strlen(text), &problem);
		(void)fprintf(stderr, "%s:%d: %s: %s\n", file, problem.line,
		    problem.path, response_string(p, "message"));
	}
}

static void
print_submitted(
    const char *file, const char *text, int http_status, const json_t *json)
{
	if (http_status == HTTP_OK) {
		(void)printf("accepted: revision %lld, sequence %lld\n",
		    response_integer(json, "revision"),
		    response_integer(json, "sequence"));
		return;
	}
	(void)fprintf(stderr, "%s: %s\n", response_string(json, "status"),
	    response_string(json, "message"));
	print_problems(file, text, json);
}

static int
submit(const struct opt *o)
{
	gchar *text = read_note(o->operand);
	struct client_response response;
	json_t *json;
	int code;

	if (text == NULL)
		return CLI_USAGE;
	code = response_fetch(
	    &o->client, "POST", NOTES_PATH, text, &response, &json);
	if (json != NULL && o->json)
		(void)puts(response.body);
	else if (json != NULL)
		print_submitted(o->operand, text, response.http_status, json);
	g_free(text);
	response_free(&response, json);
	return code;
}

static void
print_rollout(const json_t *rollout)
{
	(void)printf("  %s in %s: %s, %lld permille",
	    response_string(rollout, "version"),
	    response_string(rollout, "pool"), response_string(rollout, "state"),
	    response_integer(rollout, "share_permille"));
	if (response_string(rollout, "reason")[0] != '\0')
		(void)printf(" (%s)", response_string(rollout, "reason"));
	(void)putchar('\n');
}

static void
print_rollouts(const json_t *note)
{
	size_t i;
	const json_t *rollout;

	(void)printf("%s: revision %lld\n", response_string(note, "name"),
	    response_integer(note, "revision"));
	json_array_foreach(json_object_get(note, "moves"), i, rollout)
	{
		print_rollout(rollout);
	}
}

static void
print_list(const json_t *json)
{
	size_t i;
	const json_t *n;

	json_array_foreach(json_object_get(json, "notes"), i, n)(void)
	    printf("%lld\t%s\n", response_integer(n, "revision"),
		response_string(n, "name"));
}

/// Prints the rollouts of a note and then the note itself.
static void
print_note(const json_t *json)
{
	char *text = json_dumps(json_object_get(json, "note"),
	    JSON_INDENT(2) | JSON_PRESERVE_ORDER);

	print_rollouts(json);
	if (text != NULL)
		(void)puts(text);
	free(text);
}

static int
get_and_print(
    const struct opt *o, const char *path, void (*print)(const json_t *))
{
	struct client_response response;
	json_t *json;
	const int code =
	    response_fetch(&o->client, "GET", path, NULL, &response, &json);

	if (json != NULL && code != CLI_OK)
		(void)fprintf(
		    stderr, "note: %s\n", response_string(json, "message"));
	else if (json != NULL && o->json)
		(void)puts(response.body);
	else if (json != NULL)
		print(json);
	response_free(&response, json);
	return code;
}

/// Whether all rollouts have ended.
///
/// @param failed  receives whether one was rolled back or withdrawn
static bool
rollouts_ended(const json_t *note, bool *failed)
{
	size_t i;
	const json_t *rollout;

	*failed = false;
	json_array_foreach(json_object_get(note, "moves"), i, rollout)
	{
		const char *state = response_string(rollout, "state");

		if (strcmp(state, "waiting") == 0 ||
		    strcmp(state, "moving") == 0)
			return false;
		if (strcmp(state, "done") != 0)
			*failed = true;
	}
	return true;
}

/// Prints a note's rollouts each time they change, until all have ended.
///
/// @return an exit code, CLI_REFUSED when a rollout failed
static int
watch(const struct opt *o, const char *path)
{
	gchar *shown = NULL;
	bool failed = false;
	bool finished = false;
	int code = CLI_OK;

	while (!finished) {
		struct client_response response;
		json_t *json;

		code = response_fetch(
		    &o->client, "GET", path, NULL, &response, &json);
		if (code == CLI_OK && g_strcmp0(shown, response.body) != 0) {
			g_free(shown);
			shown = g_strdup(response.body);
			if (o->json)
				(void)puts(response.body);
			else
				print_rollouts(json);
			(void)fflush(stdout);
		} else if (json != NULL && code != CLI_OK) {
			(void)fprintf(stderr, "note: %s\n",
			    response_string(json, "message"));
		}
		finished = code != CLI_OK || rollouts_ended(json, &failed);
		response_free(&response, json);
		if (!finished)
			g_usleep(WATCH_POLL_US);
	}
	g_free(shown);
	return code == CLI_OK && failed ? CLI_REFUSED : code;
}

static int
run_action(const struct opt *o)
{
	const bool lists = strcmp(o->action, "list") == 0;
	const bool submits = strcmp(o->action, "submit") == 0;
	const bool shows = strcmp(o->action, "show") == 0;
	const bool watches = strcmp(o->action, "watch") == 0;
	gchar *path;
	int code;

	if (lists)
		return get_and_print(o, NOTES_PATH, print_list);
	if (!submits && !shows && !watches) {
		(void)fprintf(stderr, "note: no '%s'; one of %s\n", o->action,
		    spec.actions);
		return CLI_USAGE;
	}
	if (o->operand[0] == '\0') {
		(void)fprintf(
		    stderr, "note: %s needs a FILE or NAME\n", o->action);
		return CLI_USAGE;
	}
	if (submits)
		return submit(o);
	path = g_strconcat(NOTES_PATH "/", o->operand, NULL);
	code = shows ? get_and_print(o, path, print_note) : watch(o, path);
	g_free(path);
	return code;
}

/// Subcommand `note`: submits, lists, shows and follows release notes.
int
cli_note(int argc, char **argv)
{
	struct opt o;
	bool proceed;
	const int code = opt_parse(&spec, argc, argv, &o, &proceed);

	return proceed ? run_action(&o) : code;
}
