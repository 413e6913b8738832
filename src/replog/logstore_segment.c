#include "replog/logstore_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define SEGMENT_PREFIX "log-"
#define RECORD_MAGIC 0x52474c41U
#define MAX_DATA_BYTES (64U << 20)

/// Header of a record; the data follow. `synced_bytes` is how much of the
/// segment was synced when the record was buffered. It distinguishes an
/// incomplete write at the end, which may be truncated, from damage.
struct record {
	uint64_t checksum; ///< Of all that follows, data included.
	uint32_t magic;
	uint32_t kind;
	uint64_t index;
	uint64_t term;
	uint64_t synced_bytes;
	uint64_t segment;
	uint32_t len;
	uint32_t padding; ///< 0
};

static uint64_t
checksum(const struct record *r, const uint8_t *data)
{
	const XXH64_hash_t header_hash =
	    XXH64((const uint8_t *)r + sizeof(r->checksum),
		sizeof(*r) - sizeof(r->checksum), 0);

	return XXH64(data, r->len, header_hash);
}

static struct logstore_segment *
last_segment(const struct logstore *d)
{
	if (d->segments->len == 0)
		return NULL;
	return &g_array_index(
	    d->segments, struct logstore_segment, d->segments->len - 1);
}

static char *
segment_name(uint64_t number)
{
	return g_strdup_printf(
	    SEGMENT_PREFIX "%016" G_GINT64_MODIFIER "x", number);
}

/// Index of the last entry, written or buffered.
uint64_t
logstore_last_index(const struct logstore *d)
{
	return d->first + d->terms->len - 1;
}

/// Records the term of an entry and forgets the entries that it replaces.
static void
track_entry(struct logstore *d, uint64_t index, uint64_t term)
{
	if (d->terms->len == 0)
		d->first = index;
	if (index < d->first) {
		g_array_set_size(d->terms, 0);
		d->first = index;
	}
	g_array_set_size(d->terms, (guint)(index - d->first));
	g_array_append_val(d->terms, term);
}

/// Makes a segment the one that is written: closes the file of the previous one
/// and opens its file, which is created if it doesn't exist.
static enum status
open_segment(struct logstore *d, uint64_t number)
{
	char *name = segment_name(number);
	char *path = logstore_path(d, name);

	if (d->fd >= 0)
		(void)d->os.close(d->os.arg, d->fd);
	d->fd = d->os.open(d->os.arg, path, true);
	g_free(path);
	g_free(name);
	if (d->fd < 0)
		return logstore_mark_failed(
		    d, logstore_io_error(d, "open", "segment"));
	return STATUS_OK;
}

/// Starts a new segment after the last one.
static enum status
add_segment(struct logstore *d)
{
	const struct logstore_segment *last = last_segment(d);
	const struct logstore_segment added = {
		.number = last ? last->number + 1 : 1
	};
	const enum status status = open_segment(d, added.number);

	if (status != STATUS_OK)
		return status;
	g_array_append_val(d->segments, added);
	d->synced_bytes = 0;
	d->folder_dirty = true;
	return STATUS_OK;
}

/// Buffers an entry; logstore_sync() writes it.
///
/// @param entry  its data are copied
/// @return STATUS_OK, STATUS_IO, STATUS_FULL or the status of an earlier
/// failure
enum status
logstore_append(struct logstore *d, const struct raft_entry *entry)
{
	struct record r = { .magic = RECORD_MAGIC,
		.kind = entry->kind,
		.index = entry->index,
		.term = entry->term,
		.len = entry->len };
	struct logstore_segment *seg = last_segment(d);
	enum status status;

	if (d->error != STATUS_OK)
		return status_fail(d->error,
		    "%s: operation refused: an earlier write or sync failed",
		    d->folder);
	if (seg == NULL || seg->bytes + d->buffer->len >= d->os.segment_bytes) {
		status = logstore_segments_flush(d);
		if (status == STATUS_OK)
			status = add_segment(d);
		if (status != STATUS_OK)
			return status;
		seg = last_segment(d);
	}
	r.synced_bytes = d->synced_bytes;
	r.segment = seg->number;
	r.checksum = checksum(&r, entry->data);
	g_byte_array_append(d->buffer, (const guint8 *)&r, sizeof(r));
	if (entry->len > 0)
		g_byte_array_append(d->buffer, entry->data, entry->len);
	seg->max_index = MAX(seg->max_index, entry->index);
	track_entry(d, entry->index, entry->term);
	return STATUS_OK;
}

/// Writes and syncs the buffered records, and syncs the folder if a segment was
/// created.
enum status
logstore_segments_flush(struct logstore *d)
{
	struct logstore_segment *seg = last_segment(d);
	enum status status;

	if (d->buffer->len > 0) {
		status = logstore_write_at(
		    d, d->fd, d->buffer->data, d->buffer->len, seg->bytes);
		if (status == STATUS_OK && d->os.sync(d->os.arg, d->fd) != 0)
			status = logstore_io_error(d, "sync", "segment");
		if (status != STATUS_OK)
			return logstore_mark_failed(d, status);
		seg->bytes += d->buffer->len;
		d->synced_bytes = seg->bytes;
		g_byte_array_set_size(d->buffer, 0);
	}
	if (d->folder_dirty) {
		if (d->os.sync_folder(d->os.arg, d->folder) != 0)
			return logstore_mark_failed(
			    d, logstore_io_error(d, "sync", "the folder"));
		d->folder_dirty = false;
	}
	return STATUS_OK;
}

static bool
valid_record(
    const GByteArray *file, size_t offset, uint64_t segment, struct record *r)
{
	if (file->len - offset < sizeof(*r))
		return false;
	memcpy(r, file->data + offset, sizeof(*r));
	return r->magic == RECORD_MAGIC && r->segment == segment &&
	    r->len <= MAX_DATA_BYTES && r->kind <= RAFT_EMPTY &&
	    r->len <= file->len - offset - sizeof(*r) &&
	    r->checksum == checksum(r, file->data + offset + sizeof(*r));
}

/// Whether the byte at `bad_offset` was synced once, according to a valid
/// record after it.
static bool
was_synced(const GByteArray *file, size_t bad_offset, uint64_t segment)
{
	for (size_t offset = bad_offset + 1; offset < file->len; offset++) {
		struct record r;

		if (valid_record(file, offset, segment, &r) &&
		    r.synced_bytes > bad_offset)
			return true;
	}
	return false;
}

static enum status
missing_entries_error(const struct logstore *d, uint64_t before)
{
	return status_fail(STATUS_CORRUPT,
	    "%s: log entries before index %" G_GUINT64_FORMAT
	    " are missing; empty the folder so that the process joins anew",
	    d->folder, before);
}

static enum status
load_record(struct logstore *d, const struct record *r, const uint8_t *data,
    uint64_t snapshot_index, GArray *entries)
{
	const struct raft_entry e = { .index = r->index,
		.term = r->term,
		.kind = (enum raft_entry_kind)r->kind,
		.len = r->len,
		.data = g_memdup2(data, r->len) };

	if (entries->len > 0) {
		const uint64_t first =
		    g_array_index(entries, struct raft_entry, 0).index;

		if (r->index <= first) {
			g_array_set_size(entries, 0);
		} else if (r->index <= first + entries->len) {
			g_array_set_size(entries, (guint)(r->index - first));
		} else if (r->index <= snapshot_index + 1) {
			// A crash while segments were removed left some that
			// the snapshot covers.
			g_array_set_size(entries, 0);
		} else {
			g_free(e.data);
			return missing_entries_error(d, r->index);
		}
	}
	g_array_append_val(entries, e);
	return STATUS_OK;
}

/// Cuts a segment off at an offset, and syncs it. It is then the one that is
/// written.
static enum status
truncate_tail(struct logstore *d, struct logstore_segment *seg, size_t offset)
{
	enum status status = open_segment(d, seg->number);

	if (status != STATUS_OK)
		return status;
	if (d->os.truncate(d->os.arg, d->fd, offset) != 0 ||
	    d->os.sync(d->os.arg, d->fd) != 0)
		return logstore_mark_failed(
		    d, logstore_io_error(d, "truncate", "segment"));
	return STATUS_OK;
}

static enum status
load_segment(struct logstore *d, struct logstore_segment *seg, bool last,
    GArray *entries, struct logstore_loaded *loaded)
{
	char *name = segment_name(seg->number);
	GByteArray *file = NULL;
	enum status status = logstore_read_file(d, name, &file);
	struct record r;

	while (status == STATUS_OK && seg->bytes < file->len &&
	    valid_record(file, seg->bytes, seg->number, &r)) {
		status = load_record(d, &r, file->data + seg->bytes + sizeof(r),
		    loaded->snapshot_index, entries);
		seg->max_index = MAX(seg->max_index, r.index);
		seg->bytes += sizeof(r) + r.len;
	}
	if (status == STATUS_OK && seg->bytes < file->len) {
		if (!last || was_synced(file, seg->bytes, seg->number)) {
			status = status_fail(STATUS_CORRUPT,
			    "%s: %s is damaged at byte %" G_GUINT64_FORMAT
			    "; empty the folder so that the process joins anew",
			    d->folder, name, seg->bytes);
		} else {
			loaded->torn_bytes += file->len - seg->bytes;
			status = truncate_tail(d, seg, seg->bytes);
		}
	}
	if (file != NULL)
		g_byte_array_unref(file);
	g_free(name);
	return status;
}

static gint
compare_numbers(gconstpointer a, gconstpointer b)
{
	const struct logstore_segment *x = a;
	const struct logstore_segment *y = b;

	return (x->number > y->number) - (x->number < y->number);
}

static void
find_segments(struct logstore *d, const char *names)
{
	for (const char *n = names; *n != '\0'; n += strlen(n) + 1) {
		struct logstore_segment seg = { .bytes = 0 };

		if (!g_str_has_prefix(n, SEGMENT_PREFIX))
			continue;
		seg.number = strtoull(n + strlen(SEGMENT_PREFIX), NULL, 16);
		g_array_append_val(d->segments, seg);
	}
	g_array_sort(d->segments, compare_numbers);
}

static void
clear_entry(gpointer p)
{
	g_free(((struct raft_entry *)p)->data);
}

/// Drops the entries that the snapshot covers, or all of them if the log
/// doesn't contain the last entry of the snapshot.
static enum status
align_with_snapshot(
    struct logstore *d, GArray *entries, struct logstore_loaded *loaded)
{
	const uint64_t index = loaded->snapshot_index;
	const struct raft_entry *e;
	uint64_t first;

	if (entries->len == 0)
		return STATUS_OK;
	first = g_array_index(entries, struct raft_entry, 0).index;
	if (first > index + 1)
		return missing_entries_error(d, first);
	if (first == index + 1)
		return STATUS_OK;
	if (index - first >= entries->len) {
		g_array_set_size(entries, 0);
		return logstore_segments_clear(d);
	}
	e = &g_array_index(entries, struct raft_entry, index - first);
	if (e->term != loaded->snapshot_term) {
		g_array_set_size(entries, 0);
		return logstore_segments_clear(d);
	}
	g_array_remove_range(entries, 0, (guint)(index - first + 1));
	return STATUS_OK;
}

/// Syncs what was loaded: the process that wrote it may have been killed before
/// its sync.
static enum status
sync_loaded(struct logstore *d)
{
	if (d->fd >= 0 && d->os.sync(d->os.arg, d->fd) != 0)
		return logstore_mark_failed(
		    d, logstore_io_error(d, "sync", "segment"));
	if (d->os.sync_folder(d->os.arg, d->folder) != 0)
		return logstore_mark_failed(
		    d, logstore_io_error(d, "sync", "the folder"));
	return STATUS_OK;
}

/// Loads the entries of all segments.
///
/// @param names   files of the folder, see struct logstore_os
/// @param loaded  has the snapshot's index and term; receives the entries
/// @return STATUS_OK, STATUS_CORRUPT, STATUS_IO or STATUS_FULL
enum status
logstore_segments_load(
    struct logstore *d, const char *names, struct logstore_loaded *loaded)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
	enum status status = STATUS_OK;

	g_array_set_clear_func(entries, clear_entry);
	find_segments(d, names);
	for (guint i = 0; status == STATUS_OK && i < d->segments->len; i++) {
		status = load_segment(d,
		    &g_array_index(d->segments, struct logstore_segment, i),
		    i + 1 == d->segments->len, entries, loaded);
	}
	if (status == STATUS_OK)
		status = align_with_snapshot(d, entries, loaded);
	if (status == STATUS_OK && d->segments->len > 0) {
		d->synced_bytes = last_segment(d)->bytes;
		status = open_segment(d, last_segment(d)->number);
	}
	if (status == STATUS_OK)
		status = sync_loaded(d);
	if (status != STATUS_OK) {
		g_array_unref(entries);
		return status;
	}
	for (guint i = 0; i < entries->len; i++) {
		const struct raft_entry *e =
		    &g_array_index(entries, struct raft_entry, i);

		track_entry(d, e->index, e->term);
	}
	loaded->n_entries = entries->len;
	loaded->entries =
	    (struct raft_entry *)(void *)g_array_free(entries, FALSE);
	return STATUS_OK;
}

static enum status
unlink_segment(struct logstore *d, guint i)
{
	char *name = segment_name(
	    g_array_index(d->segments, struct logstore_segment, i).number);
	char *path = logstore_path(d, name);
	enum status status = STATUS_OK;

	if (d->os.unlink(d->os.arg, path) != 0)
		status = logstore_mark_failed(
		    d, logstore_io_error(d, "unlink", name));
	g_free(path);
	g_free(name);
	if (status == STATUS_OK)
		g_array_remove_index(d->segments, i);
	return status;
}

/// Removes the segments that hold only entries up to an index, but never the
/// last one.
enum status
logstore_segments_drop(struct logstore *d, uint64_t upto)
{
	while (d->segments->len > 1 &&
	    g_array_index(d->segments, struct logstore_segment, 0).max_index <=
		upto) {
		const enum status status = unlink_segment(d, 0);

		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

/// Replaces all segments by an empty one with an unused number. The newest is
/// removed first, so that a crash can't leave a gap between entries.
enum status
logstore_segments_clear(struct logstore *d)
{
	enum status status = logstore_segments_flush(d);

	if (status == STATUS_OK)
		status = add_segment(d);
	while (status == STATUS_OK && d->segments->len > 1)
		status = unlink_segment(d, d->segments->len - 2);
	g_array_set_size(d->terms, 0);
	if (status == STATUS_OK)
		status = logstore_segments_flush(d);
	return status;
}
