#include "rollout/rollout_codec.h"

#include "base/validate.h"

#include <assert.h>
#include <msgpack.h>
#include <string.h>

#define HEADER_FIELDS 5
#define COUNT_FIELDS 7

static void
pack_count(msgpack_packer *p, const struct rollout_count *c)
{
	(void)msgpack_pack_uint64(p, c->pool);
	(void)msgpack_pack_uint64(p, c->version);
	(void)msgpack_pack_uint64(p, c->route);
	(void)msgpack_pack_uint64(p, c->load);
	(void)msgpack_pack_uint64(p, c->metric);
	(void)msgpack_pack_uint64(p, c->bucket);
	(void)msgpack_pack_uint64(p, c->n);
}

/// Encodes a report.
///
/// @param stopped  versions stopped by the entry, at most ROLLOUT_MAX_VERSIONS
/// @param bytes    receives the bytes; to be freed with free()
void
rollout_report_encode(const struct rollout_report *report,
    const uint64_t *stopped, size_t n_stopped, uint8_t **bytes, size_t *len)
{
	msgpack_sbuffer buf;
	msgpack_packer p;

	assert(n_stopped <= ROLLOUT_MAX_VERSIONS);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	(void)msgpack_pack_array(
	    &p, HEADER_FIELDS + n_stopped + (size_t)report->n * COUNT_FIELDS);
	(void)msgpack_pack_uint64(&p, report->entry);
	(void)msgpack_pack_uint64(&p, report->incarnation);
	(void)msgpack_pack_uint64(&p, report->number);
	(void)msgpack_pack_uint64(&p, n_stopped);
	(void)msgpack_pack_uint64(&p, report->n);
	for (size_t i = 0; i < n_stopped; i++)
		(void)msgpack_pack_uint64(&p, stopped[i]);
	for (uint32_t i = 0; i < report->n; i++)
		pack_count(&p, &report->counts[i]);
	*len = buf.size;
	*bytes = (uint8_t *)msgpack_sbuffer_release(&buf);
	msgpack_sbuffer_destroy(&buf);
}

static bool
is_array_of_numbers(const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size < HEADER_FIELDS)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		if (o->via.array.ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
	}
	return true;
}

static bool
unpack_count(const msgpack_object *v, struct rollout_count *c)
{
	c->pool = v[0].via.u64;
	c->version = v[1].via.u64;
	c->route = v[2].via.u64;
	if (v[3].via.u64 > UINT8_MAX || v[4].via.u64 >= ROLLOUT_N_METRICS ||
	    v[5].via.u64 > UINT8_MAX || v[6].via.u64 > UINT32_MAX)
		return false;
	c->load = (uint8_t)v[3].via.u64;
	c->metric = (uint8_t)v[4].via.u64;
	c->bucket = (uint8_t)v[5].via.u64;
	c->n = (uint32_t)v[6].via.u64;
	return true;
}

static bool
unpack_report(const msgpack_object *o, struct rollout_message *out)
{
	const msgpack_object *v;
	uint64_t n_stopped;
	uint64_t n;

	if (!is_array_of_numbers(o))
		return false;
	v = o->via.array.ptr;
	out->report.entry = v[0].via.u64;
	out->report.incarnation = v[1].via.u64;
	out->report.number = v[2].via.u64;
	n_stopped = v[3].via.u64;
	n = v[4].via.u64;
	if (n_stopped > ROLLOUT_MAX_VERSIONS || n > ROLLOUT_MAX_REPORT_COUNTS)
		return false;
	if (o->via.array.size != HEADER_FIELDS + n_stopped + n * COUNT_FIELDS)
		return false;
	v += HEADER_FIELDS;
	out->n_stopped = (uint32_t)n_stopped;
	for (uint64_t i = 0; i < n_stopped; i++)
		out->stopped[i] = v[i].via.u64;
	v += n_stopped;
	out->report.n = (uint32_t)n;
	for (uint64_t i = 0; i < n; i++, v += COUNT_FIELDS) {
		if (!unpack_count(v, &out->report.counts[i]))
			return false;
	}
	return true;
}

/// Decodes a report.
///
/// @return STATUS_OK; STATUS_CORRUPT: not an encoded report
enum status
rollout_report_decode(
    const uint8_t *bytes, size_t len, struct rollout_message *out)
{
	msgpack_unpacked unpacked;
	size_t used = 0;
	bool ok;

	memset(out, 0, sizeof(*out));
	if (!validate_msgpack(bytes, len))
		return status_fail(
		    STATUS_CORRUPT, "rollout report: invalid msgpack");
	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, (const char *)bytes, len, &used) ==
	    MSGPACK_UNPACK_SUCCESS;
	ok = ok && used == len && unpack_report(&unpacked.data, out);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		return status_fail(
		    STATUS_CORRUPT, "rollout report: unexpected fields");
	return STATUS_OK;
}
