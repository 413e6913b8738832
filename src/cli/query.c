#include "cli/query.h"

#include "cli/response.h"
#include "cli/exit_code.h"

#include <jansson.h>
#include <stdio.h>

/// Runs a subcommand that gets one path from control and prints the response:
/// unchanged with --json, else by `print`.
///
/// @return an exit code (enum cli_exit)
int
query_run(const struct opt_spec *spec, const char *path, query_print print,
    int argc, char **argv)
{
	struct client_response response;
	json_t *json;
	struct opt o;
	bool proceed;
	int code = opt_parse(spec, argc, argv, &o, &proceed);

	if (!proceed)
		return code;
	code = response_fetch(&o.client, "GET", path, NULL, &response, &json);
	if (json != NULL && code != CLI_OK)
		(void)fprintf(stderr, "%s: %s\n", spec->name,
		    response_string(json, "message"));
	else if (json != NULL && o.json)
		(void)puts(response.body);
	else if (json != NULL)
		print(&o, response.body, json);
	response_free(&response, json);
	return code;
}
