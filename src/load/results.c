#include "load/results.h"

#include <glib.h>

#define US_PER_S 1000000U
/// Seconds after the planned end of a run that still get counts of their own,
/// for requests that end late.
#define DRAIN_SECONDS 120

static const char *const outcome_names[LOADGEN_OUTCOMES] = {
	[LOADGEN_COMPLETE] = "whole",
	[LOADGEN_WRONG] = "wrong",
	[LOADGEN_TRUNCATED] = "cut",
	[LOADGEN_REFUSED] = "refused",
	[LOADGEN_FAILED] = "failed",
	[LOADGEN_TIMEOUT] = "timeout",
	[LOADGEN_NO_ENTRY] = "no_entry",
};

/// Name of an outcome, as in the JSON results; static.
const char *
loadgen_outcome_name(enum loadgen_outcome outcome)
{
	return outcome_names[outcome];
}

/// Creates the empty results of a run.
struct loadgen_results *
loadgen_results_new(double duration_s)
{
	struct loadgen_results *f = g_new0(struct loadgen_results, 1);

	for (int k = 0; k < LOADGEN_KINDS; k++) {
		f->kinds[k].ttft = loadgen_hist_new();
		f->kinds[k].total_time = loadgen_hist_new();
	}
	f->inter_token = loadgen_hist_new();
	f->accept_time = loadgen_hist_new();
	f->n_seconds = (uint32_t)duration_s + DRAIN_SECONDS;
	f->per_second = g_new0(struct loadgen_second, f->n_seconds);
	return f;
}

/// Frees results and what they own.
void
loadgen_results_free(struct loadgen_results *f)
{
	for (int k = 0; k < LOADGEN_KINDS; k++) {
		loadgen_hist_free(f->kinds[k].ttft);
		loadgen_hist_free(f->kinds[k].total_time);
	}
	loadgen_hist_free(f->inter_token);
	loadgen_hist_free(f->accept_time);
	json_decref(f->servers);
	g_free(f->per_second);
	g_free(f);
}

/// Returns the counts of the second that a time since the start of the run
/// falls in; times past the end of the array count in its last second.
struct loadgen_second *
loadgen_results_second(struct loadgen_results *f, uint64_t at_us)
{
	const uint64_t s = at_us / US_PER_S;

	return &f->per_second[MIN(s, f->n_seconds - 1)];
}

/// Adds a request that was not completed to the samples; only the first
/// LOADGEN_MAX_SAMPLES are kept.
void
loadgen_results_sample(
    struct loadgen_results *f, const struct loadgen_sample *sample)
{
	if (f->n_samples < LOADGEN_MAX_SAMPLES)
		f->samples[f->n_samples++] = *sample;
}

static json_t *
ms_json(uint64_t us)
{
	return json_real((double)us / 1000);
}

/// Returns count, quantiles and maximum of a histogram as JSON, in
/// milliseconds; the caller owns it.
json_t *
loadgen_hist_json(const struct loadgen_hist *h)
{
	return json_pack("{s:I,s:o,s:o,s:o,s:o}", "n",
	    (json_int_t)loadgen_hist_count(h), "p50",
	    ms_json(loadgen_hist_quantile(h, 0.5)), "p95",
	    ms_json(loadgen_hist_quantile(h, 0.95)), "p99",
	    ms_json(loadgen_hist_quantile(h, 0.99)), "max",
	    ms_json(loadgen_hist_max(h)));
}

static json_t *
kind_json(const struct loadgen_kind_results *k)
{
	json_t *o = json_object();

	for (int e = 0; e < LOADGEN_OUTCOMES; e++)
		(void)json_object_set_new(o, outcome_names[e],
		    json_integer((json_int_t)k->outcomes[e]));
	(void)json_object_set_new(
	    o, "good", json_integer((json_int_t)k->within_target));
	(void)json_object_set_new(o, "first_ms", loadgen_hist_json(k->ttft));
	(void)json_object_set_new(
	    o, "whole_ms", loadgen_hist_json(k->total_time));
	return o;
}

static uint64_t
kind_total(const struct loadgen_kind_results *k)
{
	uint64_t n = 0;

	for (int e = 0; e < LOADGEN_OUTCOMES; e++)
		n += k->outcomes[e];
	return n;
}

static json_t *
totals_json(const struct loadgen_results *f)
{
	json_t *o = json_object();
	uint64_t sum;
	uint64_t good = 0;
	uint64_t sent = 0;

	for (int e = 0; e < LOADGEN_OUTCOMES; e++) {
		sum = 0;
		for (int k = 0; k < LOADGEN_KINDS; k++)
			sum += f->kinds[k].outcomes[e];
		(void)json_object_set_new(
		    o, outcome_names[e], json_integer((json_int_t)sum));
		sent += sum;
	}
	for (int k = 0; k < LOADGEN_KINDS; k++)
		good += f->kinds[k].within_target;
	(void)json_object_set_new(o, "sent", json_integer((json_int_t)sent));
	(void)json_object_set_new(o, "good", json_integer((json_int_t)good));
	return o;
}

static json_t *
series_json(const struct loadgen_results *f)
{
	json_t *list = json_array();
	const uint32_t n = (uint32_t)f->seconds + 1;

	for (uint32_t i = 0; i < MIN(n, f->n_seconds); i++) {
		const struct loadgen_second *s = &f->per_second[i];

		(void)json_array_append_new(list,
		    json_pack("{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:o,s:o}", "s",
			(int)i, "sent", (int)s->sent, "whole",
			(int)s->completed, "good", (int)s->within_target,
			"refused", (int)s->refused, "bad", (int)s->failed,
			"tokens", (int)s->tokens, "first_mean_ms",
			ms_json(s->completed > 0 ? s->ttft_sum_us / s->completed
						 : 0),
			"first_max_ms", ms_json(s->ttft_max_us)));
	}
	return list;
}

static json_t *
samples_json(const struct loadgen_results *f)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < f->n_samples; i++) {
		const struct loadgen_sample *s = &f->samples[i];

		(void)json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:i,s:s}", "request_id", s->id,
			"kind", loadgen_kind_name(s->kind), "end",
			outcome_names[s->outcome], "status", s->http_status,
			"text", s->text));
	}
	return list;
}

/// Results of each kind of which a request ended.
static json_t *
kinds_json(const struct loadgen_results *f)
{
	json_t *o = json_object();

	for (int k = 0; k < LOADGEN_KINDS; k++) {
		if (kind_total(&f->kinds[k]) > 0)
			(void)json_object_set_new(o,
			    loadgen_kind_name((enum loadgen_kind)k),
			    kind_json(&f->kinds[k]));
	}
	return o;
}

/// Returns the results of a run as JSON; the caller owns it.
json_t *
loadgen_results_json(const struct loadgen_results *f)
{
	const double s = f->seconds > 0 ? f->seconds : 1;
	json_t *totals = totals_json(f);
	const double good =
	    (double)json_integer_value(json_object_get(totals, "good"));
	json_t *o = json_pack("{s:f,s:o,s:f,s:f,s:o,s:o,s:o,s:{s:I,s:I,s:I,s:I}"
			      ",s:I,s:I,s:I,s:I,s:o,s:o}",
	    "seconds", f->seconds, "totals", totals, "goodput_per_s", good / s,
	    "tokens_per_s", (double)f->tokens / s, "kinds", kinds_json(f),
	    "between_tokens_ms", loadgen_hist_json(f->inter_token),
	    "accepted_ms", loadgen_hist_json(f->accept_time), "verdicts",
	    "not run", (json_int_t)f->verdicts[VERDICT_NOT_RUN], "may have run",
	    (json_int_t)f->verdicts[VERDICT_MAY_HAVE_RUN], "ran",
	    (json_int_t)f->verdicts[VERDICT_RAN], "none",
	    (json_int_t)f->no_verdict, "redirected", (json_int_t)f->redirected,
	    "resent", (json_int_t)f->resent, "resumed", (json_int_t)f->resumed,
	    "most_open", (json_int_t)f->max_in_flight, "samples",
	    samples_json(f), "series", series_json(f));

	if (f->servers != NULL)
		(void)json_object_set(o, "servers", f->servers);
	return o;
}
