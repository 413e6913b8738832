#include "cli/response.h"
#include "cli/cli.h"
#include "cli/query.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define MSEC_PER_SEC 1000

static const struct opt_spec spec = {
	.name = "status",
	.summary =
	    "Tells who leads, the revision in force and where it is not yet,\n"
	    "versions with their state and share, and backend servers that\n"
	    "are leaving. Hubs and gateways tell theirs at their address of\n"
	    "metrics.",
};

/// Prints the voting control processes.
static void
print_members(const json_t *status)
{
	size_t i;
	const json_t *m;

	json_array_foreach(json_object_get(status, "members"), i, m)(void)
	    printf("member %s in %s: synced to log index %lld\n",
		response_string(m, "name"), response_string(m, "data_centre"),
		response_integer(m, "synced"));
}

static void
print_entries(const json_t *status)
{
	const long long current = response_integer(status, "sequence");
	size_t i;
	const json_t *e;

	json_array_foreach(json_object_get(status, "entries"), i, e)
	{
		const long long applied = response_integer(e, "sequence");

		(void)printf("entry %s in %s: ", response_string(e, "name"),
		    response_string(e, "data_centre"));
		if (applied < current)
			(void)printf(
			    "not yet in force, at sequence %lld", applied);
		else
			(void)printf("in force");
		(void)printf("%s\n",
		    json_is_true(json_object_get(e, "in_service"))
			? ""
			: ", not in service");
	}
}

/// Prints the state of a rollout: the rest of its line.
static void
print_rollout_state(const json_t *rollout)
{
	const char *reason = response_string(rollout, "reason");

	(void)printf(": %s, %lld permille", response_string(rollout, "state"),
	    response_integer(rollout, "share_permille"));
	if (reason[0] != '\0')
		(void)printf(" (%s)", reason);
	(void)putchar('\n');
}

/// Prints the versions of services, each with the pool it runs in and the state
/// of its rollout.
static void
print_versions(const json_t *status)
{
	size_t i;
	const json_t *v;

	json_array_foreach(json_object_get(status, "versions"), i, v)
	{
		(void)printf("version %s in %s", response_string(v, "name"),
		    response_string(v, "pool"));
		print_rollout_state(v);
	}
}

static void
print_draining_servers(const json_t *status)
{
	size_t i;
	const json_t *s;

	json_array_foreach(json_object_get(status, "leaving"), i, s)(void)
	    printf("draining %s: by %s\n", response_string(s, "name"),
		response_string(s, "source"));
}

/// `text` if a key of an object is true, else "".
static const char *
text_if(const json_t *object, const char *key, const char *text)
{
	return json_is_true(json_object_get(object, key)) ? text : "";
}

static void
print_hub_members(const json_t *status)
{
	size_t i;
	const json_t *m;

	json_array_foreach(json_object_get(status, "members"), i, m)
	{
		const json_t *answers = json_object_get(m, "answers");

		(void)printf("%s %s%s\n", response_string(m, "seat"),
		    response_string(m, "host"),
		    json_is_false(answers) ? ": does not respond" : "");
	}
}

static void
print_gateways(const json_t *status)
{
	size_t i;
	const json_t *g;

	json_array_foreach(json_object_get(status, "gateways"), i, g)(void)
	    printf("gateway %s in %s: version %lld, list %lld, heard %lld ms "
		   "ago%s%s\n",
		response_string(g, "name"), response_string(g, "data_centre"),
		response_integer(g, "version"), response_integer(g, "list"),
		response_integer(g, "heard_ms"),
		json_is_false(json_object_get(g, "lives")) ? ", lost" : "",
		text_if(g, "stopping", ", stopping"));
}

static void
print_rollouts(const json_t *status)
{
	size_t i;
	const json_t *m;

	json_array_foreach(json_object_get(status, "moves"), i, m)
	{
		(void)printf("service %s to %s from %s",
		    response_string(m, "service"),
		    response_string(m, "version"),
		    response_string(m, "replaces"));
		print_rollout_state(m);
	}
}

/// Prints the evacuated data centres; those of the leader with the number of
/// gateways where the newest set of them is in force.
static void
print_evacuations(const json_t *status)
{
	size_t i;
	const json_t *e;

	json_array_foreach(json_object_get(status, "evacuations"), i, e)
	{
		const long long n = response_integer(e, "gateways");

		(void)printf("evacuated %s for %lld s",
		    response_string(e, "zone"),
		    response_integer(e, "for_ms") / MSEC_PER_SEC);
		if (n > 0)
			(void)printf(", in force at %lld of %lld gateways",
			    response_integer(e, "confirmed"), n);
		(void)putchar('\n');
	}
}

/// Prints the status of a hub, with its group, the gateways and the rollouts.
static void
print_hub(const json_t *status)
{
	const char *leader = response_string(status, "leader");

	(void)printf("hub %s in %s: led by %s%s in term %lld\n",
	    response_string(status, "name"),
	    response_string(status, "data_centre"),
	    leader[0] != '\0' ? leader : "nobody",
	    text_if(status, "leads", " (itself)"),
	    response_integer(status, "term"));
	(void)printf("configuration %lld, list read %lld ms ago\n",
	    response_integer(status, "version"),
	    response_integer(status, "list_age_ms"));
	(void)printf("duties at %s under fencing token %lld\n",
	    response_string(status, "holder"),
	    response_integer(status, "fence"));
	print_hub_members(status);
	print_gateways(status);
	print_rollouts(status);
	print_evacuations(status);
}

static void
print_gateway(const json_t *status)
{
	size_t i;
	const json_t *s;

	(void)printf("gateway %s in %s: %s%s, %lld requests\n",
	    response_string(status, "name"),
	    response_string(status, "data_centre"),
	    json_is_true(json_object_get(status, "in_service"))
		? "in service"
		: "not in service: ",
	    response_string(status, "reason"),
	    response_integer(status, "requests"));
	(void)printf("configuration %lld from %s, %lld ms ago; lease for %lld "
		     "ms; list %lld ms old\n",
	    response_integer(status, "version"),
	    response_string(status, "leader"),
	    response_integer(status, "leader_age_ms"),
	    response_integer(status, "lease_left_ms"),
	    response_integer(status, "list_age_ms"));
	json_array_foreach(json_object_get(status, "servers"), i, s)(void)
	    printf("server %s of %s in %s: version %s, %lld requests from "
		   "here, %lld failures%s%s\n",
		response_string(s, "id"), response_string(s, "service"),
		response_string(s, "zone"), response_string(s, "version"),
		response_integer(s, "own"), response_integer(s, "failures"),
		text_if(s, "leaving", ", draining"),
		text_if(s, "set_aside", ", ejected"));
	print_evacuations(status);
}

static void
print_control(const json_t *status)
{
	(void)printf("%s: led by %s in term %lld, revision %lld, "
		     "sequence %lld\n",
	    response_string(status, "deployment"),
	    response_string(status, "leader"), response_integer(status, "term"),
	    response_integer(status, "revision"),
	    response_integer(status, "sequence"));
	print_members(status);
	print_entries(status);
	print_versions(status);
	print_draining_servers(status);
}

/// Prints a status as text, in the layout of the role that it comes from.
static void
print_status(const struct opt *o, const char *body, const json_t *status)
{
	const char *role = response_string(status, "role");

	(void)o;
	(void)body;
	if (strcmp(role, "hub") == 0)
		print_hub(status);
	else if (strcmp(role, "gateway") == 0)
		print_gateway(status);
	else
		print_control(status);
}

/// Subcommand `status`: state of control, or of one hub or gateway.
int
cli_status(int argc, char **argv)
{
	return query_run(&spec, "/v1/status", print_status, argc, argv);
}
