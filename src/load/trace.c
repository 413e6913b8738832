#include "load/trace.h"

#include "base/rnd.h"
#include "load/expect.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#define BLOCK_BYTES 64 ///< Unit of prefix caching: 16 prompt tokens.
#define CHATS 24
#define CHAT_TURNS 12
#define PERMILLE 1000
#define CUSTOMER_RATIO 2 ///< Requests of a customer over the next one's.

/// One chat; the prompt of its next turn repeats all earlier messages.
struct chat {
	uint32_t number;
	uint32_t turns;
	json_t *messages;
	GString *prompt;
};

/// State of the planning of a trace.
struct builder {
	const struct loadgen_trace_settings *settings;
	struct rnd *rnd;
	GArray *requests;
	GHashTable *blocks; ///< Hashes of all prefixes so far, by block.
	struct chat chats[CHATS];
	char **customers;
	uint32_t n_customers;
	uint32_t n_chats;
	uint32_t n_requests;
	uint64_t uncacheable_tokens;
	uint64_t prompt_tokens;
};

/// Properties of each kind of request.
struct shape {
	const char *name;
	const char *path;
	uint32_t prompt_bytes;
	uint32_t max_tokens;
	bool completion;
	bool stream;
};

static const struct shape shapes[LOADGEN_KINDS] = {
	[LOADGEN_CONTRACT] = { "contract", "/v1/chat/completions", 6000, 400,
	    true, true },
	[LOADGEN_CHAT] = { "chat", "/v1/chat/completions", 160, 60, true,
	    true },
	[LOADGEN_DOSSIER] = { "dossier", "/v1/completions", 200, 200, true,
	    true },
	[LOADGEN_QUESTION] = { "question", "/v1/chat/completions", 240, 40,
	    true, false },
	[LOADGEN_BOOKING] = { "booking", "/bookings", 200, 0, false, false },
	[LOADGEN_CONFIRM] = { "confirm", "/confirm", 100, 0, false, false },
	[LOADGEN_LOOKUP] = { "lookup", "/stock", 60, 0, false, false },
};

static const char *const words[] = { "carpet", "roll", "stanchion", "opera",
	"ceremony", "lot", "vanilla", "pod", "moisture", "port", "cured",
	"depot", "truck", "gala", "koper", "csepel" };

/// Name of a kind of request, as in a mix and in results; static.
const char *
loadgen_kind_name(enum loadgen_kind kind)
{
	return shapes[kind].name;
}

static int
find_kind(const char *name)
{
	for (int k = 0; k < LOADGEN_KINDS; k++) {
		if (strcmp(shapes[k].name, name) == 0)
			return k;
	}
	return -1;
}

/// Parses a mix such as "chat=40,lookup=15"; kinds left out don't occur.
///
/// @return STATUS_INVALID for an unknown kind, or when all frequencies are 0
enum status
loadgen_mix_parse(const char *text, uint32_t mix[LOADGEN_KINDS])
{
	char **parts = g_strsplit(text, ",", -1);
	enum status status = STATUS_OK;
	uint32_t sum = 0;

	memset(mix, 0, sizeof(mix[0]) * LOADGEN_KINDS);
	for (char **p = parts; *p != NULL && status == STATUS_OK; p++) {
		char *value = strchr(*p, '=');
		int kind;

		if (value != NULL)
			*value++ = '\0';
		kind = find_kind(*p);
		if (kind < 0 || value == NULL) {
			status = status_fail(STATUS_INVALID,
			    "'%s' in the mix is not KIND=NUMBER", *p);
			continue;
		}
		mix[kind] = (uint32_t)g_ascii_strtoull(value, NULL, 10);
		sum += mix[kind];
	}
	g_strfreev(parts);
	if (status == STATUS_OK && sum == 0)
		return status_fail(STATUS_INVALID, "the mix is empty");
	return status;
}

/// Returns `bytes` bytes of random words that depend on the seed alone; the
/// caller frees them with g_free().
static char *
random_text(uint64_t seed, size_t bytes)
{
	struct rnd *r = rnd_new(seed);
	GString *s = g_string_sized_new(bytes + 16);

	while (s->len < bytes)
		g_string_append_printf(s, "%s %u ",
		    words[rnd_below(r, G_N_ELEMENTS(words))],
		    (unsigned)rnd_below(r, 10000));
	g_string_truncate(s, bytes);
	if (bytes > 0)
		s->str[bytes - 1] = '.';
	rnd_free(r);
	return g_string_free(s, FALSE);
}

static enum loadgen_kind
draw_kind(struct builder *b)
{
	uint64_t sum = 0;
	uint64_t at;

	for (int k = 0; k < LOADGEN_KINDS; k++)
		sum += b->settings->mix[k];
	at = rnd_below(b->rnd, sum);
	for (int k = 0; k < LOADGEN_KINDS; k++) {
		if (at < b->settings->mix[k])
			return (enum loadgen_kind)k;
		at -= b->settings->mix[k];
	}
	return LOADGEN_LOOKUP;
}

/// Draws a customer with a skewed distribution: each gets half as many requests
/// as the one before, the last as many as the one before it.
static char *
draw_customer(struct builder *b)
{
	uint32_t i = 0;

	while (i + 1 < b->n_customers && rnd_below(b->rnd, CUSTOMER_RATIO) != 0)
		i++;
	return g_strdup(b->customers[i]);
}

/// Counts the tokens of a prompt, and those after the longest prefix that it
/// shares with earlier prompts and their responses. Then adds the prefixes of
/// the prompt and its response to b->blocks.
static void
count_prompt_tokens(struct builder *b, const char *prompt,
    const struct loadgen_request *request)
{
	const size_t len = strlen(prompt);
	char *response =
	    loadgen_expected_text(request->prompt_hash, request->n_tokens);
	char *text = g_strconcat(prompt, "assistant: ", response, NULL);
	const size_t total = strlen(text);
	uint64_t hash = 0;
	size_t seen = 0;

	for (size_t at = 0; at + BLOCK_BYTES <= total; at += BLOCK_BYTES) {
		hash = XXH64(text + at, BLOCK_BYTES, hash);
		if (g_hash_table_contains(b->blocks, &hash)) {
			seen = at + BLOCK_BYTES;
			continue;
		}
		(void)g_hash_table_add(
		    b->blocks, g_memdup2(&hash, sizeof(hash)));
	}
	b->prompt_tokens += len / LOADGEN_BYTES_PER_PROMPT_TOKEN;
	if (seen < len)
		b->uncacheable_tokens +=
		    (len - seen) / LOADGEN_BYTES_PER_PROMPT_TOKEN;
	g_free(text);
	g_free(response);
}

static uint32_t
max_tokens(const struct builder *b, enum loadgen_kind kind)
{
	const uint32_t n =
	    shapes[kind].max_tokens * b->settings->token_permille / PERMILLE;

	return MAX(n, 2);
}

static json_t *
message(const char *role, const char *content)
{
	return json_pack("{s:s,s:s}", "role", role, "content", content);
}

/// Sets the members of a completion request that depend on its prompt, and
/// serializes its body. Takes ownership of `body`.
static void
finish_completion(struct builder *b, struct loadgen_request *request,
    const char *prompt, json_t *body)
{
	const uint32_t max = max_tokens(b, request->kind);

	request->prompt_hash = loadgen_prompt_hash(prompt, strlen(prompt));
	request->n_tokens = loadgen_expected_tokens(request->prompt_hash, max);
	if (b->settings->model[0] != '\0')
		(void)json_object_set_new(
		    body, "model", json_string(b->settings->model));
	(void)json_object_set_new(body, "max_tokens", json_integer(max));
	(void)json_object_set_new(
	    body, "stream", json_boolean(request->stream));
	request->body = json_dumps(body, JSON_COMPACT);
	request->len = strlen(request->body);
	json_decref(body);
	count_prompt_tokens(b, prompt, request);
}

static void
plan_single_message(struct builder *b, struct loadgen_request *request)
{
	char *text =
	    random_text(rnd_u64(b->rnd), shapes[request->kind].prompt_bytes);
	char *prompt = g_strdup_printf("user: %s\n", text);

	finish_completion(b, request, prompt,
	    json_pack("{s:[o]}", "messages", message("user", text)));
	g_free(prompt);
	g_free(text);
}

static void
chat_start(struct builder *b, struct chat *c)
{
	json_decref(c->messages);
	if (c->prompt != NULL)
		g_string_free(c->prompt, TRUE);
	c->number = b->n_chats++;
	c->turns = 0;
	c->messages = json_array();
	c->prompt = g_string_new(NULL);
}

static void
chat_append(struct chat *c, const char *role, const char *content)
{
	(void)json_array_append_new(c->messages, message(role, content));
	g_string_append_printf(c->prompt, "%s: %s\n", role, content);
}

static void
plan_chat_turn(struct builder *b, struct loadgen_request *request)
{
	struct chat *c = &b->chats[rnd_below(b->rnd, CHATS)];
	char *text =
	    random_text(rnd_u64(b->rnd), shapes[LOADGEN_CHAT].prompt_bytes);
	char *response;

	if (c->messages == NULL || c->turns >= CHAT_TURNS)
		chat_start(b, c);
	c->turns++;
	chat_append(c, "user", text);
	finish_completion(b, request, c->prompt->str,
	    json_pack("{s:O}", "messages", c->messages));
	response = loadgen_expected_text(
	    request->prompt_hash, max_tokens(b, LOADGEN_CHAT));
	chat_append(c, "assistant", response);
	g_free(response);
	g_free(text);
}

static void
plan_dossier(struct builder *b, struct loadgen_request *request)
{
	const uint64_t history_index =
	    rnd_below(b->rnd, MAX(b->settings->n_histories, 1));
	char *history = random_text(b->settings->seed * 1000003 + history_index,
	    b->settings->history_bytes);
	char *question =
	    random_text(rnd_u64(b->rnd), shapes[LOADGEN_DOSSIER].prompt_bytes);
	char *prompt = g_strdup_printf("%s\n%s", history, question);

	finish_completion(
	    b, request, prompt, json_pack("{s:s}", "prompt", prompt));
	g_free(prompt);
	g_free(question);
	g_free(history);
}

static void
plan_service_call(struct builder *b, struct loadgen_request *request)
{
	char *text =
	    random_text(rnd_u64(b->rnd), shapes[request->kind].prompt_bytes);

	request->body = g_strdup_printf("{\"what\":\"%s\"}", text);
	request->len = strlen(request->body);
	if (request->kind == LOADGEN_BOOKING ||
	    request->kind == LOADGEN_CONFIRM)
		request->key = g_strdup_printf("k-%llu-%u",
		    (unsigned long long)b->settings->seed, b->n_requests);
	g_free(text);
}

static void
plan_request(struct builder *b, uint64_t at_us)
{
	const enum loadgen_kind kind = draw_kind(b);
	struct loadgen_request request = {
		.at_us = at_us,
		.kind = kind,
		.path = shapes[kind].path,
		.stream = shapes[kind].stream,
		.completion = shapes[kind].completion,
	};

	b->n_requests++;
	request.customer = draw_customer(b);
	if (kind == LOADGEN_CHAT)
		plan_chat_turn(b, &request);
	else if (kind == LOADGEN_DOSSIER)
		plan_dossier(b, &request);
	else if (request.completion)
		plan_single_message(b, &request);
	else
		plan_service_call(b, &request);
	g_array_append_val(b->requests, request);
}

static void
builder_free(struct builder *b)
{
	for (int i = 0; i < CHATS; i++) {
		json_decref(b->chats[i].messages);
		if (b->chats[i].prompt != NULL)
			g_string_free(b->chats[i].prompt, TRUE);
	}
	g_strfreev(b->customers);
	g_hash_table_destroy(b->blocks);
	rnd_free(b->rnd);
}

/// Plans all requests of a trace; equal settings give equal traces.
///
/// @return trace, to be freed with loadgen_trace_free()
struct loadgen_trace *
loadgen_trace_new(const struct loadgen_trace_settings *settings)
{
	struct builder b = {
		.settings = settings,
		.rnd = rnd_new(settings->seed),
		.requests =
		    g_array_new(FALSE, TRUE, sizeof(struct loadgen_request)),
		.blocks = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, NULL),
		.customers = g_strsplit(settings->customers, ",", -1),
	};
	struct loadgen_trace *t = g_new0(struct loadgen_trace, 1);
	double at_s = 0;

	b.n_customers = g_strv_length(b.customers);
	for (;;) {
		at_s += rnd_exponential(b.rnd, 1 / settings->rate_per_s);
		if (at_s >= settings->duration_s)
			break;
		plan_request(&b, (uint64_t)(at_s * 1000000));
	}
	t->uncacheable_tokens = b.uncacheable_tokens;
	t->prompt_tokens = b.prompt_tokens;
	t->n = b.requests->len;
	t->requests =
	    (struct loadgen_request *)(void *)g_array_free(b.requests, FALSE);
	builder_free(&b);
	return t;
}

/// Frees a trace.
void
loadgen_trace_free(struct loadgen_trace *t)
{
	for (size_t i = 0; i < t->n; i++) {
		g_free(t->requests[i].customer);
		free(t->requests[i].body);
		g_free(t->requests[i].key);
	}
	g_free(t->requests);
	g_free(t);
}
