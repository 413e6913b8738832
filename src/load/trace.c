#include "load/trace.h"

#include "base/rnd.h"
#include "load/expect.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#define BLOCK_BYTES 64
#define CHATS 24
#define CHAT_TURNS 12
#define PERMILLE 1000
#define CUSTOMER_SKEW 2

/// One crew chat, whose next turn repeats all that was said.
struct chat {
	uint32_t number;
	uint32_t turns;
	json_t *messages;
	GString *prompt;
};

struct builder {
	const struct loadgen_trace_settings *settings;
	struct rnd *rnd;
	GArray *items;
	GHashTable *blocks; ///< Hashes of blocks seen so far.
	struct chat chats[CHATS];
	char **customers;
	uint32_t n_customers;
	uint32_t n_chats;
	uint32_t number;
	uint64_t first_seen;
	uint64_t prompt_tokens;
};

/// What each kind of request looks like.
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

/// Name of a kind of request.
const char *
loadgen_kind_name(enum loadgen_kind kind)
{
	return shapes[kind].name;
}

static int
kind_named(const char *name)
{
	for (int k = 0; k < LOADGEN_KINDS; k++) {
		if (strcmp(shapes[k].name, name) == 0)
			return k;
	}
	return -1;
}

/// Reads a mix as "chat=40,lookup=15"; kinds left out don't occur.
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
		kind = kind_named(*p);
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

/// Text of made-up words that depends on the seed alone.
static char *
text_of(uint64_t seed, size_t bytes)
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

/// A few customers are large: each is half as busy as the one before.
static char *
draw_customer(struct builder *b)
{
	uint32_t i = 0;

	while (i + 1 < b->n_customers && rnd_below(b->rnd, CUSTOMER_SKEW) != 0)
		i++;
	return g_strdup(b->customers[i]);
}

/// Counts the tokens of a prompt that were never seen at its place, and
/// remembers its blocks and those of its answer.
static void
count_blocks(
    struct builder *b, const char *prompt, const struct loadgen_request *item)
{
	const size_t len = strlen(prompt);
	char *answer = loadgen_expected_text(item->prompt_hash, item->n_tokens);
	char *text = g_strconcat(prompt, "assistant: ", answer, NULL);
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
		b->first_seen += (len - seen) / LOADGEN_BYTES_PER_PROMPT_TOKEN;
	g_free(text);
	g_free(answer);
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

/// Fills in what follows from the prompt, and the body. Takes `body`.
static void
finish_completion(struct builder *b, struct loadgen_request *item,
    const char *prompt, json_t *body)
{
	const uint32_t max = max_tokens(b, item->kind);

	item->prompt_hash = loadgen_prompt_hash(prompt, strlen(prompt));
	item->n_tokens = loadgen_expected_tokens(item->prompt_hash, max);
	if (b->settings->model[0] != '\0')
		(void)json_object_set_new(
		    body, "model", json_string(b->settings->model));
	(void)json_object_set_new(body, "max_tokens", json_integer(max));
	(void)json_object_set_new(body, "stream", json_boolean(item->stream));
	item->body = json_dumps(body, JSON_COMPACT);
	item->len = strlen(item->body);
	json_decref(body);
	count_blocks(b, prompt, item);
}

static void
make_single(struct builder *b, struct loadgen_request *item)
{
	char *text = text_of(rnd_u64(b->rnd), shapes[item->kind].prompt_bytes);
	char *prompt = g_strdup_printf("user: %s\n", text);

	finish_completion(b, item, prompt,
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
chat_say(struct chat *c, const char *role, const char *content)
{
	(void)json_array_append_new(c->messages, message(role, content));
	g_string_append_printf(c->prompt, "%s: %s\n", role, content);
}

static void
make_turn(struct builder *b, struct loadgen_request *item)
{
	struct chat *c = &b->chats[rnd_below(b->rnd, CHATS)];
	char *text =
	    text_of(rnd_u64(b->rnd), shapes[LOADGEN_CHAT].prompt_bytes);
	char *answer;

	if (c->messages == NULL || c->turns >= CHAT_TURNS)
		chat_start(b, c);
	c->turns++;
	chat_say(c, "user", text);
	finish_completion(b, item, c->prompt->str,
	    json_pack("{s:O}", "messages", c->messages));
	answer = loadgen_expected_text(
	    item->prompt_hash, max_tokens(b, LOADGEN_CHAT));
	chat_say(c, "assistant", answer);
	g_free(answer);
	g_free(text);
}

static void
make_dossier(struct builder *b, struct loadgen_request *item)
{
	const uint64_t which =
	    rnd_below(b->rnd, MAX(b->settings->n_histories, 1));
	char *history = text_of(
	    b->settings->seed * 1000003 + which, b->settings->history_bytes);
	char *question =
	    text_of(rnd_u64(b->rnd), shapes[LOADGEN_DOSSIER].prompt_bytes);
	char *prompt = g_strdup_printf("%s\n%s", history, question);

	finish_completion(
	    b, item, prompt, json_pack("{s:s}", "prompt", prompt));
	g_free(prompt);
	g_free(question);
	g_free(history);
}

static void
make_plain(struct builder *b, struct loadgen_request *item)
{
	char *text = text_of(rnd_u64(b->rnd), shapes[item->kind].prompt_bytes);

	item->body = g_strdup_printf("{\"what\":\"%s\"}", text);
	item->len = strlen(item->body);
	if (item->kind == LOADGEN_BOOKING || item->kind == LOADGEN_CONFIRM)
		item->key = g_strdup_printf("k-%llu-%u",
		    (unsigned long long)b->settings->seed, b->number);
	g_free(text);
}

static void
make_item(struct builder *b, uint64_t at_us)
{
	const enum loadgen_kind kind = draw_kind(b);
	struct loadgen_request item = {
		.at_us = at_us,
		.kind = kind,
		.path = shapes[kind].path,
		.stream = shapes[kind].stream,
		.completion = shapes[kind].completion,
	};

	b->number++;
	item.customer = draw_customer(b);
	if (kind == LOADGEN_CHAT)
		make_turn(b, &item);
	else if (kind == LOADGEN_DOSSIER)
		make_dossier(b, &item);
	else if (item.completion)
		make_single(b, &item);
	else
		make_plain(b, &item);
	g_array_append_val(b->items, item);
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
struct loadgen_trace *
loadgen_trace_new(const struct loadgen_trace_settings *settings)
{
	struct builder b = {
		.settings = settings,
		.rnd = rnd_new(settings->seed),
		.items =
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
		make_item(&b, (uint64_t)(at_s * 1000000));
	}
	t->uncacheable_tokens = b.first_seen;
	t->prompt_tokens = b.prompt_tokens;
	t->n = b.items->len;
	t->items =
	    (struct loadgen_request *)(void *)g_array_free(b.items, FALSE);
	builder_free(&b);
	return t;
}

/// Releases a trace.
void
loadgen_trace_free(struct loadgen_trace *t)
{
	for (size_t i = 0; i < t->n; i++) {
		g_free(t->items[i].customer);
		free(t->items[i].body);
		g_free(t->items[i].key);
	}
	g_free(t->items);
	g_free(t);
}
