#include "base/fileio.h"
#include "cli/cli.h"
#include "cli/problems.h"
#include "conf/settings.h"
#include "conf/bootstrap.h"
#include "conf/problem.h"
#include "platform/api_manifest.h"

#include <argtable2.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define MAX_ERRORS 8

/// Result of checking a file.
struct check_result {
	const char *kind; ///< "note", "settings" or "manifest"
	gchar *summary;   ///< summary of a valid file; NULL: invalid
	struct spec_problems problems;
};

/// Whether a text is a release note rather than a manifest or settings: only
/// notes have the keys "note" (their name) and "base" (a revision).
static bool
is_note(const char *text, size_t len)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	const bool note = json_object_get(root, "note") != NULL ||
	    json_object_get(root, "base") != NULL;

	json_decref(root);
	return note;
}

static void
check_note(const char *text, size_t len, struct check_result *result)
{
	struct spec_note *note;

	result->kind = "note";
	if (spec_parse_note(text, len, &note, &result->problems) != STATUS_OK)
		return;
	result->summary = g_strdup_printf(
	    "note '%s' on revision %" G_GUINT64_FORMAT ", %u changes",
	    note->name, note->base, note->n_changes);
	spec_note_free(note);
}

static void
check_settings(const char *text, size_t len, struct check_result *result)
{
	struct settings s;

	result->kind = "settings";
	if (settings_parse(text, len, &s, &result->problems) != STATUS_OK)
		return;
	result->summary = g_strdup_printf("settings of %s '%s' in %s",
	    s.role == SETTINGS_ROLE_ENTRY ? "entry" : "control", s.node,
	    s.data_centre);
}

/// Whether a text is a JSON object with a key.
static bool
has_key(const char *text, size_t len, const char *key)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	const bool found = json_object_get(root, key) != NULL;

	json_decref(root);
	return found;
}

static void
check_fleet_settings(const char *text, size_t len, struct check_result *result)
{
	struct bootstrap_settings s;

	result->kind = "settings";
	if (bootstrap_parse(text, len, &s, &result->problems) != STATUS_OK)
		return;
	result->summary = g_strdup_printf("settings of %s '%s' in %s, %u seeds",
	    s.role == BOOTSTRAP_ROLE_GATEWAY ? "gateway" : "hub", s.node,
	    s.data_centre, s.n_seeds);
}

static void
check_manifest(const char *text, size_t len, struct check_result *result)
{
	struct fleetcfg *config;

	result->kind = "manifest";
	if (api_manifest_check(text, len, &config) != STATUS_OK) {
		problem_add(&result->problems, "$", 1, "%s", status_last());
		return;
	}
	result->summary =
	    g_strdup_printf("manifest of version %" G_GUINT64_FORMAT
			    ", %zu routes, %zu services, %zu customers%s",
		fleetcfg_version(config), fleetcfg_n_routes(config),
		fleetcfg_n_services(config), fleetcfg_n_customers(config),
		fleetcfg_has_keys(config) ? "" : ", no API keys required");
	fleetcfg_unref(config);
}

static void
print_json(const char *file, const struct check_result *result)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "file", json_string(file));
	json_object_set_new(root, "kind", json_string(result->kind));
	json_object_set_new(
	    root, "good", json_boolean(result->summary != NULL));
	json_object_set_new(root, "problems", problems_json(&result->problems));
	text = json_dumps(root, JSON_INDENT(2));
	(void)puts(text);
	free(text);
	json_decref(root);
}

static void
print_text(const char *file, const struct check_result *result)
{
	if (result->summary != NULL) {
		(void)printf("%s: good: %s\n", file, result->summary);
		return;
	}
	problems_print(stdout, file, &result->problems);
	(void)printf("%s: %zu mistakes\n", file, result->problems.n);
}

static int
check_file(const char *file, bool json)
{
	struct check_result result = { 0 };
	char *text;
	size_t len;
	int code;

	if (fileio_read(file, &text, &len) != STATUS_OK) {
		(void)fprintf(stderr, "check: %s\n", status_last());
		return CLI_USAGE;
	}
	if (is_note(text, len))
		check_note(text, len, &result);
	else if (has_key(text, len, "seeds"))
		check_fleet_settings(text, len, &result);
	else if (has_key(text, len, "routes"))
		check_manifest(text, len, &result);
	else
		check_settings(text, len, &result);
	if (json)
		print_json(file, &result);
	else
		print_text(file, &result);
	code = result.summary != NULL ? CLI_OK : CLI_USAGE;
	g_free(result.summary);
	spec_problems_free(&result.problems);
	g_free(text);
	return code;
}

static void
print_help(void **list)
{
	(void)printf("usage: acaciahinge check");
	arg_print_syntax(stdout, list, "\n");
	(void)printf("\nChecks settings, a manifest or a release note and "
		     "names every mistake.\n\n");
	arg_print_glossary(stdout, list, "  %-22s %s\n");
}

/// Subcommand `check`: validates settings, a manifest or a release note.
int
cli_check(int argc, char **argv)
{
	struct arg_file *file = arg_file1(
	    NULL, NULL, "FILE", "settings, a manifest or a release note");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this text");
	struct arg_end *end = arg_end(MAX_ERRORS);
	void *list[] = { file, json, help, end };
	const int errors = arg_parse(argc, argv, list);
	int code = CLI_USAGE;

	if (help->count > 0) {
		print_help(list);
		code = CLI_OK;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "check");
	} else {
		code = check_file(file->filename[0], json->count > 0);
	}
	arg_freetable(list, G_N_ELEMENTS(list));
	return code;
}
