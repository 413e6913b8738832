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
#define WATCH_PAUSE_US 300000
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
	.words = "submit|show|list|watch",
	.operand = "FILE|NAME",
};

/// Reads a note's file and names its mistakes before anything is sent.
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

/// Prints mistakes that control found, at their places in the file.
static void
print_problems(const char *file, const char *text, const json_t *answer)
{
	const json_t *list = json_object_get(answer, "problems");
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
    const char *file, const char *text, int http_status, const json_t *answer)
{
	if (http_status == HTTP_OK) {
		(void)printf("accepted: revision %lld, sequence %lld\n",
		    response_integer(answer, "revision"),
		    response_integer(answer, "sequence"));
		return;
	}
	(void)fprintf(stderr, "%s: %s\n", response_string(answer, "status"),
	    response_string(answer, "message"));
	print_problems(file, text, answer);
}

static int
submit(const struct opt *o)
{
	gchar *text = read_note(o->operand);
	struct client_response a;
	json_t *answer;
	int code;

	if (text == NULL)
		return CLI_USAGE;
	code =
	    response_fetch(&o->targets, "POST", NOTES_PATH, text, &a, &answer);
	if (answer != NULL && o->json)
		(void)puts(a.body);
	else if (answer != NULL)
		print_submitted(o->operand, text, a.http_status, answer);
	g_free(text);
	response_free(&a, answer);
	return code;
}

static void
print_move(const json_t *m)
{
	(void)printf("  %s in %s: %s, %lld permille",
	    response_string(m, "version"), response_string(m, "pool"),
	    response_string(m, "state"), response_integer(m, "share_permille"));
	if (response_string(m, "reason")[0] != '\0')
		(void)printf(" (%s)", response_string(m, "reason"));
	(void)putchar('\n');
}

static void
print_moves(const json_t *note)
{
	size_t i;
	const json_t *m;

	(void)printf("%s: revision %lld\n", response_string(note, "name"),
	    response_integer(note, "revision"));
	json_array_foreach(json_object_get(note, "moves"), i, m)
	{
		print_move(m);
	}
}

static void
print_list(const json_t *answer)
{
	size_t i;
	const json_t *n;

	json_array_foreach(json_object_get(answer, "notes"), i, n)(void)
	    printf("%lld\t%s\n", response_integer(n, "revision"),
		response_string(n, "name"));
}

static void
print_shown(const json_t *answer)
{
	char *text = json_dumps(json_object_get(answer, "note"),
	    JSON_INDENT(2) | JSON_PRESERVE_ORDER);

	print_moves(answer);
	if (text != NULL)
		(void)puts(text);
	free(text);
}

static int
get(const struct opt *o, const char *path, void (*print)(const json_t *))
{
	struct client_response a;
	json_t *answer;
	const int code =
	    response_fetch(&o->targets, "GET", path, NULL, &a, &answer);

	if (answer != NULL && code != CLI_OK)
		(void)fprintf(
		    stderr, "note: %s\n", response_string(answer, "message"));
	else if (answer != NULL && o->json)
		(void)puts(a.body);
	else if (answer != NULL)
		print(answer);
	response_free(&a, answer);
	return code;
}

/// Whether all moves have ended.
///
/// @param failed  receives whether one was taken back or withdrawn
static bool
ended(const json_t *note, bool *failed)
{
	size_t i;
	const json_t *m;

	*failed = false;
	json_array_foreach(json_object_get(note, "moves"), i, m)
	{
		const char *state = response_string(m, "state");

		if (strcmp(state, "waiting") == 0 ||
		    strcmp(state, "moving") == 0)
			return false;
		if (strcmp(state, "done") != 0)
			*failed = true;
	}
	return true;
}

/// Prints a note's moves each time they have changed, until all have ended.
static int
watch(const struct opt *o, const char *path)
{
	gchar *shown = NULL;
	bool failed = false;
	bool over = false;
	int code = CLI_OK;

	while (!over) {
		struct client_response a;
		json_t *answer;

		code =
		    response_fetch(&o->targets, "GET", path, NULL, &a, &answer);
		if (code == CLI_OK && g_strcmp0(shown, a.body) != 0) {
			g_free(shown);
			shown = g_strdup(a.body);
			if (o->json)
				(void)puts(a.body);
			else
				print_moves(answer);
			(void)fflush(stdout);
		} else if (answer != NULL && code != CLI_OK) {
			(void)fprintf(stderr, "note: %s\n",
			    response_string(answer, "message"));
		}
		over = code != CLI_OK || ended(answer, &failed);
		response_free(&a, answer);
		if (!over)
			g_usleep(WATCH_PAUSE_US);
	}
	g_free(shown);
	return code == CLI_OK && failed ? CLI_REFUSED : code;
}

static int
run(const struct opt *o)
{
	const bool lists = strcmp(o->word, "list") == 0;
	const bool submits = strcmp(o->word, "submit") == 0;
	const bool shows = strcmp(o->word, "show") == 0;
	const bool watches = strcmp(o->word, "watch") == 0;
	gchar *path;
	int code;

	if (lists)
		return get(o, NOTES_PATH, print_list);
	if (!submits && !shows && !watches) {
		(void)fprintf(
		    stderr, "note: no '%s'; one of %s\n", o->word, spec.words);
		return CLI_USAGE;
	}
	if (o->operand[0] == '\0') {
		(void)fprintf(
		    stderr, "note: %s needs a FILE or NAME\n", o->word);
		return CLI_USAGE;
	}
	if (submits)
		return submit(o);
	path = g_strconcat(NOTES_PATH "/", o->operand, NULL);
	code = shows ? get(o, path, print_shown) : watch(o, path);
	g_free(path);
	return code;
}

/// Subcommand `note`.
int
cli_note(int argc, char **argv)
{
	struct opt o;
	bool go_on;
	const int code = opt_parse(&spec, argc, argv, &o, &go_on);

	return go_on ? run(&o) : code;
}
