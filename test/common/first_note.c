#include "common/first_note.h"

#include <jansson.h>

static void
add_item(json_t *note, const char *section, json_t *item)
{
	json_t *s = json_object_get(note, section);

	if (s == NULL) {
		s = json_pack("{s:[]}", "add");
		(void)json_object_set_new(note, section, s);
	}
	(void)json_array_append_new(json_object_get(s, "add"), item);
}

static void
add_route(json_t *note, const char *path, const char *pool, const char *mode,
    bool idempotent, int timeout_ms)
{
	add_item(note, "routes",
	    json_pack("{s:s,s:s,s:s,s:b,s:i,s:i,s:i,s:i}", "path", path, "pool",
		pool, "mode", mode, "idempotent", (int)idempotent, "priority",
		1, "first_token_ms", 540, "between_tokens_ms", 37, "timeout_ms",
		timeout_ms));
}

static void
add_server(json_t *note, const struct first_note_server *s)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:s}", "name", s->name, "pool",
	    s->pool, "data_centre", s->data_centre, "address", s->address);

	if (s->version != NULL) {
		(void)json_object_set_new(
		    o, "versions", json_pack("[s]", s->version));
		(void)json_object_set_new(o, "fenced", json_true());
	}
	add_item(note, "backend_servers", o);
}

/// Builds the first release note of a test deployment: one pool of runners, one
/// of services, routes of each mode, and two customers.
///
/// @return JSON text, freed by the caller
char *
first_note(const char *const *data_centres, size_t n_data_centres,
    const struct first_note_server *servers, size_t n_servers)
{
	json_t *note = json_pack("{s:s,s:i}", "note", "first", "base", 0);
	char *text;

	for (size_t i = 0; i < n_data_centres; i++)
		add_item(note, "data_centres",
		    json_pack("{s:s,s:s}", "name", data_centres[i], "region",
			"budapest"));
	add_item(note, "pools",
	    json_pack(
		"{s:s,s:s}", "name", FIRST_NOTE_RUNNERS, "kind", "runner"));
	add_item(note, "pools",
	    json_pack(
		"{s:s,s:s}", "name", FIRST_NOTE_SERVICES, "kind", "service"));
	add_item(note, "versions",
	    json_pack("{s:s,s:s}", "name", "v1", "pool", FIRST_NOTE_RUNNERS));
	for (size_t i = 0; i < n_servers; i++)
		add_server(note, &servers[i]);
	add_route(note, "/v1/chat/completions", FIRST_NOTE_RUNNERS, "stream",
	    true, 60000);
	add_route(
	    note, "/v1/completions", FIRST_NOTE_RUNNERS, "stream", true, 60000);
	add_route(
	    note, "/v1/drafts", FIRST_NOTE_RUNNERS, "stream", false, 60000);
	add_route(note, "/stock", FIRST_NOTE_SERVICES, "at_once", true, 5000);
	add_route(
	    note, "/confirm", FIRST_NOTE_SERVICES, "at_once", false, 5000);
	add_route(note, "/bookings", FIRST_NOTE_SERVICES, "later", false, 5000);
	add_route(note, "/dossiers", FIRST_NOTE_SERVICES, "later", true, 5000);
	add_item(note, "customers",
	    json_pack("{s:s,s:i}", "name", "depot", "weight", 1));
	add_item(note, "customers",
	    json_pack("{s:s,s:i}", "name", "planners", "weight", 3));
	text = json_dumps(note, JSON_INDENT(2));
	json_decref(note);
	return text;
}
