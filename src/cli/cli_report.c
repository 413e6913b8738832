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
	    "Reports how fast the error budget is spent, by customer, route\n"
	    "and version, and how rollouts ended: as text, with 'html' as\n"
	    "one page with plots, with --json as JSON.",
	.actions = "text|html",
};

static void
print_report(const struct opt *o, const char *body, const json_t *json)
{
	const enum slo_format format =
	    strcmp(o->action, "html") == 0 ? SLO_HTML : SLO_TEXT;
	char *text = slo_render_json(body, strlen(body), format);

	(void)json;
	(void)fputs(text != NULL ? text : body, stdout);
	free(text);
}

/// Subcommand `report`: how fast the error budget is spent.
int
cli_report(int argc, char **argv)
{
	return query_run(&spec, "/v1/report", print_report, argc, argv);
}
