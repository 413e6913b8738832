#include "codec/codec.h"
#include "state/catalog_codec.h"
#include "state/catalog_internal.h"

#include <stdlib.h>
#include <string.h>

#define PHASE_COUNT (CATALOG_PHASE_WITHDRAWN + 1)
#define SOURCE_COUNT (CATALOG_SOURCE_NOTE + 1)
#define COMMAND_COUNT (CATALOG_CMD_MEMBER_REMOVE + 1)
#define NAME(m, field) codec_str((m), (field), sizeof(field))

/// Writes or reads a process of the system.
void
catalog_codec_member(struct codec *m, struct catalog_member *v)
{
	NAME(m, v->name);
	codec_enum(m, &v->role, CATALOG_ROLE_CONTROL + 1);
	NAME(m, v->data_centre);
	NAME(m, v->host);
	codec_u16(m, &v->port);
	codec_u64(m, &v->incarnation);
}

static void
code_version_command(struct codec *m, struct catalog_command *c)
{
	NAME(m, c->version_share.version);
	codec_enum(m, &c->version_share.phase, PHASE_COUNT);
	codec_u32(m, &c->version_share.share_permille);
	codec_enum(m, &c->version_share.expect_phase, PHASE_COUNT);
	codec_u32(m, &c->version_share.expect_share_permille);
	NAME(m, c->version_share.reason);
}

static void
code_draining(struct codec *m, struct catalog_command *c)
{
	NAME(m, c->draining.name);
	codec_bool(m, &c->draining.data_centre);
	codec_u64(m, &c->draining.incarnation);
	codec_enum(m, &c->draining.source, SOURCE_COUNT);
	codec_u64(m, &c->draining.deadline_ms);
	codec_u64(m, &c->draining.notice);
}

static void
code_command(struct codec *m, struct catalog_command *c)
{
	const uint8_t *text;

	codec_enum(m, &c->kind, COMMAND_COUNT);
	switch (c->kind) {
	case CATALOG_CMD_NOTE:
		text = (const uint8_t *)c->note.text;
		codec_bytes(m, &text, &c->note.len);
		c->note.text = (const char *)text;
		return;
	case CATALOG_CMD_VERSION_SHARE:
		code_version_command(m, c);
		return;
	case CATALOG_CMD_DRAINING:
		code_draining(m, c);
		return;
	case CATALOG_CMD_RETURNED:
		NAME(m, c->returned.server);
		codec_u64(m, &c->returned.incarnation);
		return;
	case CATALOG_CMD_FENCE:
		codec_u64(m, &c->fence.term);
		return;
	case CATALOG_CMD_MEMBER_SET:
		catalog_codec_member(m, &c->member);
		return;
	case CATALOG_CMD_MEMBER_REMOVE:
		NAME(m, c->member_remove.name);
		codec_u64(m, &c->member_remove.incarnation);
		return;
	}
}

void
catalog_encode(const struct catalog_command *c, uint8_t **bytes, size_t *len)
{
	struct catalog_command copy = *c;
	struct codec *m = codec_writer();

	code_command(m, &copy);
	codec_take(m, bytes, len);
}

/// Decodes a command; the text of a note points into the bytes.
///
/// @return whether the bytes are a command
bool
catalog_decode(struct catalog_command *c, const uint8_t *bytes, size_t len)
{
	struct codec *m = codec_reader(bytes, len);
	bool good;

	memset(c, 0, sizeof(*c));
	code_command(m, c);
	good = codec_at_end(m);
	codec_free(m);
	return good;
}

static void
code_data_centre(struct codec *m, struct spec_data_centre *v)
{
	NAME(m, v->name);
	NAME(m, v->region);
	codec_bool(m, &v->reclaiming);
}

static void
code_vm_class(struct codec *m, struct spec_vm_class *v)
{
	NAME(m, v->name);
	NAME(m, v->data_centre);
	codec_bool(m, &v->reclaimable);
	codec_u64(m, &v->price_micros_per_hour);
	codec_u32(m, &v->accelerators);
	codec_u32(m, &v->tokens_per_s);
	codec_u32(m, &v->max_vms);
}

static void
code_server(struct codec *m, struct catalog_server *v)
{
	NAME(m, v->spec.name);
	NAME(m, v->spec.pool);
	NAME(m, v->spec.data_centre);
	NAME(m, v->spec.host);
	codec_u16(m, &v->spec.port);
	codec_u32(m, &v->spec.n_versions);
	if (v->spec.n_versions > SPEC_MAX_VERSIONS_PER_SERVER) {
		codec_fail(m);
		v->spec.n_versions = 0;
	}
	for (uint32_t i = 0; i < v->spec.n_versions; i++)
		NAME(m, v->spec.versions[i]);
	codec_bool(m, &v->spec.fenced);
	codec_u64(m, &v->incarnation);
	codec_bool(m, &v->draining);
	codec_enum(m, &v->source, SOURCE_COUNT);
	codec_u64(m, &v->drain_deadline_ms);
	codec_u64(m, &v->drain_sequence);
}

static void
code_version(struct codec *m, struct catalog_version *v)
{
	NAME(m, v->spec.name);
	NAME(m, v->spec.pool);
	NAME(m, v->spec.replaces);
	codec_u64(m, &v->spec.complete_by_s);
	codec_u64(m, &v->spec.weight_bytes);
	codec_enum(m, &v->phase, PHASE_COUNT);
	codec_u32(m, &v->share_permille);
	codec_bool(m, &v->in_force);
	NAME(m, v->previous);
	NAME(m, v->reason);
	codec_u64(m, &v->revision);
	codec_u64(m, &v->changed_sequence);
}

static void
code_adapter(struct codec *m, struct spec_adapter *v)
{
	NAME(m, v->name);
	NAME(m, v->version);
	codec_u64(m, &v->weight_bytes);
}

static void
code_route(struct codec *m, struct spec_route *v)
{
	NAME(m, v->path);
	NAME(m, v->pool);
	codec_enum(m, &v->mode, SPEC_MODE_ASYNC + 1);
	codec_bool(m, &v->idempotent);
	codec_u32(m, &v->priority);
	codec_u32(m, &v->first_token_ms);
	codec_u32(m, &v->between_tokens_ms);
	codec_u32(m, &v->timeout_ms);
}

static void
code_customer(struct codec *m, struct spec_customer *v)
{
	NAME(m, v->name);
	NAME(m, v->key_hash);
	codec_u32(m, &v->weight);
}

/// Writes or reads an item of the configuration.
///
/// @param item  struct that the catalog keeps for this kind
void
catalog_codec_item(struct codec *m, enum spec_kind kind, void *item)
{
	struct spec_pool *pool = item;

	switch (kind) {
	case SPEC_KIND_DATA_CENTRE:
		code_data_centre(m, item);
		return;
	case SPEC_KIND_VM_CLASS:
		code_vm_class(m, item);
		return;
	case SPEC_KIND_POOL:
		NAME(m, pool->name);
		codec_enum(m, &pool->kind, SPEC_SERVER_SERVICE + 1);
		return;
	case SPEC_KIND_BACKEND_SERVER:
		code_server(m, item);
		return;
	case SPEC_KIND_VERSION:
		code_version(m, item);
		return;
	case SPEC_KIND_ADAPTER:
		code_adapter(m, item);
		return;
	case SPEC_KIND_ROUTE:
		code_route(m, item);
		return;
	case SPEC_KIND_CUSTOMER:
		code_customer(m, item);
		return;
	case SPEC_KIND_COUNT:
		break;
	}
	abort();
}

/// Writes or reads the rollout of a version.
void
catalog_codec_rollout(struct codec *m, struct catalog_rollout *v)
{
	codec_u64(m, &v->revision);
	NAME(m, v->version);
	NAME(m, v->pool);
	codec_enum(m, &v->phase, PHASE_COUNT);
	codec_u32(m, &v->share_permille);
	NAME(m, v->reason);
	codec_u64(m, &v->changed_sequence);
}
