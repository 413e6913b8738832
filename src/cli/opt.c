#include "cli/exit_code.h"
#include "cli/opt.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>

#define MAX_ERRORS 8
#define DEFAULT_WAIT_S 10
#define MAX_WAIT_S 86400
#define N_OPERANDS 2

/// The options, in the order of the help text.
struct arg_table {
	struct arg_str *action;
	struct arg_str *operand;
	struct arg_file *settings;
	struct arg_str *to;
	struct arg_file *token;
	struct arg_int *wait;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
};

static struct arg_table
make_table(const struct opt_spec *spec)
{
	return (struct arg_table){
		.action = arg_str1(NULL, NULL, spec->actions, "what to do"),
		.operand = arg_str0(NULL, NULL, spec->operand,
		    "file to submit, or name of the note"),
		.settings = arg_file0(NULL, "settings", "FILE",
		    "settings that name the control processes"),
		.to = arg_strn(NULL, "to", "IP:PORT", 0, SETTINGS_MAX_PEERS,
		    "operators' address of a control process"),
		.token = arg_file0(NULL, "token-file", "FILE",
		    "file with the operators' token"),
		.wait = arg_int0(NULL, "wait", "SECONDS",
		    "how long to go on trying, 10 when not given"),
		.json = arg_lit0(NULL, "json", "print JSON"),
		.help = arg_lit0(NULL, "help", "print this text"),
		.end = arg_end(MAX_ERRORS),
	};
}

static void
print_help(const struct opt_spec *spec, void **list)
{
	(void)printf("usage: acaciahinge %s", spec->name);
	arg_print_syntax(stdout, list, "\n");
	(void)printf("\n%s\n\n", spec->summary);
	arg_print_glossary(stdout, list, "  %-22s %s\n");
}

static enum status
read_client(const struct arg_table *t, struct client *out)
{
	enum status st = STATUS_OK;

	if (t->settings->count > 0)
		st = client_from_settings(out, t->settings->filename[0]);
	for (int i = 0; i < t->to->count && st == STATUS_OK; i++)
		st = client_add_endpoint(out, t->to->sval[i]);
	if (t->token->count > 0 && st == STATUS_OK)
		st = client_read_token(out, t->token->filename[0]);
	if (st == STATUS_OK && out->n_endpoints == 0)
		st = status_fail(
		    STATUS_INVALID, "--settings or --to must name control");
	return st;
}

static enum status
read_values(const struct arg_table *t, struct opt *out)
{
	const int wait_s =
	    t->wait->count > 0 ? t->wait->ival[0] : DEFAULT_WAIT_S;

	out->json = t->json->count > 0;
	(void)g_strlcpy(out->action, t->action->sval[0], sizeof(out->action));
	(void)g_strlcpy(
	    out->operand, t->operand->sval[0], sizeof(out->operand));
	if (wait_s < 0 || wait_s > MAX_WAIT_S)
		return status_fail(
		    STATUS_INVALID, "--wait must be 0 to %d", MAX_WAIT_S);
	out->client.retry_timeout_ms = (uint32_t)wait_s * 1000;
	return read_client(t, &out->client);
}

/// Parses the command line of a subcommand that sends requests to control;
/// prints the help text or what is wrong with it.
///
/// @param out      receives the values
/// @param proceed  receives whether the subcommand is to run
/// @return exit code (enum cli_exit) to end with when it is not to run
int
opt_parse(const struct opt_spec *spec, int argc, char **argv, struct opt *out,
    bool *proceed)
{
	struct arg_table t = make_table(spec);
	void *list[] = { t.action, t.operand, t.settings, t.to, t.token, t.wait,
		t.json, t.help, t.end };
	// A subcommand without actions has no second operand either.
	void **argtable = spec->actions == NULL ? list + N_OPERANDS : list;
	int code = CLI_USAGE;
	int errors;

	*out = (struct opt){ 0 };
	*proceed = false;
	errors = arg_parse(argc, argv, argtable);
	if (t.help->count > 0) {
		print_help(spec, argtable);
		code = CLI_OK;
	} else if (errors > 0) {
		arg_print_errors(stderr, t.end, spec->name);
	} else if (read_values(&t, out) != STATUS_OK) {
		(void)fprintf(stderr, "%s: %s\n", spec->name, status_last());
	} else {
		*proceed = true;
	}
	arg_freetable(list, G_N_ELEMENTS(list));
	return code;
}
