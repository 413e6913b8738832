#include "replog/logstore_internal.h"

#include "replog/raft_codec.h"

#include <assert.h>
#include <errno.h>
#include <string.h>

/// Written to find out whether the disk has space: a few snapshots and segments
/// of a small state.
#define SPACE_PROBE_BYTES (256U << 10)
#define IDENTITY_MAGIC "acident1"
#define HARD_STATE_MAGIC "achard_1"
#define SNAPSHOT_MAGIC "acsnap_1"

/// Content of the identity file.
struct identity_file {
	struct logstore_identity identity;
	uint32_t group;
	uint32_t padding; ///< 0
};

/// Start of the snapshot file; the bytes of the snapshot follow.
struct snapshot_head {
	uint64_t index;
	uint64_t term;
	struct raft_members members;
};

static enum status
fail_after_error(const struct logstore *d)
{
	return status_fail(d->error,
	    "%s: operation refused: an earlier write or sync failed",
	    d->folder);
}

static enum status
check_identity(struct logstore *d, const struct identity_file *f,
    const struct logstore_identity *wanted)
{
	if (strcmp(f->identity.deployment, wanted->deployment) != 0)
		return status_fail(STATUS_REFUSED,
		    "%s: belongs to deployment '%s', not '%s'", d->folder,
		    f->identity.deployment, wanted->deployment);
	if (strcmp(f->identity.node, wanted->node) != 0)
		return status_fail(STATUS_REFUSED,
		    "%s: belongs to node '%s', not '%s'", d->folder,
		    f->identity.node, wanted->node);
	if ((f->identity.id & RAFT_SLOT_MASK) !=
		(wanted->id & RAFT_SLOT_MASK) ||
	    f->group != d->group)
		return status_fail(STATUS_REFUSED,
		    "%s: belongs to member %u of group %u, not %u of %u",
		    d->folder, f->identity.id & RAFT_SLOT_MASK, f->group,
		    wanted->id & RAFT_SLOT_MASK, d->group);
	return STATUS_OK;
}

static enum status
create_identity(struct logstore *d, const char *names,
    const struct logstore_identity *wanted, struct logstore_loaded *loaded)
{
	for (const char *n = names; *n != '\0'; n += strlen(n) + 1) {
		if (strcmp(n, "lock") != 0 && !g_str_has_suffix(n, ".tmp"))
			return status_fail(STATUS_CORRUPT,
			    "%s: %s exists, but the identity file is missing; "
			    "empty the folder so that the process joins anew",
			    d->folder, n);
	}
	loaded->fresh = true;
	return logstore_write_identity(d, wanted);
}

/// Replaces the identity. Allowed only before anything else is written; synced
/// when this returns STATUS_OK.
///
/// @return STATUS_OK, STATUS_IO or STATUS_FULL
enum status
logstore_write_identity(
    struct logstore *d, const struct logstore_identity *identity)
{
	struct identity_file f;

	memset(&f, 0, sizeof(f));
	f.identity = *identity;
	f.group = d->group;
	return logstore_write_checked(
	    d, "identity", IDENTITY_MAGIC, (const uint8_t *)&f, sizeof(f));
}

/// Reads the identity file.
///
/// @return STATUS_OK, STATUS_NOT_FOUND, STATUS_CORRUPT or STATUS_IO
static enum status
read_identity(struct logstore *d, struct identity_file *f)
{
	GByteArray *bytes;
	enum status status =
	    logstore_read_checked(d, "identity", IDENTITY_MAGIC, &bytes);

	memset(f, 0, sizeof(*f));
	if (status != STATUS_OK)
		return status;
	if (bytes->len == sizeof(*f)) {
		memcpy(f, bytes->data, sizeof(*f));
		f->identity.deployment[sizeof(f->identity.deployment) - 1] = 0;
		f->identity.node[sizeof(f->identity.node) - 1] = 0;
	} else {
		status = status_fail(STATUS_CORRUPT,
		    "%s: identity file has an unexpected size", d->folder);
	}
	g_byte_array_unref(bytes);
	return status;
}

static enum status
load_identity(struct logstore *d, const char *names,
    const struct logstore_identity *wanted, struct logstore_loaded *loaded)
{
	struct identity_file f;
	const enum status status = read_identity(d, &f);

	loaded->identity = *wanted;
	if (status == STATUS_NOT_FOUND)
		return create_identity(d, names, wanted, loaded);
	if (status != STATUS_OK)
		return status;
	loaded->identity = f.identity;
	return check_identity(d, &f, wanted);
}

static enum status
load_hard_state(struct logstore *d, struct logstore_loaded *loaded)
{
	GByteArray *bytes;
	enum status status =
	    logstore_read_checked(d, "hard", HARD_STATE_MAGIC, &bytes);

	if (status == STATUS_NOT_FOUND)
		return STATUS_OK;
	if (status != STATUS_OK)
		return status;
	if (bytes->len == sizeof(loaded->hard_state))
		memcpy(&loaded->hard_state, bytes->data,
		    sizeof(loaded->hard_state));
	else
		status = status_fail(STATUS_CORRUPT,
		    "%s: hard state file has an unexpected size", d->folder);
	g_byte_array_unref(bytes);
	return status;
}

static enum status
load_snapshot(struct logstore *d, struct logstore_loaded *loaded)
{
	struct snapshot_head head;
	GByteArray *bytes;
	enum status status =
	    logstore_read_checked(d, "snapshot", SNAPSHOT_MAGIC, &bytes);

	if (status == STATUS_NOT_FOUND)
		return STATUS_OK;
	if (status != STATUS_OK)
		return status;
	if (bytes->len < sizeof(head)) {
		g_byte_array_unref(bytes);
		return status_fail(STATUS_CORRUPT,
		    "%s: snapshot file is too short", d->folder);
	}
	memcpy(&head, bytes->data, sizeof(head));
	loaded->snapshot_index = head.index;
	loaded->snapshot_term = head.term;
	loaded->members = head.members;
	loaded->snapshot_len = bytes->len - sizeof(head);
	loaded->snapshot =
	    g_memdup2(bytes->data + sizeof(head), loaded->snapshot_len);
	g_byte_array_unref(bytes);
	return STATUS_OK;
}

static enum status
create_folder(struct logstore *d, const char *parent)
{
	if (d->os.mkdir(d->os.arg, parent) != 0 ||
	    d->os.mkdir(d->os.arg, d->folder) != 0 ||
	    d->os.sync_folder(d->os.arg, parent) != 0)
		return logstore_io_error(d, "create folder", "of the group");
	return STATUS_OK;
}

static enum status
lock_folder(struct logstore *d)
{
	char *path = logstore_path(d, "lock");

	d->lock_fd = d->os.open(d->os.arg, path, true);
	g_free(path);
	if (d->lock_fd < 0)
		return logstore_io_error(d, "open", "lock");
	if (d->os.lock(d->os.arg, d->lock_fd) != 0)
		return status_fail(STATUS_CONFLICT,
		    "%s: folder is locked by another process", d->folder);
	return STATUS_OK;
}

static enum status
load_all(struct logstore *d, const struct logstore_identity *wanted,
    struct logstore_loaded *loaded)
{
	char *names = d->os.list(d->os.arg, d->folder);
	uint64_t last_term;
	enum status status;

	if (names == NULL)
		return logstore_io_error(d, "list", "the folder");
	status = load_identity(d, names, wanted, loaded);
	if (status == STATUS_OK)
		status = load_hard_state(d, loaded);
	if (status == STATUS_OK)
		status = load_snapshot(d, loaded);
	if (status == STATUS_OK)
		status = logstore_segments_load(d, names, loaded);
	g_free(names);
	if (status != STATUS_OK)
		return status;
	last_term = loaded->snapshot_term;
	if (loaded->n_entries > 0)
		last_term = loaded->entries[loaded->n_entries - 1].term;
	if (last_term > loaded->hard_state.term)
		loaded->hard_state =
		    (struct raft_hard_state){ .term = last_term };
	d->hard_state = loaded->hard_state;
	return STATUS_OK;
}

static struct logstore *
new_logstore(const char *folder, uint32_t group, const struct logstore_os *os)
{
	struct logstore *d = g_new0(struct logstore, 1);

	d->os = os == NULL ? *logstore_os_system() : *os;
	d->folder = g_strdup_printf("%s/group-%u", folder, group);
	d->group = group;
	d->fd = -1;
	d->lock_fd = -1;
	d->segments =
	    g_array_new(FALSE, FALSE, sizeof(struct logstore_segment));
	d->buffer = g_byte_array_new();
	d->terms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return d;
}

static enum status
remove_file(struct logstore *d, const char *name)
{
	char *path = logstore_path(d, name);
	const int result = d->os.unlink(d->os.arg, path);

	g_free(path);
	return result == 0 || errno == ENOENT
	    ? STATUS_OK
	    : logstore_io_error(d, "unlink", name);
}

/// Removes a log that isn't open. The identity goes last: a log without one is
/// taken for damaged.
///
/// @return STATUS_OK or STATUS_IO
enum status
logstore_remove(
    const char *folder, uint32_t group, const struct logstore_os *os)
{
	struct logstore *d = new_logstore(folder, group, os);
	char *names = d->os.list(d->os.arg, d->folder);
	enum status status = names == NULL
	    ? logstore_io_error(d, "list", "the folder")
	    : STATUS_OK;

	for (const char *n = names;
	     status == STATUS_OK && n != NULL && *n != '\0';
	     n += strlen(n) + 1) {
		if (strcmp(n, "identity") != 0)
			status = remove_file(d, n);
	}
	if (status == STATUS_OK)
		status = remove_file(d, "identity");
	if (status == STATUS_OK && d->os.sync_folder(d->os.arg, d->folder) != 0)
		status = logstore_io_error(d, "sync", "the folder");
	g_free(names);
	logstore_close(d);
	return status;
}

/// Slot of a disk's identity, of a log that needn't be open.
///
/// @return 0 if there is none, or it can't be read
uint32_t
logstore_read_slot(
    const char *folder, uint32_t group, const struct logstore_os *os)
{
	struct logstore *d = new_logstore(folder, group, os);
	struct identity_file f;
	const enum status status = read_identity(d, &f);

	logstore_close(d);
	return status == STATUS_OK ? f.identity.id & RAFT_SLOT_MASK : 0;
}

/// Opens or creates the log of a group and reads all of it.
///
/// @param folder  data folder of the process; created if its parent exists
/// @param wanted  identity that the folder must have, or gets if it is empty
/// @param os      copied; NULL: logstore_os_system()
/// @param out     the log, to be closed with logstore_close()
/// @param loaded  what was read, to be released with logstore_loaded_free()
/// @return STATUS_OK; STATUS_REFUSED if the folder belongs to another process;
///         STATUS_CONFLICT if it is in use; STATUS_CORRUPT if it is damaged;
///         STATUS_IO or STATUS_FULL
enum status
logstore_open(const char *folder, uint32_t group,
    const struct logstore_identity *wanted, const struct logstore_os *os,
    struct logstore **out, struct logstore_loaded *loaded)
{
	struct logstore *d = new_logstore(folder, group, os);
	enum status status;

	memset(loaded, 0, sizeof(*loaded));
	status = create_folder(d, folder);
	if (status == STATUS_OK)
		status = lock_folder(d);
	if (status == STATUS_OK)
		status = load_all(d, wanted, loaded);
	if (status != STATUS_OK) {
		logstore_loaded_free(loaded);
		logstore_close(d);
		return status;
	}
	*out = d;
	return STATUS_OK;
}

/// Releases what logstore_open() read.
void
logstore_loaded_free(struct logstore_loaded *loaded)
{
	for (size_t i = 0; i < loaded->n_entries; i++)
		g_free(loaded->entries[i].data);
	g_free(loaded->entries);
	g_free(loaded->snapshot);
	loaded->entries = NULL;
	loaded->n_entries = 0;
	loaded->snapshot = NULL;
}

/// Closes a log without writing or syncing what is buffered; NULL is allowed.
void
logstore_close(struct logstore *d)
{
	if (d == NULL)
		return;
	if (d->fd >= 0)
		(void)d->os.close(d->os.arg, d->fd);
	if (d->lock_fd >= 0)
		(void)d->os.close(d->os.arg, d->lock_fd);
	g_array_unref(d->segments);
	g_array_unref(d->terms);
	g_byte_array_unref(d->buffer);
	g_free(d->folder);
	g_free(d);
}

static enum status
write_probe(struct logstore *d, const char *path)
{
	const int fd = d->os.open(d->os.arg, path, true);
	uint8_t *bytes;
	enum status status;

	if (fd < 0)
		return logstore_io_error(d, "open", "probe");
	bytes = g_malloc0(SPACE_PROBE_BYTES);
	status = logstore_write_at(d, fd, bytes, SPACE_PROBE_BYTES, 0);
	if (status == STATUS_OK && d->os.sync(d->os.arg, fd) != 0)
		status = logstore_io_error(d, "sync", "probe");
	g_free(bytes);
	(void)d->os.close(d->os.arg, fd);
	return status;
}

/// Checks that the disk of a log that isn't open has space for some writes, by
/// writing and removing a temporary file.
///
/// @return STATUS_OK, STATUS_FULL or STATUS_IO
enum status
logstore_check_space(
    const char *folder, uint32_t group, const struct logstore_os *os)
{
	struct logstore *d = new_logstore(folder, group, os);
	char *path = logstore_path(d, "space.tmp");
	enum status status = create_folder(d, folder);

	if (status == STATUS_OK)
		status = write_probe(d, path);
	if (d->os.unlink(d->os.arg, path) != 0 && errno != ENOENT &&
	    status == STATUS_OK)
		status = logstore_io_error(d, "unlink", "probe");
	g_free(path);
	logstore_close(d);
	return status;
}

/// Sets term and vote; logstore_sync() writes them.
///
/// @return STATUS_OK, or the status of an earlier failure
enum status
logstore_write_hard_state(
    struct logstore *d, const struct raft_hard_state *hard_state)
{
	if (d->error != STATUS_OK)
		return fail_after_error(d);
	d->hard_state = *hard_state;
	d->hard_state_dirty = true;
	return STATUS_OK;
}

/// Makes everything given so far durable: writes and syncs files and folder.
///
/// @return STATUS_OK, STATUS_IO, STATUS_FULL or the status of an earlier
/// failure
enum status
logstore_sync(struct logstore *d)
{
	struct raft_hard_state hard_state;
	enum status status;

	if (d->error != STATUS_OK)
		return fail_after_error(d);
	if (d->hard_state_dirty) {
		memset(&hard_state, 0, sizeof(hard_state));
		hard_state.term = d->hard_state.term;
		hard_state.voted_for = d->hard_state.voted_for;
		status = logstore_write_checked(d, "hard", HARD_STATE_MAGIC,
		    (const uint8_t *)&hard_state, sizeof(hard_state));
		if (status != STATUS_OK)
			return status;
		d->hard_state_dirty = false;
	}
	return logstore_segments_flush(d);
}

static bool
entry_matches(const struct logstore *d, uint64_t index, uint64_t term)
{
	if (d->terms->len == 0 || index < d->first ||
	    index > logstore_last_index(d))
		return false;
	return g_array_index(d->terms, uint64_t, index - d->first) == term;
}

/// Saves a snapshot and removes the segments that it covers, or the whole log
/// if that doesn't contain the entry at `index` with `term`. Durable when this
/// returns STATUS_OK.
///
/// @return STATUS_OK, STATUS_IO, STATUS_FULL or the status of an earlier
/// failure
enum status
logstore_save_snapshot(struct logstore *d, uint64_t index, uint64_t term,
    const struct raft_members *members, const uint8_t *bytes, size_t len)
{
	struct snapshot_head head;
	GByteArray *file;
	enum status status;

	if (d->error != STATUS_OK)
		return fail_after_error(d);
	status = logstore_sync(d);
	if (status != STATUS_OK)
		return status;
	memset(&head, 0, sizeof(head));
	head.index = index;
	head.term = term;
	head.members = *members;
	file = g_byte_array_sized_new((guint)(sizeof(head) + len));
	g_byte_array_append(file, (const guint8 *)&head, sizeof(head));
	if (len > 0)
		g_byte_array_append(file, bytes, (guint)len);
	status = logstore_write_checked(
	    d, "snapshot", SNAPSHOT_MAGIC, file->data, file->len);
	g_byte_array_unref(file);
	if (status != STATUS_OK)
		return status;
	if (!entry_matches(d, index, term))
		return logstore_segments_clear(d);
	g_array_remove_range(d->terms, 0, (guint)(index - d->first));
	d->first = index;
	return logstore_segments_drop(d, index);
}

/// Size of the log in bytes, without the snapshot but with what isn't written
/// yet.
uint64_t
logstore_bytes(const struct logstore *d)
{
	uint64_t sum = d->buffer->len;

	for (guint i = 0; i < d->segments->len; i++)
		sum += g_array_index(d->segments, struct logstore_segment, i)
			   .bytes;
	return sum;
}
