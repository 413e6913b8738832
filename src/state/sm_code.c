#include "codec/mp.h"
#include "state/sm_code.h"
#include "state/sm_state.h"

#include <stdlib.h>
#include <string.h>

#define PHASES (SM_WITHDRAWN + 1)
#define SOURCES (SM_BY_NOTE + 1)
#define COMMANDS (SM_GONE + 1)
#define NAME(m, field) mp_str((m), (field), sizeof(field))

/// A process of the system.
void
sm_code_member(struct mp *m, struct sm_member *v)
{
	NAME(m, v->name);
	mp_enum(m, &v->role, SM_CONTROL + 1);
	NAME(m, v->data_centre);
	NAME(m, v->host);
	mp_u16(m, &v->port);
	mp_u64(m, &v->incarnation);
}

static void
code_version_command(struct mp *m, struct sm_command *c)
{
	NAME(m, c->version.version);
	mp_enum(m, &c->version.phase, PHASES);
	mp_u32(m, &c->version.share_permille);
	mp_enum(m, &c->version.expect_phase, PHASES);
	mp_u32(m, &c->version.expect_share_permille);
	NAME(m, c->version.reason);
}

static void
code_leaving(struct mp *m, struct sm_command *c)
{
	NAME(m, c->leaving.name);
	mp_bool(m, &c->leaving.data_centre);
	mp_u64(m, &c->leaving.incarnation);
	mp_enum(m, &c->leaving.source, SOURCES);
	mp_u64(m, &c->leaving.at_ms);
	mp_u64(m, &c->leaving.notice);
}

static void
code_command(struct mp *m, struct sm_command *c)
{
	const uint8_t *text;

	mp_enum(m, &c->kind, COMMANDS);
	switch (c->kind) {
	case SM_NOTE:
		text = (const uint8_t *)c->note.text;
		mp_bytes(m, &text, &c->note.len);
		c->note.text = (const char *)text;
		return;
	case SM_VERSION:
		code_version_command(m, c);
		return;
	case SM_LEAVING:
		code_leaving(m, c);
		return;
	case SM_RETURNED:
		NAME(m, c->returned.server);
		mp_u64(m, &c->returned.incarnation);
		return;
	case SM_FENCE:
		mp_u64(m, &c->fence.term);
		return;
	case SM_MEMBER:
		sm_code_member(m, &c->member);
		return;
	case SM_GONE:
		NAME(m, c->gone.name);
		mp_u64(m, &c->gone.incarnation);
		return;
	}
}

/// Bytes of a command, for the log.
void
sm_encode(const struct sm_command *c, uint8_t **bytes, size_t *len)
{
	struct sm_command copy = *c;
	struct mp *m = mp_writer();

	code_command(m, &copy);
	mp_take(m, bytes, len);
}

/// Reads a command; the text of a note points into the bytes.
///
/// @return whether the bytes are a command
bool
sm_decode(struct sm_command *c, const uint8_t *bytes, size_t len)
{
	struct mp *m = mp_reader(bytes, len);
	bool good;

	memset(c, 0, sizeof(*c));
	code_command(m, c);
	good = mp_end(m);
	mp_free(m);
	return good;
}

static void
code_data_centre(struct mp *m, struct nt_data_centre *v)
{
	NAME(m, v->name);
	NAME(m, v->region);
	mp_bool(m, &v->reclaiming);
}

static void
code_vm_class(struct mp *m, struct nt_vm_class *v)
{
	NAME(m, v->name);
	NAME(m, v->data_centre);
	mp_bool(m, &v->reclaimable);
	mp_u64(m, &v->price_micros_per_hour);
	mp_u32(m, &v->accelerators);
	mp_u32(m, &v->tokens_per_s);
	mp_u32(m, &v->max_vms);
}

static void
code_server(struct mp *m, struct sm_server *v)
{
	NAME(m, v->conf.name);
	NAME(m, v->conf.pool);
	NAME(m, v->conf.data_centre);
	NAME(m, v->conf.host);
	mp_u16(m, &v->conf.port);
	mp_u32(m, &v->conf.n_versions);
	if (v->conf.n_versions > NT_MAX_VERSIONS_PER_SERVER) {
		mp_fail(m);
		v->conf.n_versions = 0;
	}
	for (uint32_t i = 0; i < v->conf.n_versions; i++)
		NAME(m, v->conf.versions[i]);
	mp_bool(m, &v->conf.fenced);
	mp_u64(m, &v->incarnation);
	mp_bool(m, &v->leaving);
	mp_enum(m, &v->source, SOURCES);
	mp_u64(m, &v->leaving_at_ms);
	mp_u64(m, &v->leaving_as_of);
}

static void
code_version(struct mp *m, struct sm_version *v)
{
	NAME(m, v->conf.name);
	NAME(m, v->conf.pool);
	NAME(m, v->conf.replaces);
	mp_u64(m, &v->conf.complete_by_s);
	mp_u64(m, &v->conf.weight_bytes);
	mp_enum(m, &v->phase, PHASES);
	mp_u32(m, &v->share_permille);
	mp_bool(m, &v->in_force);
	NAME(m, v->previous);
	NAME(m, v->reason);
	mp_u64(m, &v->revision);
	mp_u64(m, &v->as_of);
}

static void
code_adapter(struct mp *m, struct nt_adapter *v)
{
	NAME(m, v->name);
	NAME(m, v->version);
	mp_u64(m, &v->weight_bytes);
}

static void
code_route(struct mp *m, struct nt_route *v)
{
	NAME(m, v->path);
	NAME(m, v->pool);
	mp_enum(m, &v->mode, NT_LATER + 1);
	mp_bool(m, &v->idempotent);
	mp_u32(m, &v->priority);
	mp_u32(m, &v->first_token_ms);
	mp_u32(m, &v->between_tokens_ms);
	mp_u32(m, &v->timeout_ms);
}

static void
code_customer(struct mp *m, struct nt_customer *v)
{
	NAME(m, v->name);
	NAME(m, v->key_hash);
	mp_u32(m, &v->weight);
}

/// An item of the configuration.
void
sm_code_item(struct mp *m, enum nt_kind kind, void *item)
{
	struct nt_pool *pool = item;

	switch (kind) {
	case NT_DATA_CENTRE:
		code_data_centre(m, item);
		return;
	case NT_VM_CLASS:
		code_vm_class(m, item);
		return;
	case NT_POOL:
		NAME(m, pool->name);
		mp_enum(m, &pool->kind, NT_SERVICE + 1);
		return;
	case NT_BACKEND_SERVER:
		code_server(m, item);
		return;
	case NT_VERSION:
		code_version(m, item);
		return;
	case NT_ADAPTER:
		code_adapter(m, item);
		return;
	case NT_ROUTE:
		code_route(m, item);
		return;
	case NT_CUSTOMER:
		code_customer(m, item);
		return;
	case NT_KINDS:
		break;
	}
	abort();
}

/// The move to a version.
void
sm_code_move(struct mp *m, struct sm_move *v)
{
	mp_u64(m, &v->revision);
	NAME(m, v->version);
	NAME(m, v->pool);
	mp_enum(m, &v->phase, PHASES);
	mp_u32(m, &v->share_permille);
	NAME(m, v->reason);
	mp_u64(m, &v->as_of);
}
