#include "cli/query.h"

#include "cli/response.h"
#include "cli/exit_code.h"

#include <jansson.h>
#include <stdio.h>

/// Runs a subcommand that shows what one path of control answers: as it is
/// with --json, else by `print`.
///
/// @return an exit code
int
query_run(const struct opt_spec *spec, const char *path, query_print print,
    int argc, char **argv)
{
	struct client_response a;
	json_t *answer;
	struct opt o;
	bool go_on;
	int code = opt_parse(spec, argc, argv, &o, &go_on);

	if (!go_on)
		return code;
	code = response_fetch(&o.targets, "GET", path, NULL, &a, &answer);
	if (answer != NULL && code != CLI_OK)
		(void)fprintf(stderr, "%s: %s\n", spec->name,
		    response_string(answer, "message"));
	else if (answer != NULL && o.json)
		(void)puts(a.body);
	else if (answer != NULL)
		print(&o, a.body, answer);
	response_free(&a, answer);
	return code;
}
