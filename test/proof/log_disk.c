#include "proof/log_disk.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum name_op {
	NAME_ADD,
	NAME_MOVE,
	NAME_REMOVE
};

/// A write or truncation that isn't synced.
struct change {
	bool truncate;
	uint64_t at;
	GByteArray *bytes;
};

struct file {
	GByteArray *now;
	GByteArray *synced;
	GArray *changes;
};

struct move {
	enum name_op op;
	char *from;
	char *to;
	struct file *file;
};

struct log_disk {
	struct logstore_os os;
	struct rnd *rnd;
	GPtrArray *files; ///< All ever made; the index is the descriptor.
	GHashTable *names;
	GHashTable *synced_names;
	GArray *moves;
	int fail_after; ///< -1: never
	bool failing;
};

static bool
fails(struct log_disk *d)
{
	if (!d->failing && d->fail_after >= 0 && d->fail_after-- == 0)
		d->failing = true;
	if (d->failing)
		errno = EIO;
	return d->failing;
}

static void
clear_changes(struct file *f)
{
	for (guint i = 0; i < f->changes->len; i++)
		g_byte_array_unref(
		    g_array_index(f->changes, struct change, i).bytes);
	g_array_set_size(f->changes, 0);
}

static void
file_free(gpointer p)
{
	struct file *f = p;

	clear_changes(f);
	g_array_unref(f->changes);
	g_byte_array_unref(f->now);
	g_byte_array_unref(f->synced);
	g_free(f);
}

static void
put(GByteArray *into, uint64_t at, const uint8_t *bytes, size_t len)
{
	const guint before = into->len;

	if (len == 0)
		return;
	if (at + len > before) {
		g_byte_array_set_size(into, (guint)(at + len));
		if (at > before)
			memset(into->data + before, 0, at - before);
	}
	memcpy(into->data + at, bytes, len);
}

static void
copy_bytes(GByteArray *into, const GByteArray *from)
{
	g_byte_array_set_size(into, 0);
	if (from->len == 0)
		return;
	g_byte_array_append(into, from->data, from->len);
}

static void
apply_name(GHashTable *names, const struct move *m)
{
	if (m->op != NAME_ADD)
		g_hash_table_remove(names, m->from);
	if (m->op != NAME_REMOVE)
		g_hash_table_insert(names, g_strdup(m->to), m->file);
}

static void
clear_moves(struct log_disk *d, GHashTable *into, guint n)
{
	for (guint i = 0; i < d->moves->len; i++) {
		struct move *m = &g_array_index(d->moves, struct move, i);

		if (i < n)
			apply_name(into, m);
		g_free(m->from);
		g_free(m->to);
	}
	g_array_set_size(d->moves, 0);
}

static void
move_name(struct log_disk *d, enum name_op op, const char *from, const char *to,
    struct file *f)
{
	const struct move m = {
		.op = op, .from = g_strdup(from), .to = g_strdup(to), .file = f
	};

	apply_name(d->names, &m);
	g_array_append_val(d->moves, m);
}

static int
disk_mkdir(void *arg, const char *path)
{
	(void)path;
	return fails(arg) ? -1 : 0;
}

static int
disk_open(void *arg, const char *path, bool create)
{
	struct log_disk *d = arg;
	struct file *f = g_hash_table_lookup(d->names, path);
	guint index;

	if (f == NULL && !create) {
		errno = ENOENT;
		return -1;
	}
	if (f == NULL) {
		if (fails(d))
			return -1;
		f = g_new0(struct file, 1);
		f->now = g_byte_array_new();
		f->synced = g_byte_array_new();
		f->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
		g_ptr_array_add(d->files, f);
		move_name(d, NAME_ADD, NULL, path, f);
	}
	(void)g_ptr_array_find(d->files, f, &index);
	return (int)index;
}

static struct file *
get(struct log_disk *d, int fd)
{
	return g_ptr_array_index(d->files, (guint)fd);
}

static int
disk_close(void *arg, int fd)
{
	(void)arg;
	(void)fd;
	return 0;
}

static int64_t
disk_pread(void *arg, int fd, void *buf, size_t len, uint64_t at)
{
	const struct file *f = get(arg, fd);

	len = MIN(len, f->now->len - at);
	memcpy(buf, f->now->data + at, len);
	return (int64_t)len;
}

static void
note(struct file *f, bool truncate, uint64_t at, const uint8_t *b, size_t len)
{
	struct change c = { .truncate = truncate, .at = at };

	c.bytes = g_byte_array_new();
	g_byte_array_append(c.bytes, b, (guint)len);
	g_array_append_val(f->changes, c);
}

static int64_t
disk_pwrite(void *arg, int fd, const void *buf, size_t len, uint64_t at)
{
	struct log_disk *d = arg;
	struct file *f = get(d, fd);
	const bool failing = fails(d);

	// A process that dies in a write may have done a part of it.
	if (failing)
		len = rnd_below(d->rnd, len + 1);
	if (len > 0) {
		put(f->now, at, buf, len);
		note(f, false, at, buf, len);
	}
	return failing ? -1 : (int64_t)len;
}

static int
disk_truncate(void *arg, int fd, uint64_t len)
{
	struct file *f = get(arg, fd);

	if (fails(arg))
		return -1;
	g_byte_array_set_size(f->now, (guint)len);
	note(f, true, len, NULL, 0);
	return 0;
}

static int64_t
disk_size(void *arg, int fd)
{
	return get(arg, fd)->now->len;
}

static int
disk_sync(void *arg, int fd)
{
	struct file *f = get(arg, fd);

	if (fails(arg))
		return -1;
	copy_bytes(f->synced, f->now);
	clear_changes(f);
	return 0;
}

static int
disk_sync_folder(void *arg, const char *path)
{
	struct log_disk *d = arg;

	(void)path;
	if (fails(d))
		return -1;
	clear_moves(d, d->synced_names, d->moves->len);
	return 0;
}

static int
disk_rename(void *arg, const char *from, const char *to)
{
	struct log_disk *d = arg;

	if (fails(d))
		return -1;
	move_name(d, NAME_MOVE, from, to, g_hash_table_lookup(d->names, from));
	return 0;
}

static int
disk_unlink(void *arg, const char *path)
{
	if (fails(arg))
		return -1;
	move_name(arg, NAME_REMOVE, path, NULL, NULL);
	return 0;
}

static char *
disk_list(void *arg, const char *folder)
{
	struct log_disk *d = arg;
	GByteArray *out = g_byte_array_new();
	GHashTableIter it;
	gpointer key;

	(void)folder;
	g_hash_table_iter_init(&it, d->names);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const char *base = strrchr(key, '/') + 1;

		g_byte_array_append(
		    out, (const guint8 *)base, (guint)strlen(base) + 1);
	}
	g_byte_array_append(out, (const guint8 *)"", 1);
	return (char *)g_byte_array_free(out, FALSE);
}

static int
disk_lock(void *arg, int fd)
{
	(void)arg;
	(void)fd;
	return 0;
}

/// Makes an empty disk.
struct log_disk *
log_disk_new(struct rnd *rnd, uint64_t segment_bytes)
{
	struct log_disk *d = g_new0(struct log_disk, 1);

	d->rnd = rnd;
	d->files = g_ptr_array_new_with_free_func(file_free);
	d->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->synced_names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->moves = g_array_new(FALSE, FALSE, sizeof(struct move));
	d->fail_after = -1;
	d->os = (struct logstore_os){ .arg = d,
		.segment_bytes = segment_bytes,
		.mkdir = disk_mkdir,
		.open = disk_open,
		.close = disk_close,
		.pread = disk_pread,
		.pwrite = disk_pwrite,
		.truncate = disk_truncate,
		.size = disk_size,
		.sync = disk_sync,
		.sync_folder = disk_sync_folder,
		.rename = disk_rename,
		.unlink = disk_unlink,
		.list = disk_list,
		.lock = disk_lock };
	return d;
}

/// Releases a disk.
void
log_disk_free(struct log_disk *d)
{
	clear_moves(d, d->names, 0);
	g_hash_table_unref(d->names);
	g_hash_table_unref(d->synced_names);
	g_array_unref(d->moves);
	g_ptr_array_unref(d->files);
	g_free(d);
}

/// The calls of this disk.
const struct logstore_os *
log_disk_os(struct log_disk *d)
{
	return &d->os;
}

void
log_disk_fail_after(struct log_disk *d, int n)
{
	d->fail_after = n;
}

/// What of the unsynced writes has reached the disk is a matter of chance,
/// for each by itself; a write may be there in part.
static void
lose_power(struct log_disk *d, struct file *f)
{
	for (guint i = 0; i < f->changes->len; i++) {
		const struct change *c =
		    &g_array_index(f->changes, struct change, i);
		const uint64_t luck = rnd_below(d->rnd, 3);

		if (luck == 0)
			continue;
		if (c->truncate)
			g_byte_array_set_size(f->synced, (guint)c->at);
		else
			put(f->synced, c->at, c->bytes->data,
			    luck == 1 ? c->bytes->len
				      : rnd_below(d->rnd, c->bytes->len + 1));
	}
	clear_changes(f);
	copy_bytes(f->now, f->synced);
}

static void
copy_names(GHashTable *into, GHashTable *from)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_remove_all(into);
	g_hash_table_iter_init(&it, from);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_hash_table_insert(into, g_strdup(key), value);
}

void
log_disk_restart(struct log_disk *d, bool power)
{
	d->failing = false;
	d->fail_after = -1;
	if (!power)
		return;
	clear_moves(
	    d, d->synced_names, (guint)rnd_below(d->rnd, d->moves->len + 1));
	copy_names(d->names, d->synced_names);
	for (guint i = 0; i < d->files->len; i++)
		lose_power(d, g_ptr_array_index(d->files, i));
}

/// Empties the disk, as if it were replaced.
void
log_disk_wipe(struct log_disk *d)
{
	log_disk_restart(d, false);
	clear_moves(d, d->names, 0);
	g_hash_table_remove_all(d->names);
	g_hash_table_remove_all(d->synced_names);
	g_ptr_array_set_size(d->files, 0);
}
