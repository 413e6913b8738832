#include "load/options.h"

#include <glib.h>

/// Sets the defaults: the daytime mix of requests of the customers depot and
/// planners, 20 a second for 10 s.
void
loadgen_options_default(struct loadgen_options *o)
{
	*o = (struct loadgen_options){
		.trace = {
			.seed = 1,
			.rate_per_s = 20,
			.duration_s = 10,
			.mix = { [LOADGEN_CONTRACT] = 5, [LOADGEN_CHAT] = 40,
			    [LOADGEN_DOSSIER] = 10, [LOADGEN_QUESTION] = 25,
			    [LOADGEN_BOOKING] = 5, [LOADGEN_LOOKUP] = 15 },
			.n_histories = 6,
			.history_bytes = 24000,
			.token_permille = 1000,
		},
		.run = {
			.timeout_ms = 60000,
			.ttft_target_ms = 540,
			.inter_token_target_ms = 37,
			.duration_s = 10,
		},
		.customers = "depot,planners",
	};
}

static double
read_number(const json_t *o, const char *key, double fallback)
{
	const json_t *v = json_object_get(o, key);

	return json_is_number(v) ? json_number_value(v) : fallback;
}

static void
read_string(const json_t *o, const char *key, char *out, size_t size)
{
	const char *v = json_string_value(json_object_get(o, key));

	if (v != NULL)
		(void)g_strlcpy(out, v, size);
}

/// Reads the "trace" of an experiment file; members left out keep their
/// defaults. `o` must not be moved or copied after this, since o->trace points
/// into it.
///
/// @return STATUS_INVALID when the mix can't be parsed
enum status
loadgen_options_read(const json_t *object, struct loadgen_options *o)
{
	const char *mix = json_string_value(json_object_get(object, "mix"));
	struct loadgen_trace_settings *t = &o->trace;

	loadgen_options_default(o);
	t->rate_per_s = read_number(object, "rate_per_s", t->rate_per_s);
	t->duration_s = read_number(object, "duration_s", t->duration_s);
	t->n_histories =
	    (uint32_t)read_number(object, "histories", t->n_histories);
	t->history_bytes =
	    (uint32_t)read_number(object, "history_bytes", t->history_bytes);
	t->token_permille =
	    (uint32_t)read_number(object, "token_permille", t->token_permille);
	o->run.duration_s = t->duration_s;
	o->run.timeout_ms =
	    (uint32_t)read_number(object, "timeout_ms", o->run.timeout_ms);
	o->run.verify_text = json_is_true(json_object_get(object, "check"));
	o->run.max_resends = (uint32_t)read_number(object, "resend", 0);
	read_string(object, "customers", o->customers, sizeof(o->customers));
	read_string(object, "model", o->model, sizeof(o->model));
	t->customers = o->customers;
	t->model = o->model;
	return mix != NULL ? loadgen_mix_parse(mix, t->mix) : STATUS_OK;
}

static enum status
read_addresses(const json_t *list, struct loadgen_address *out, uint32_t *n)
{
	*n = 0;
	for (size_t i = 0; i < json_array_size(list); i++) {
		const char *text = json_string_value(json_array_get(list, i));

		if (*n >= LOADGEN_MAX_TARGETS || text == NULL ||
		    loadgen_address_parse(text, &out[*n]) != STATUS_OK)
			return status_fail(STATUS_INVALID,
			    "'targets' and 'servers' of an arm must be up to %d IP:PORT",
			    LOADGEN_MAX_TARGETS);
		(*n)++;
	}
	return STATUS_OK;
}

/// Reads the addresses in "targets" and "servers" of an experiment's arm.
///
/// @return STATUS_INVALID when there are no targets, or an address is bad
enum status
loadgen_options_servers(
    const json_t *arm, struct loadgen_run_settings *settings)
{
	enum status st = read_addresses(json_object_get(arm, "targets"),
	    settings->targets, &settings->n_targets);

	if (st == STATUS_OK && settings->n_targets == 0)
		return status_fail(STATUS_INVALID,
		    "an arm of the experiment has no 'targets'");
	if (st != STATUS_OK)
		return st;
	return read_addresses(json_object_get(arm, "servers"),
	    settings->servers, &settings->n_servers);
}
