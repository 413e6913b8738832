#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/partmsg.h"

static const char blocked_reason[] = "a part of the prompt crashes servers";

/// Writes the ids of the parts of a request's prompt that other requests may
/// share, which are all but the last one: hexadecimal, separated by commas; "-"
/// if there are none.
void
gateway_parts_text(const struct gateway_request *q, char *out, size_t size)
{
	size_t len = 0;

	(void)g_strlcpy(out, "-", size);
	for (uint32_t i = 0; i + 1 < q->call.n_parts && len < size; i++)
		len += (size_t)g_snprintf(out + len, size - len, "%s%" PRIx64,
		    i > 0 ? "," : "", q->call.parts[i].id);
}

/// Records that a request's prompt was answered completely.
void
gateway_parts_answered(const struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);

	if (q->call.n_parts == 0)
		return;
	gateway_service_load(g, q->service->name)->answered_us = now;
	for (uint32_t i = 0; i + 1 < q->call.n_parts; i++)
		partlog_record(g->answered_parts, q->service->name,
		    q->call.parts[i].id, now);
}

/// Until when a prompt is refused because prompts with one of its parts crash
/// the servers of a service; 0: it isn't.
uint64_t
gateway_parts_blocked_until(const struct gateway *g, const char *service,
    const struct api_request *call)
{
	const uint64_t now = loop_now_us(g->loop);

	for (guint i = 0; i < g->blocked_parts->len; i++) {
		const struct gateway_blocked_part *b = &g_array_index(
		    g->blocked_parts, struct gateway_blocked_part, i);

		if (now >= b->until_us || strcmp(b->part.service, service) != 0)
			continue;
		for (uint32_t k = 0; k < call->n_parts; k++) {
			if (call->parts[k].id == b->part.id)
				return b->until_us;
		}
	}
	return 0;
}

/// Refuses a request with a blocked part, and releases it. The status says
/// whether it may have run.
void
gateway_parts_refuse(struct gateway_request *q, uint64_t until_us)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);

	g->n_blocked->value++;
	if (q->call_handle != HANDLE_NONE || q->verdict != VERDICT_NOT_RUN)
		gateway_fail(q, 502, 0, blocked_reason);
	else
		gateway_fail(q, 503, until_us - now, blocked_reason);
}

/// Refuses the requests in progress that have a blocked part.
static void
refuse_in_progress(struct gateway *g)
{
	for (handle_t handle = slotmap_next(g->requests, HANDLE_NONE);
	     handle != HANDLE_NONE;
	     handle = slotmap_next(g->requests, handle)) {
		struct gateway_request *q = slotmap_get(g->requests, handle);
		const uint64_t until =
		    gateway_parts_blocked_until(g, q->service->name, &q->call);

		if (until != 0)
			gateway_parts_refuse(q, until);
	}
}

/// Puts control's blocked parts in force.
static void
apply_blocked(struct gateway *g, const struct partmsg_state *s)
{
	const uint64_t now = loop_now_us(g->loop);

	if (s->blocked_revision <= g->blocked_revision)
		return;
	g->blocked_revision = s->blocked_revision;
	g_array_set_size(g->blocked_parts, 0);
	for (guint i = 0; i < s->blocked->len; i++) {
		const struct partmsg_timed *t =
		    &g_array_index(s->blocked, struct partmsg_timed, i);
		const struct gateway_blocked_part b = {
			.part = t->part,
			.until_us = now + t->time_us,
		};

		logger_event(LOGGER_WARN, "part.in_force",
		    "service=%s part=%" PRIx64 " left_s=%" PRIu64,
		    b.part.service, b.part.id, t->time_us / USEC_PER_SEC);
		g_array_append_val(g->blocked_parts, b);
	}
	refuse_in_progress(g);
}

/// Appends when a suspect, and its service, were last answered here.
static void
add_answered(const struct gateway *g, const struct crashlog_part *suspect,
    struct partmsg_answer *out)
{
	const uint64_t now = loop_now_us(g->loop);
	const uint64_t at =
	    partlog_last_us(g->answered_parts, suspect->service, suspect->id);
	const struct gateway_service_load *l =
	    g_hash_table_lookup(g->loads, suspect->service);
	struct partmsg_timed t = { .part = *suspect };

	if (at != 0) {
		t.time_us = now - at;
		g_array_append_val(out->answered, t);
	}
	if (l != NULL && l->answered_us != 0) {
		t.time_us = now - l->answered_us;
		t.part.id = 0;
		g_array_append_val(out->services, t);
	}
}

static void
send_answer(
    struct gateway *g, handle_t link, const struct partmsg_state *question)
{
	struct wire_msg msg = { .kind = WIRE_PARTS_ANSWER };
	struct partmsg_answer answer;
	uint8_t *bytes;

	partmsg_answer_init(&answer);
	answer.blocked_revision = g->blocked_revision;
	answer.question = question->question;
	for (guint i = 0; i < question->suspects->len; i++)
		add_answered(g,
		    &g_array_index(question->suspects, struct crashlog_part, i),
		    &answer);
	partmsg_answer_encode(&answer, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	(void)transport_send(g->links, link, &msg);
	free(bytes);
	partmsg_answer_clear(&answer);
}

/// Tells a control process the revision of the blocked parts in force here.
/// Blocked parts are sent only to gateways that do so: an older gateway would
/// close the link. For the same reason this is sent to a process only once.
void
gateway_parts_tell_revision(struct gateway *g, handle_t link)
{
	struct partmsg_state no_question;

	partmsg_state_init(&no_question);
	send_answer(g, link, &no_question);
	partmsg_state_clear(&no_question);
}

/// Handles the leader's message about blocked and suspected parts, and responds
/// to it.
void
gateway_parts_on_state(
    struct gateway *g, handle_t link, const struct wire_bytes *bytes)
{
	struct partmsg_state s;

	partmsg_state_init(&s);
	if (partmsg_state_decode(bytes->data, bytes->len, &s) == STATUS_OK) {
		apply_blocked(g, &s);
		send_answer(g, link, &s);
	} else {
		logger_event(LOGGER_WARN, "parts.unreadable", "reason=\"%s\"",
		    status_last());
	}
	partmsg_state_clear(&s);
}
