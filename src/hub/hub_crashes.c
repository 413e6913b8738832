#include "hub/hub_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/partmsg.h"

/// Separate crashes for which a part must be suspected to be blocked, and those
/// of a part that was blocked before.
#define HUB_BLOCK_CRASHES 3
#define HUB_REPEAT_CRASHES 1
/// Suspects that gateways are asked about at once.
#define HUB_MAX_SUSPECTS 64
/// Gateways that haven't answered by then have nothing to say.
#define HUB_ANSWER_US (300 * USEC_PER_MSEC)
#define HUB_ASK_AGAIN_US USEC_PER_SEC
/// Length of the first block of a part; each further one is twice as long.
#define HUB_BLOCK_US (600 * USEC_PER_SEC)
#define HUB_MAX_BLOCK_DOUBLINGS 7

static bool
is_blocked(const struct hub *h, const struct crashlog_part *part)
{
	const struct hubstate_block *b = hubstate_block(h->state, part);

	return b != NULL && b->until_us > hub_wall_clock_us(h);
}

/// Sends a gateway the blocked parts and the open question, if there is one.
static void
send_parts(struct hub *h, const struct hub_gateway *g)
{
	struct wire_msg msg = { .kind = WIRE_PARTS };
	const uint64_t wall = hub_wall_clock_us(h);
	struct partmsg_state s;
	uint8_t *bytes;

	partmsg_state_init(&s);
	s.blocked_revision = hubstate_blocks_revision(h->state);
	for (size_t i = 0; i < hubstate_n_blocks(h->state); i++) {
		const struct hubstate_block *b = hubstate_block_at(h->state, i);
		const struct partmsg_timed out = {
			.part = b->part,
			.time_us = b->until_us - MIN(wall, b->until_us),
		};

		if (out.time_us > 0)
			g_array_append_val(s.blocked, out);
	}
	if (h->question_is_open) {
		s.question = h->parts_question;
		g_array_append_vals(
		    s.suspects, h->asked_parts->data, h->asked_parts->len);
	}
	partmsg_state_encode(&s, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	(void)transport_send(h->links, g->link, &msg);
	free(bytes);
	partmsg_state_clear(&s);
}

/// Sends a gateway the blocked parts if it doesn't have the newest ones.
void
hub_crashes_send_blocked(struct hub *h, const struct hub_gateway *g)
{
	if (g->knows_parts &&
	    g->blocked_revision < hubstate_blocks_revision(h->state))
		send_parts(h, g);
}

/// The parts that may be to blame for enough crashes to be blocked.
///
/// @return struct crashlog_suspect, the strongest suspicion first; to be
///         released with g_array_unref()
static GArray *
find_suspects(const struct hub *h)
{
	GArray *all = crashlog_suspects(h->crashlog, HUB_REPEAT_CRASHES);

	for (guint i = all->len; i > 0; i--) {
		const struct crashlog_suspect *p =
		    &g_array_index(all, struct crashlog_suspect, i - 1);

		if (p->n_separate < HUB_BLOCK_CRASHES &&
		    hubstate_block(h->state, &p->part) == NULL)
			g_array_remove_index(all, i - 1);
	}
	return all;
}

static bool
can_be_asked(const struct hub *h, const struct hub_gateway *g)
{
	return g->knows_parts && hub_gateway_is_alive(h, g);
}

/// Asks all live gateways when they last answered prompts with the strongest
/// suspects. Does nothing while an earlier question or a block is open.
static void
ask(struct hub *h)
{
	GArray *suspects;
	GHashTableIter it;
	gpointer value;

	if (h->question_is_open || h->blocking_part)
		return;
	h->crashes_changed = false;
	suspects = find_suspects(h);
	h->has_suspects = suspects->len > 0;
	g_array_set_size(h->asked_parts, 0);
	for (guint i = 0; i < MIN(suspects->len, HUB_MAX_SUSPECTS); i++)
		g_array_append_val(h->asked_parts,
		    g_array_index(suspects, struct crashlog_suspect, i).part);
	g_array_unref(suspects);
	if (!h->has_suspects)
		return;
	h->question_is_open = true;
	h->asked_us = loop_now_us(h->loop);
	h->parts_question++;
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (can_be_asked(h, value))
			send_parts(h, value);
	}
}

static void
on_blocked(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct hub *h = arg;

	(void)result;
	(void)len;
	h->blocking_part = false;
	if (status != STATUS_OK) {
		logger_event(LOGGER_WARN, "part.not_blocked", "status=%s",
		    status_name(status));
		return;
	}
	for (size_t i = 0; i < hubstate_n_blocks(h->state); i++) {
		const struct hubstate_block *b = hubstate_block_at(h->state, i);

		if (is_blocked(h, &b->part))
			crashlog_explain(h->crashlog, &b->part);
	}
	h->crashes_changed = true;
}

static void
block(struct hub *h, const struct crashlog_suspect *p)
{
	const struct hubstate_block *known = hubstate_block(h->state, &p->part);
	const uint32_t n = known != NULL ? known->n_blocks : 0;
	const uint64_t length_us = HUB_BLOCK_US
	    << MIN(n, HUB_MAX_BLOCK_DOUBLINGS);
	const struct hubstate_command c = {
		.kind = HUBSTATE_BLOCK,
		.block = {
			.part = p->part,
			.until_us = hub_wall_clock_us(h) + length_us,
			.n_blocks = n + 1,
		},
	};

	logger_event(LOGGER_WARN, "part.blocked",
	    "service=%s part=%" PRIx64 " crashes=%u separate=%u for_s=%" PRIu64,
	    p->part.service, p->part.id, p->n_crashes, p->n_separate,
	    length_us / USEC_PER_SEC);
	h->blocking_part = true;
	hub_propose(h, &c, on_blocked, h);
}

static bool
was_asked(const struct hub *h, const struct crashlog_part *part)
{
	for (guint i = 0; i < h->asked_parts->len; i++) {
		const struct crashlog_part *p =
		    &g_array_index(h->asked_parts, struct crashlog_part, i);

		if (p->id == part->id && strcmp(p->service, part->service) == 0)
			return true;
	}
	return false;
}

/// Ends the open question: blocks the strongest suspect, if gateways were asked
/// about it and its service answers other prompts.
static void
decide(struct hub *h)
{
	GArray *suspects = find_suspects(h);

	h->question_is_open = false;
	for (guint i = 0; i < suspects->len && !h->blocking_part; i++) {
		const struct crashlog_suspect *p =
		    &g_array_index(suspects, struct crashlog_suspect, i);

		if (p->service_answers && was_asked(h, &p->part))
			block(h, p);
	}
	g_array_unref(suspects);
}

static bool
all_have_answered(const struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hub_gateway *g = value;

		if (can_be_asked(h, g) &&
		    g->parts_question != h->parts_question)
			return false;
	}
	return true;
}

/// Handles a gateway's report that a server has crashed.
void
hub_crashes_on_report(struct hub *h, const struct wire_bytes *bytes)
{
	const uint64_t now = loop_now_us(h->loop);
	struct partmsg_crash c;

	partmsg_crash_init(&c);
	if (partmsg_crash_decode(bytes->data, bytes->len, &c) != STATUS_OK) {
		logger_event(LOGGER_WARN, "parts.unreadable", "reason=\"%s\"",
		    status_last());
	} else if (hub_is_leader(h)) {
		crashlog_add(h->crashlog, now - MIN(c.age_us, now), c.server,
		    c.service, c.in_flight);
		for (guint i = 0; i < c.in_flight->len; i++) {
			struct crashlog_part part = {
				.id = g_array_index(
				    c.in_flight, struct crashlog_in_flight, i)
					  .id,
			};

			(void)g_strlcpy(
			    part.service, c.service, sizeof(part.service));
			if (is_blocked(h, &part))
				crashlog_explain(h->crashlog, &part);
		}
		h->crashes_changed = true;
	}
	partmsg_crash_clear(&c);
}

static void
record_answer(struct hub *h, const struct partmsg_answer *a)
{
	const uint64_t now = loop_now_us(h->loop);

	for (guint i = 0; i < a->answered->len; i++) {
		const struct partmsg_timed *t =
		    &g_array_index(a->answered, struct partmsg_timed, i);

		crashlog_on_answered(
		    h->crashlog, &t->part, now - MIN(t->time_us, now));
	}
	for (guint i = 0; i < a->services->len; i++) {
		const struct partmsg_timed *t =
		    &g_array_index(a->services, struct partmsg_timed, i);

		crashlog_on_service_answered(
		    h->crashlog, t->part.service, now - MIN(t->time_us, now));
	}
}

/// Handles a gateway's response to the blocked and suspected parts.
void
hub_crashes_on_answer(
    struct hub *h, struct hub_gateway *g, const struct wire_bytes *bytes)
{
	struct partmsg_answer a;

	partmsg_answer_init(&a);
	if (partmsg_answer_decode(bytes->data, bytes->len, &a) != STATUS_OK) {
		logger_event(LOGGER_WARN, "parts.unreadable", "reason=\"%s\"",
		    status_last());
	} else {
		g->knows_parts = true;
		g->blocked_revision = a.blocked_revision;
		g->parts_question = a.question;
		record_answer(h, &a);
		if (hub_is_leader(h) && h->question_is_open &&
		    all_have_answered(h))
			decide(h);
		if (hub_is_leader(h))
			hub_crashes_send_blocked(h, g);
	}
	partmsg_answer_clear(&a);
}

/// Starts without evidence, as the new leader: gateways send their newest crash
/// reports again.
void
hub_crashes_reset(struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	crashlog_reset(h->crashlog);
	h->crashes_changed = false;
	h->question_is_open = false;
	h->has_suspects = false;
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct hub_gateway *)value)->blocked_revision = 0;
}

/// Asks about the suspects when there are new crashes, and again while there
/// are suspects; decides without the gateways that don't answer.
void
hub_crashes_tick(struct hub *h, uint64_t now_us)
{
	if (h->question_is_open && now_us >= h->asked_us + HUB_ANSWER_US)
		decide(h);
	if (h->crashes_changed ||
	    (h->has_suspects && now_us >= h->asked_us + HUB_ASK_AGAIN_US))
		ask(h);
}
