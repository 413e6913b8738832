#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/deploy.h"
#include "common/http.h"

#define STOP_AFTER_US 700000
#define STREAM_MS 30000
#define CHAT "/v1/chat/completions"
#define DRAFTS "/v1/drafts"

int proof_path_hand_back(uint64_t seed);

/// Text of a stream's tokens; release it with g_free().
///
/// @param resume  receives the resume token if there is one
/// @param done    set if the stream has its end marker
static char *
parse_stream(const char *body, char **resume, bool *done)
{
	char **lines = g_strsplit(body, "\n", -1);
	GString *text = g_string_new(NULL);

	for (char **l = lines; *l != NULL; l++) {
		const char *data = g_str_has_prefix(*l, "data: ") ? *l + 6 : "";
		json_t *o = json_loads(data, 0, NULL);
		const char *content = json_string_value(json_object_get(
		    json_object_get(
			json_array_get(json_object_get(o, "choices"), 0),
			"delta"),
		    "content"));
		const char *token =
		    json_string_value(json_object_get(o, "resume_token"));

		if (content != NULL)
			g_string_append(text, content);
		if (token != NULL)
			*resume = g_strdup(token);
		if (strcmp(data, "[DONE]") == 0)
			*done = true;
		json_decref(o);
	}
	g_strfreev(lines);
	return g_string_free(text, FALSE);
}

static char *
read_stream(const struct deploy *d, uint32_t entry, const char *body,
    const char *resume, char **token, bool *done)
{
	const struct http_request request = {
		.port = deploy_port(d, DEPLOY_ENTRY, entry),
		.path = CHAT,
		.body = body,
		.resume = resume,
		.timeout_ms = STREAM_MS,
	};
	struct http_response response;
	char *text;

	http_request(&request, &response);
	text = parse_stream(response.body, token, done);
	http_response_free(&response);
	return text;
}

/// Forks a process that stops an entry while this one waits for its stream.
static pid_t
stop_later(pid_t entry)
{
	const pid_t child = fork();

	if (child != 0)
		return child;
	g_usleep(STOP_AFTER_US);
	(void)kill(entry, SIGTERM);
	_exit(0);
}

/// Sends requests with resume tokens on a route that isn't idempotent. They
/// were obeyed: a response had the last tokens of another run, as a complete
/// one, and an id of an unknown group ended the entry.
///
/// @return whether all were refused
static bool
refuses_to_resume(const struct deploy *d)
{
	static const char *const tokens[] = { "1-aaaaaaaaaaaaaaaa00000099.5",
		"0123456789abcdef.5", "99-aaaaaaaaaaaaaaaa00000099.5" };
	bool all = true;

	for (size_t i = 0; i < G_N_ELEMENTS(tokens); i++) {
		const struct http_request request = {
			.port = deploy_port(d, DEPLOY_ENTRY, 1),
			.path = DRAFTS,
			.body = "{\"prompt\":\"plan\",\"max_tokens\":12}",
			.resume = tokens[i],
		};
		struct http_response response;

		http_request(&request, &response);
		(void)printf("%s: status %d %s\n", tokens[i],
		    response.http_status, response.body);
		all = response.http_status == 400 && all;
		http_response_free(&response);
	}
	return all;
}

/// Guards against lost or repeated tokens at a handoff. An entry stops before a
/// stream is complete and sends a resume token; another entry continues from
/// it. The two parts must add up to exactly the complete response.
int
proof_path_hand_back(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 3,
		    [DEPLOY_ENTRY] = 2,
		    [DEPLOY_RUNNER] = 2,
		    [DEPLOY_SERVICE] = 1 },
		.extra = { [DEPLOY_RUNNER] = "{\"step_us\":20000}",
		    [DEPLOY_ENTRY] = "{\"drain_ms\":200}" },
	};
	struct deploy *d = deploy_new(&shape);
	char *body =
	    g_strdup_printf("{\"messages\":[{\"role\":\"user\","
			    "\"content\":\"plan %d\"}],\"stream\":true,"
			    "\"max_tokens\":160}",
		(int)seed);
	char *token = NULL;
	char *no_token = NULL;
	char *first = NULL;
	char *rest = NULL;
	char *complete = NULL;
	char *joined = NULL;
	bool first_done = false;
	bool rest_done = false;
	bool complete_done = false;
	bool ok = deploy_start_all(d);

	if (ok) {
		const pid_t child = stop_later(deploy_pid(d, DEPLOY_ENTRY, 0));

		first = read_stream(d, 0, body, NULL, &token, &first_done);
		(void)waitpid(child, NULL, 0);
		rest = read_stream(d, 1, body, token, &no_token, &rest_done);
		complete =
		    read_stream(d, 1, body, NULL, &no_token, &complete_done);
		joined = g_strconcat(first, rest, NULL);
		ok = token != NULL && !first_done && rest_done &&
		    complete_done && strlen(first) > 0 &&
		    strcmp(joined, complete) == 0 && refuses_to_resume(d);
	}
	if (!ok)
		deploy_print_logs(d);
	(void)printf("token=%s first=%zu rest=%zu whole=%zu\n",
	    token != NULL ? token : "none", first != NULL ? strlen(first) : 0,
	    rest != NULL ? strlen(rest) : 0,
	    complete != NULL ? strlen(complete) : 0);
	g_free(joined);
	g_free(first);
	g_free(rest);
	g_free(complete);
	g_free(token);
	g_free(no_token);
	g_free(body);
	deploy_free(d);
	return ok ? 0 : 1;
}
