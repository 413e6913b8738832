#include "cli/cli.h"
#include "cli/query.h"

#include "report/slo.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct opt_spec spec = {
	.name = "report",
	.summary =
	    "Tells how fast the error budget burns, by customer, route and\n"
	    "version, and what became of versions: as text, with 'html' as\n"
	    "one page with plots, with --json as JSON.",
	.words = "text|html",
};

static void
print_report(const struct opt *o, const char *body, const json_t *answer)
{
	const enum slo_format format =
	    strcmp(o->word, "html") == 0 ? SLO_HTML : SLO_TEXT;
	char *text = slo_render_json(body, strlen(body), format);

	(void)answer;
	(void)fputs(text != NULL ? text : body, stdout);
	free(text);
}

/// Subcommand `report`.
int
cli_report(int argc, char **argv)
{
	return query_run(&spec, "/v1/report", print_report, argc, argv);
}
