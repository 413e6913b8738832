#include "proof/control_notes.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "common/http.h"

#define REQUEST_TIMEOUT_MS 3000

/// Initialises `n`. The first note was submitted by the deployment itself.
///
/// @param d  not owned
void
notes_init(
    struct notes *n, struct deploy *d, uint32_t n_control, uint32_t n_entries)
{
	memset(n, 0, sizeof(*n));
	n->d = d;
	n->n_control = n_control;
	n->n_entries = n_entries;
	n->next = 1;
	n->ok = true;
	n->accepted = g_ptr_array_new_with_free_func(g_free);
}

/// Releases what `n` holds, but not the deployment.
void
notes_clear(struct notes *n)
{
	g_ptr_array_free(n->accepted, TRUE);
}

/// Records that an invariant was violated, which fails the test.
void
notes_fail(struct notes *n, const char *what)
{
	(void)fprintf(stderr, "invariant violated: %s\n", what);
	n->ok = false;
}

/// Checks that the revision reported by each entry never goes down.
void
notes_watch(struct notes *n)
{
	for (uint32_t i = 0; i < n->n_entries; i++) {
		const int64_t r = http_get_number(
		    deploy_operators_port(n->d, DEPLOY_ENTRY, i), "/v1/state",
		    "revision");

		if (r < 0)
			continue;
		if (r < n->seen[i])
			notes_fail(n, "an entry's revision went down");
		n->seen[i] = MAX(n->seen[i], r);
	}
}

struct submission {
	struct notes *n;
	char *text;
	uint32_t to;
	int status;
};

static bool
try_submit(void *arg)
{
	struct submission *s = arg;
	const struct http_request request = {
		.port = deploy_operators_port(
		    s->n->d, DEPLOY_CONTROL, s->to++ % s->n->n_control),
		.path = "/v1/notes",
		.body = s->text,
		.timeout_ms = REQUEST_TIMEOUT_MS,
	};
	struct http_response response;

	http_request(&request, &response);
	s->status = response.http_status;
	if (response.http_status == 409 || response.http_status == 400)
		(void)fprintf(stderr, "note: %s\n", response.body);
	http_response_free(&response);
	notes_watch(s->n);
	return s->status == 200 || s->status == 409 || s->status == 400;
}

/// Submits the next note, and resends it to one control process after another
/// until its outcome is known. Any outcome but acceptance fails the test.
///
/// @return whether it was accepted
bool
notes_submit(struct notes *n, uint32_t timeout_ms)
{
	struct submission s = { .n = n, .to = n->next };
	const unsigned revision = n->accepted->len + 1;
	bool known;

	s.text = g_strdup_printf("{\"note\":\"n-%u\",\"base\":%u,"
				 "\"customers\":{\"add\":[{\"name\":"
				 "\"c-%u\",\"weight\":1}]}}",
	    n->next, revision, n->next);
	known = deploy_wait_until(try_submit, &s, timeout_ms);
	if (known && s.status == 200)
		g_ptr_array_add(n->accepted, g_strdup_printf("n-%u", n->next));
	else
		notes_fail(n, "a note was rejected, or its outcome is unknown");
	n->next++;
	g_free(s.text);
	return known && s.status == 200;
}

static bool
all_in_force(void *arg)
{
	struct notes *n = arg;
	const int64_t expected = (int64_t)n->accepted->len + 1;

	notes_watch(n);
	for (uint32_t i = 0; i < n->n_entries; i++) {
		if (n->seen[i] < expected)
			return false;
	}
	return true;
}

/// Waits until every entry has all accepted notes in force; a timeout fails the
/// test.
///
/// @return whether they are in force
bool
notes_in_force(struct notes *n, uint32_t timeout_ms)
{
	const gint64 started_us = g_get_monotonic_time();

	if (!deploy_wait_until(all_in_force, n, timeout_ms)) {
		notes_fail(n, "an accepted note is not in force everywhere");
		return false;
	}
	n->worst_us = MAX(n->worst_us, g_get_monotonic_time() - started_us);
	return true;
}

static bool
matches_accepted(const struct notes *n, const json_t *list)
{
	// The first note is the deployment's own.
	if (json_array_size(list) != n->accepted->len + 1)
		return false;
	for (guint i = 0; i < n->accepted->len; i++) {
		const char *name = json_string_value(
		    json_object_get(json_array_get(list, i + 1), "name"));

		if (name == NULL ||
		    strcmp(name, g_ptr_array_index(n->accepted, i)) != 0)
			return false;
	}
	return true;
}

static bool
leader_has_accepted(void *arg)
{
	struct notes *n = arg;
	const int leader = deploy_leader(n->d);
	char *body;
	json_t *o;
	bool matches;

	if (leader < 0)
		return false;
	body = http_get(
	    deploy_operators_port(n->d, DEPLOY_CONTROL, (uint32_t)leader),
	    "/v1/notes");
	o = json_loads(body != NULL ? body : "", 0, NULL);
	matches = matches_accepted(n, json_object_get(o, "notes"));
	if (!matches && o != NULL)
		(void)fprintf(stderr, "notes: %s\n", body);
	json_decref(o);
	g_free(body);
	return matches;
}

/// Checks that the leader lists exactly the accepted notes, each once and in
/// order; anything else fails the test.
///
/// @return whether it does
bool
notes_kept(struct notes *n)
{
	if (deploy_wait_until(leader_has_accepted, n, 10000))
		return true;
	notes_fail(n, "the notes are not those that were accepted");
	return false;
}
