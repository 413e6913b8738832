#include "conf/ds.h"
#include "conf/fd.h"

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <string.h>

#define PLACE_BYTES 64

static const char *const roles[] = { "gateway", "hub", NULL };
static const char *const levels[] = { "error", "warn", "info", "debug", NULL };

/// A number with its bounds and the value that stands for an absent one.
struct number {
	const char *key;
	size_t offset;
	double least;
	double most;
	double absent;
};

#define BOUND(k, f, a, b, d)                                               \
	{                                                                  \
		(k), offsetof(struct ds_settings, bounds.f), (a), (b), (d) \
	}

/// Defaults are those of a deployment of one region.
static const struct number bounds[] = {
	BOUND("contact_ms", contact_ms, 100, 60000, 3000),
	BOUND("ack_ms", ack_ms, 100, 60000, 4000),
	BOUND("catch_up_s", catch_up_s, 0.1, 600, 4),
	BOUND("drain_ms", drain_ms, 100, 600000, 3000),
	BOUND("stop_s", stop_s, 0.5, 600, 8),
	BOUND("apply_ms", apply_ms, 100, 60000, 2000),
	BOUND("revoke_ms", revoke_ms, 200, 600000, 5000),
	BOUND("retry_ratio", retry_ratio, 0, 1, 0.1),
	BOUND("retry_window_s", retry_window_s, 0.1, 600, 10),
	BOUND("retry_slack", retry_slack, 0, 1e9, 10),
	BOUND("quota_window_s", quota_window_s, 0.1, 600, 8),
	BOUND("quota_over", quota_over, 0, 10, 0.1),
	BOUND("quota_slack", quota_slack, 0, 1e12, 0),
	BOUND("duty_lease_ms", duty_lease_ms, 100, 60000, 3000),
	BOUND("usage_window_s", usage_window_s, 0.1, 3600, 5),
	BOUND("usage_late_s", usage_late_s, 0.1, 3600, 10),
	BOUND("canary_share", canary_share, 0.001, 1, 0.1),
	BOUND("canary_slack", canary_slack, 0, 1e6, 50),
	BOUND("take_back_ms", take_back_ms, 100, 600000, 5000),
	BOUND("pass_ms", pass_ms, 1, 60000, 120),
	{ .key = NULL },
};

#define PLAIN(k, f, a, b, d)                                        \
	{                                                           \
		(k), offsetof(struct ds_settings, f), (a), (b), (d) \
	}

static const struct number rates[] = {
	PLAIN("list_calls_per_s", list_calls_per_s, 0.1, 1e6, 10),
	PLAIN("duty_calls_per_s", duty_calls_per_s, 0.1, 1e6, 10),
	{ .key = NULL },
};

/// Numbers that aren't reals.
struct whole {
	const char *key;
	size_t offset;
	bool is_u16;
	double most;
	uint32_t absent;
};

#define WHOLE(k, f, u16, b, d)                                        \
	{                                                             \
		(k), offsetof(struct ds_settings, f), (u16), (b), (d) \
	}

static const struct whole wholes[] = {
	WHOLE("peer_port", peer_port, true, UINT16_MAX, 0),
	WHOLE("metrics_port", metrics_port, true, UINT16_MAX, 0),
	WHOLE("memory_mb", memory_mb, false, UINT32_MAX, 256),
	WHOLE("max_fds", max_fds, false, UINT32_MAX, 1024),
	WHOLE("tolerated_vms", tolerance.vms, false, 100, 1),
	WHOLE("tolerated_data_centres", tolerance.data_centres, false, 100, 0),
	WHOLE("tolerated_regions", tolerance.regions, false, 100, 0),
	{ .key = NULL },
};

static const char *const others[] = { "role", "node", "host", "data_centre",
	"region", "data_folder", "callers", "ready", "operators", "seeds",
	"first_start", "cloud", "duties", "zones", "bounds", "log_level",
	NULL };

static bool
absent(const json_t *v)
{
	return v == NULL || json_is_null(v);
}

static void
read_number(struct fd_doc *d, const char *path, const json_t *object,
    const struct number *n, struct ds_settings *s)
{
	const json_t *v = json_object_get(object, n->key);
	double *out = (double *)(void *)((char *)s + n->offset);
	char place[PLACE_BYTES];

	*out = n->absent;
	if (absent(v))
		return;
	(void)g_snprintf(place, sizeof(place), "%s.%s", path, n->key);
	if (!json_is_number(v) || !(json_number_value(v) >= n->least) ||
	    !(json_number_value(v) <= n->most)) {
		fd_problem(d, place, "must be a number from %g to %g", n->least,
		    n->most);
		return;
	}
	*out = json_number_value(v);
}

static void
read_whole(struct fd_doc *d, const struct whole *w, struct ds_settings *s)
{
	const json_t *v = json_object_get(d->root, w->key);
	char *at = (char *)s + w->offset;
	double n = w->absent;
	char place[PLACE_BYTES];

	if (!absent(v)) {
		n = json_number_value(v);
		(void)g_snprintf(place, sizeof(place), "$.%s", w->key);
		if (!json_is_number(v) || !(n >= 0 && n <= w->most) ||
		    floor(n) < n) {
			fd_problem(d, place,
			    "must be a whole number from 0 to %.0f", w->most);
			return;
		}
	}
	if (w->is_u16)
		*(uint16_t *)(void *)at = (uint16_t)n;
	else
		*(uint32_t *)(void *)at = (uint32_t)n;
}

static void
read_text(
    struct fd_doc *d, const char *key, bool required, char *out, size_t size)
{
	const json_t *v = json_object_get(d->root, key);
	char place[PLACE_BYTES];

	if (absent(v) && !required)
		return;
	(void)g_snprintf(place, sizeof(place), "$.%s", key);
	if (!json_is_string(v) || (required && json_string_length(v) == 0) ||
	    json_string_length(v) >= size) {
		fd_problem(
		    d, place, "must be a text of 1 to %zu bytes", size - 1);
		return;
	}
	(void)g_strlcpy(out, json_string_value(v), size);
}

static int
read_word(struct fd_doc *d, const char *key, const char *const *words, int def)
{
	const json_t *v = json_object_get(d->root, key);
	char place[PLACE_BYTES];

	if (absent(v) && def >= 0)
		return def;
	for (int i = 0; json_is_string(v) && words[i] != NULL; i++) {
		if (strcmp(words[i], json_string_value(v)) == 0)
			return i;
	}
	(void)g_snprintf(place, sizeof(place), "$.%s", key);
	fd_problem(d, place, "must be one of the known words, such as \"%s\"",
	    words[0]);
	return 0;
}

/// Reads "HOST:PORT".
static bool
split_address(const char *text, struct cf_addr *out)
{
	const char *colon = strrchr(text, ':');
	char *end;
	guint64 port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(out->host))
		return false;
	(void)g_strlcpy(out->host, text, (gsize)(colon - text) + 1);
	port = g_ascii_strtoull(colon + 1, &end, 10);
	out->port = (uint16_t)port;
	return *end == '\0' && port > 0 && port <= UINT16_MAX &&
	    g_hostname_is_ip_address(out->host);
}

static void
read_address(
    struct fd_doc *d, const char *key, bool required, struct cf_addr *out)
{
	const json_t *v = json_object_get(d->root, key);
	char place[PLACE_BYTES];

	if (!required && (absent(v) || json_string_length(v) == 0))
		return;
	(void)g_snprintf(place, sizeof(place), "$.%s", key);
	if (!json_is_string(v) || !split_address(json_string_value(v), out))
		fd_problem(d, place, "must be IP:PORT");
}

static void
read_seeds(struct fd_doc *d, struct ds_settings *s)
{
	const json_t *list = json_object_get(d->root, "seeds");
	const json_t *v;
	char place[PLACE_BYTES];
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > DS_MAX_SEEDS) {
		fd_problem(d, "$.seeds", "must be a list of up to %d addresses",
		    DS_MAX_SEEDS);
		return;
	}
	json_array_foreach(list, i, v)
	{
		(void)g_snprintf(place, sizeof(place), "$.seeds[%zu]", i);
		if (!json_is_string(v) ||
		    !split_address(json_string_value(v), &s->seeds[i]))
			fd_problem(d, place, "must be IP:PORT");
	}
	s->n_seeds = (uint32_t)json_array_size(list);
}

static void
read_zones(struct fd_doc *d, struct ds_settings *s)
{
	json_t *zones = json_object_get(d->root, "zones");
	const char *name;
	json_t *region;

	if (!json_is_object(zones) || json_object_size(zones) > DS_MAX_ZONES) {
		fd_problem(d, "$.zones",
		    "must name the region of up to %d data centres",
		    DS_MAX_ZONES);
		return;
	}
	json_object_foreach(zones, name, region)
	{
		(void)g_strlcpy(
		    s->zones[s->n_zones], name, sizeof(s->zones[0]));
		if (json_is_string(region))
			(void)g_strlcpy(s->regions[s->n_zones],
			    json_string_value(region), sizeof(s->regions[0]));
		s->n_zones++;
	}
}

static void
read_duties(struct fd_doc *d, struct ds_settings *s)
{
	const json_t *list = json_object_get(d->root, "duties");
	const json_t *v;
	size_t i;

	if (absent(list))
		return;
	if (!json_is_array(list)) {
		fd_problem(d, "$.duties", "must be a list");
		return;
	}
	json_array_foreach(list, i, v)
	{
		const char *word = json_string_value(v);

		if (word == NULL)
			fd_problem(d, "$.duties", "must hold words");
		else if (strcmp(word, "usage_report") == 0)
			s->reports_usage = true;
		else if (strcmp(word, "autoscaling") == 0)
			s->scales = true;
	}
}

static bool
is_known(const char *key)
{
	for (size_t i = 0; others[i] != NULL; i++) {
		if (strcmp(others[i], key) == 0)
			return true;
	}
	for (size_t i = 0; rates[i].key != NULL; i++) {
		if (strcmp(rates[i].key, key) == 0)
			return true;
	}
	for (size_t i = 0; wholes[i].key != NULL; i++) {
		if (strcmp(wholes[i].key, key) == 0)
			return true;
	}
	return false;
}

static void
check_keys(struct fd_doc *d)
{
	const char *key;
	json_t *value;
	char place[PLACE_BYTES];

	json_object_foreach(d->root, key, value)
	{
		if (is_known(key))
			continue;
		(void)g_snprintf(place, sizeof(place), "$.%s", key);
		fd_problem(d, place, "is not known");
	}
}

static void
read_role(struct fd_doc *d, struct ds_settings *s)
{
	const bool hub = s->role == DS_HUB;

	read_text(
	    d, "data_folder", hub, s->data_folder, sizeof(s->data_folder));
	read_address(d, "operators", hub, &s->operators);
	read_address(d, "callers", !hub, &s->callers);
	read_address(d, "ready", !hub, &s->ready);
	if (s->peer_port == 0)
		fd_problem(d, "$.peer_port", "is missing");
}

/// Reads and checks settings.
///
/// @param problems  receives every mistake
/// @return ST_OK or ST_INVALID
enum st
ds_parse(const char *json, size_t len, struct ds_settings *out,
    struct nt_problems *problems)
{
	const size_t before = problems->n;
	const json_t *object;
	struct fd_doc d;

	memset(out, 0, sizeof(*out));
	if (!fd_open(&d, json, len, problems))
		return st_fail(ST_INVALID, "settings are not a JSON object");
	check_keys(&d);
	out->role = (enum ds_role)read_word(&d, "role", roles, -1);
	out->log_level =
	    (enum lg_level)read_word(&d, "log_level", levels, LG_INFO);
	read_text(&d, "node", true, out->node, sizeof(out->node));
	read_text(&d, "host", true, out->host, sizeof(out->host));
	read_text(&d, "data_centre", true, out->data_centre,
	    sizeof(out->data_centre));
	read_text(&d, "region", false, out->region, sizeof(out->region));
	for (const struct whole *w = wholes; w->key != NULL; w++)
		read_whole(&d, w, out);
	for (const struct number *n = rates; n->key != NULL; n++)
		read_number(&d, "$", d.root, n, out);
	object = json_object_get(d.root, "bounds");
	for (const struct number *n = bounds; n->key != NULL; n++)
		read_number(&d, "$.bounds", object, n, out);
	out->first_start = json_is_true(json_object_get(d.root, "first_start"));
	read_address(&d, "cloud", true, &out->cloud);
	read_seeds(&d, out);
	read_zones(&d, out);
	read_duties(&d, out);
	read_role(&d, out);
	fd_close(&d);
	if (problems->n > before)
		return st_fail(ST_INVALID, "settings have %zu mistakes",
		    problems->n - before);
	return ST_OK;
}

/// Reads settings from a file.
///
/// @return ST_OK, ST_IO or ST_INVALID
enum st
ds_load(const char *file, struct ds_settings *out, struct nt_problems *problems)
{
	GError *error = NULL;
	gchar *text;
	gsize len;
	enum st st;

	if (!g_file_get_contents(file, &text, &len, &error)) {
		st = st_fail(ST_IO, "%s", error->message);
		g_error_free(error);
		return st;
	}
	st = ds_parse(text, len, out, problems);
	g_free(text);
	return st;
}
